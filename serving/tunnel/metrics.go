package tunnel

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// result is the result of a call for a tunnel, as a metric label.
type result string

const (
	resultOpened     result = "opened"
	resultNotReached result = "not_reached"
	resultRefused    result = "refused"
)

// metrics are the metric instruments of a Dialer and of a Server.
type metrics struct {
	requested metric.Int64Counter
	served    metric.Int64Counter
}

func newMetrics(meter metric.Meter, open, detours func() int64) (*metrics, error) {
	m := &metrics{}
	var err error
	if m.requested, err = meter.Int64Counter("winch_tunnel_requested", metric.WithDescription("Tunnels to endpoints that this host has asked others for, by result.")); err != nil {
		return nil, fmt.Errorf("create counter of requested tunnels: %w", err)
	}
	if m.served, err = meter.Int64Counter("winch_tunnel_served", metric.WithDescription("Tunnels to endpoints that other hosts have asked this one for, by result.")); err != nil {
		return nil, fmt.Errorf("create counter of served tunnels: %w", err)
	}
	for _, gauge := range []struct {
		name, description string
		value             func() int64
	}{
		{"winch_tunnel_open", "Tunnels that lead through this host.", open},
		{"winch_tunnel_detours", "Endpoints that this host reaches only through others.", detours},
	} {
		_, err = meter.Int64ObservableGauge(gauge.name, metric.WithDescription(gauge.description),
			metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
				observer.Observe(gauge.value())
				return nil
			}))
		if err != nil {
			return nil, fmt.Errorf("create gauge %s: %w", gauge.name, err)
		}
	}
	return m, nil
}

func count(counter metric.Int64Counter, outcome result) {
	counter.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", string(outcome))))
}
