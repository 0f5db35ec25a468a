package endpoint

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/arbutuswinch/winch"
)

// groupTokens are the tokens at the endpoints of a model.
type groupTokens struct {
	group          group
	held, capacity winch.Tokens
	// fullest is the share of its memory in use at the fullest endpoint.
	fullest float64
}

// tokenUse returns the tokens at the endpoints of each model whose capacity is known.
func (c *core) tokenUse() []groupTokens {
	var all []groupTokens
	seen := map[group]bool{}
	for _, l := range c.sortedLanes {
		if l.pool.Capacity == 0 || seen[l.key.group] {
			continue
		}
		seen[l.key.group] = true
		use := groupTokens{group: l.key.group, capacity: l.pool.Capacity}
		for _, e := range l.endpoints {
			use.held += e.tokens.Held()
			use.fullest = max(use.fullest, float64(e.tokens.Held())/float64(max(1, e.tokens.Capacity)))
		}
		all = append(all, use)
	}
	return all
}

func observeTokens(meter metric.Meter, d *Dispatcher) error {
	tokens, err := meter.Int64ObservableGauge("winch_dispatch_tokens", metric.WithDescription("Tokens of running requests at the endpoints, and those that fit."))
	if err != nil {
		return fmt.Errorf("create token gauge: %w", err)
	}
	fullest, err := meter.Float64ObservableGauge("winch_dispatch_tokens_fullest", metric.WithDescription("Share of its memory in use at the fullest endpoint."))
	if err != nil {
		return fmt.Errorf("create fullest endpoint gauge: %w", err)
	}
	_, err = meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		d.lock.Lock()
		all := d.core.tokenUse()
		d.lock.Unlock()
		for _, use := range all {
			model := attribute.String("model", string(use.group.model))
			observer.ObserveInt64(tokens, int64(use.held), metric.WithAttributes(model, attribute.String("kind", "held")))
			observer.ObserveInt64(tokens, int64(use.capacity), metric.WithAttributes(model, attribute.String("kind", "capacity")))
			observer.ObserveFloat64(fullest, use.fullest, metric.WithAttributes(model))
		}
		return nil
	}, tokens, fullest)
	if err != nil {
		return fmt.Errorf("register token gauges: %w", err)
	}
	return nil
}
