package endpoint

import (
	"context"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// coldFigures are the values of the metrics of cold endpoints.
type coldFigures struct {
	cold, warming int
	// budget is this host's part of their rates, in requests a second.
	budget float64
	// heldBack is the number of requests so far that were queued or refused while only its part of a rate kept an endpoint from
	// serving them.
	heldBack int64
}

// coldFigures returns the present values.
func (c *core) coldFigures() coldFigures {
	figures := coldFigures{heldBack: c.coldHeldBack}
	for _, e := range c.sortedEndpoints {
		switch {
		case e.cold.cold:
			figures.cold++
		case e.cold.warming:
			figures.warming++
		}
		_, own := e.cold.share.Rate()
		figures.budget += float64(own)
	}
	return figures
}

// countHeldBack counts a request of the lane that is not granted a slot, if only the rate of a cold endpoint keeps one from it.
func (c *core) countHeldBack(now time.Time, l *lane) {
	for _, e := range l.endpoints {
		if e.serving && !e.health.ejected && !e.cold.share.Ready(now) {
			c.coldHeldBack++
			return
		}
	}
}

func observeCold(meter metric.Meter, d *Dispatcher) error {
	endpoints, err := meter.Int64ObservableGauge("winch_dispatch_cold_endpoints", metric.WithDescription("Endpoints that are cold or warming up."))
	if err != nil {
		return fmt.Errorf("create gauge of cold endpoints: %w", err)
	}
	budget, err := meter.Float64ObservableGauge("winch_dispatch_cold_budget", metric.WithDescription("This host's part of the rates of cold and warming endpoints, in requests a second."))
	if err != nil {
		return fmt.Errorf("create gauge of the cold budget: %w", err)
	}
	heldBack, err := meter.Int64ObservableCounter("winch_dispatch_cold_held_back", metric.WithDescription("Requests queued or refused while the rate of a cold or warming endpoint was used up."))
	if err != nil {
		return fmt.Errorf("create counter of requests held back: %w", err)
	}
	_, err = meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		d.lock.Lock()
		figures := d.core.coldFigures()
		d.lock.Unlock()
		observer.ObserveInt64(endpoints, int64(figures.cold), metric.WithAttributes(attribute.String("state", effectCold.String())))
		observer.ObserveInt64(endpoints, int64(figures.warming), metric.WithAttributes(attribute.String("state", effectWarming.String())))
		observer.ObserveFloat64(budget, figures.budget)
		observer.ObserveInt64(heldBack, figures.heldBack)
		return nil
	}, endpoints, budget, heldBack)
	if err != nil {
		return fmt.Errorf("register gauges of cold endpoints: %w", err)
	}
	return nil
}
