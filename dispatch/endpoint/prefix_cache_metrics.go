package endpoint

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/arbutuswinch/winch"
)

// classPrefixes holds the numbers of tokens in the shared parts of a class's prompts.
type classPrefixes struct {
	key              laneKey
	shared, expected winch.Tokens
	spread           int
}

// prefixUse returns the shared tokens of each class whose endpoints have a known memory.
func (c *core) prefixUse() []classPrefixes {
	var all []classPrefixes
	for _, l := range c.sortedLanes {
		if l.knowsCaches && l.sharedTokens > 0 {
			all = append(all, classPrefixes{key: l.key, shared: l.sharedTokens, expected: l.expectedTokens, spread: l.popularity.Widest()})
		}
	}
	return all
}

func observePrefixes(meter metric.Meter, d *Dispatcher) error {
	tokens, err := meter.Int64ObservableCounter("winch_dispatch_prefix_tokens",
		metric.WithDescription("Tokens of sent prompts that other requests may share, and those of them that the endpoints were expected to hold."))
	if err != nil {
		return fmt.Errorf("create prefix token counter: %w", err)
	}
	spread, err := meter.Int64ObservableGauge("winch_dispatch_prefix_spread", metric.WithDescription("Endpoints over which the most requested part is spread."))
	if err != nil {
		return fmt.Errorf("create prefix spread gauge: %w", err)
	}
	_, err = meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		d.lock.Lock()
		all := d.core.prefixUse()
		d.lock.Unlock()
		for _, class := range all {
			id, model := attribute.String("class", string(class.key.class)), attribute.String("model", string(class.key.group.model))
			observer.ObserveInt64(tokens, int64(class.shared), metric.WithAttributes(id, model, attribute.String("kind", "shared")))
			observer.ObserveInt64(tokens, int64(class.expected), metric.WithAttributes(id, model, attribute.String("kind", "expected")))
			observer.ObserveInt64(spread, int64(class.spread), metric.WithAttributes(id, model))
		}
		return nil
	}, tokens, spread)
	if err != nil {
		return fmt.Errorf("register prefix instruments: %w", err)
	}
	return nil
}
