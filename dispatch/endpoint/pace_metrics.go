package endpoint

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/arbutuswinch/winch"
)

// lanePaces are the paces of a model's or route's endpoints.
type lanePaces struct {
	group                   group
	present, usual, slowest winch.Pace
}

// paces returns the mean present and usual pace and the highest usual one of the endpoints of each model or route with stated paces.
func (c *core) paces() []lanePaces {
	var all []lanePaces
	seen := map[group]bool{}
	for _, l := range c.sortedLanes {
		if l.meanPace.Samples == 0 || seen[l.key.group] {
			continue
		}
		seen[l.key.group] = true
		paces := lanePaces{group: l.key.group, usual: winch.Pace(l.meanPace.Value), present: winch.Pace(l.meanPace.Value * l.paceShift)}
		for _, e := range l.endpoints {
			paces.slowest = max(paces.slowest, e.usualPace)
		}
		all = append(all, paces)
	}
	return all
}

func observePaces(meter metric.Meter, d *Dispatcher) error {
	gauge, err := meter.Float64ObservableGauge("winch_dispatch_pace", metric.WithUnit("%"),
		metric.WithDescription("Stated paces of endpoints: mean at present, usual mean, usual pace of the slowest."))
	if err != nil {
		return fmt.Errorf("create pace gauge: %w", err)
	}
	_, err = meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		d.lock.Lock()
		all := d.core.paces()
		d.lock.Unlock()
		for _, paces := range all {
			for kind, value := range map[string]winch.Pace{"present": paces.present, "usual": paces.usual, "slowest": paces.slowest} {
				observer.ObserveFloat64(gauge, float64(value), metric.WithAttributes(attribute.String("model", string(paces.group.model)),
					attribute.String("route", string(paces.group.route)), attribute.String("kind", kind)))
			}
		}
		return nil
	}, gauge)
	if err != nil {
		return fmt.Errorf("register pace gauge: %w", err)
	}
	return nil
}
