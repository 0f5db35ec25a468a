package peer

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/arbutuswinch/winch"
)

// metrics are the metric instruments of a Keeper.
type metrics struct {
	found metric.Int64Counter
	told  metric.Int64Counter
}

func newMetrics(meter metric.Meter, records func() int64) (*metrics, error) {
	m := &metrics{}
	var err error
	if m.found, err = meter.Int64Counter("winch_origin_found", metric.WithDescription("Streams whose origin was sought, by source.")); err != nil {
		return nil, fmt.Errorf("create counter of origins: %w", err)
	}
	if m.told, err = meter.Int64Counter("winch_origin_told", metric.WithDescription("Origins given to other hosts, by result.")); err != nil {
		return nil, fmt.Errorf("create counter of told origins: %w", err)
	}
	_, err = meter.Int64ObservableGauge("winch_origin_records", metric.WithDescription("Streams whose origin is remembered."),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(records())
			return nil
		}))
	if err != nil {
		return nil, fmt.Errorf("create gauge of origins: %w", err)
	}
	return m, nil
}

func (m *metrics) countFound(source winch.OriginSource) {
	m.found.Add(context.Background(), 1, metric.WithAttributes(attribute.String("source", string(source))))
}

func (m *metrics) countTold(streams int, arrived bool) {
	m.told.Add(context.Background(), int64(streams), metric.WithAttributes(attribute.Bool("arrived", arrived)))
}
