package endpoint

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/arbutuswinch/winch"
)

// notBegunByClass returns the requests of each class that were not begun because they could not end in time.
func (c *core) notBegunByClass() map[winch.ClassID]notBegun {
	all := map[winch.ClassID]notBegun{}
	for _, l := range c.sortedLanes {
		sum := all[l.key.class]
		sum.refused += l.completion.notBegun.refused
		sum.expired += l.completion.notBegun.expired
		sum.held += l.completion.notBegun.held
		all[l.key.class] = sum
	}
	return all
}

func observeCompletion(meter metric.Meter, d *Dispatcher) error {
	counter, err := meter.Int64ObservableCounter("winch_dispatch_not_begun",
		metric.WithDescription("Requests that were not begun because they could not end before their deadline, by cause."))
	if err != nil {
		return fmt.Errorf("create counter of requests not begun: %w", err)
	}
	_, err = meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		d.lock.Lock()
		all := d.core.notBegunByClass()
		d.lock.Unlock()
		for class, counts := range all {
			for cause, count := range map[string]int64{"refused": counts.refused, "expired": counts.expired, "held": counts.held} {
				observer.ObserveInt64(counter, count, metric.WithAttributes(attribute.String("class", string(class)), attribute.String("cause", cause)))
			}
		}
		return nil
	}, counter)
	if err != nil {
		return fmt.Errorf("register counter of requests not begun: %w", err)
	}
	return nil
}
