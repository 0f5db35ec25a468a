package connlimit

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// cause is why a connection was ended.
type cause int

const (
	// causeRoom: another connection needed its place.
	causeRoom cause = iota
	causeSlowReader
	causeSlowBody
	// causeQueued: there was no memory for bytes that arrived during an earlier request.
	causeQueued
	numCauses
)

// causeNames are the names of the causes in metrics.
var causeNames = [numCauses]string{"room", "slow_reader", "slow_body", "queued"}

// counts counts what the limiter refused and ended.
type counts struct {
	// refused counts connections refused because of their number, noMemory those for which there was no memory, and heads requests
	// refused because of their heads.
	refused, noMemory, heads atomic.Int64
	ended                    [numCauses]atomic.Int64
}

func (c *counts) allEnded() int64 {
	total := int64(0)
	for i := range c.ended {
		total += c.ended[i].Load()
	}
	return total
}

// export registers the metrics of the limiter.
func (l *Limiter) export(meter metric.Meter) error {
	open, err := meter.Int64ObservableGauge("winch_connections_open", metric.WithDescription("Open connections by port."))
	if err != nil {
		return fmt.Errorf("create gauge of connections: %w", err)
	}
	ended, err := meter.Int64ObservableCounter("winch_connections_ended",
		metric.WithDescription("Connections refused or ended by the host, by port and cause."))
	if err != nil {
		return fmt.Errorf("create counter of ended connections: %w", err)
	}
	port := attribute.String("port", l.options.Port)
	_, err = meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		observer.ObserveInt64(open, int64(l.Open()), metric.WithAttributes(port))
		observe := func(cause string, count int64) {
			observer.ObserveInt64(ended, count, metric.WithAttributes(port, attribute.String("cause", cause)))
		}
		observe("refused", l.counts.refused.Load())
		observe("no_memory", l.counts.noMemory.Load())
		observe("head", l.counts.heads.Load())
		for i, name := range causeNames {
			observe(name, l.counts.ended[i].Load())
		}
		return nil
	}, open, ended)
	if err != nil {
		return fmt.Errorf("register metrics of connections: %w", err)
	}
	return nil
}

// calmAfter is the time without a refused or ended connection after which the limiter reports that there are no more.
const calmAfter = 10 * time.Second

// reporter logs when connections begin to be refused or ended, and when that is over.
type reporter struct {
	limiter *Limiter
	// refused and ended are the counts at the last report, refusedBefore and endedBefore those before the first refusal.
	refused, ended             int64
	refusedBefore, endedBefore int64
	// lastAt is when a connection was last refused or ended; zero if calmAfter has passed since.
	lastAt time.Time
}

func (r *reporter) report(now time.Time) {
	counts, options := &r.limiter.counts, &r.limiter.options
	refused, ended := counts.refused.Load()+counts.noMemory.Load()+counts.heads.Load(), counts.allEnded()
	changed := refused != r.refused || ended != r.ended
	switch {
	case changed && r.lastAt.IsZero():
		r.refusedBefore, r.endedBefore = r.refused, r.ended
		options.Logger.Warn("connections refused or ended", "Event", EventCrowdBegan, "Port", options.Port, "Open", r.limiter.Open(),
			"Max", options.Max, "Refused", refused-r.refused, "Ended", ended-r.ended)
	case !changed && !r.lastAt.IsZero() && now.Sub(r.lastAt) >= calmAfter:
		options.Logger.Info("no more connections refused or ended", "Event", EventCrowdEnded, "Port", options.Port, "Open", r.limiter.Open(),
			"Refused", refused-r.refusedBefore, "Ended", ended-r.endedBefore)
		r.lastAt = time.Time{}
	}
	if changed {
		r.lastAt = now
	}
	r.refused, r.ended = refused, ended
}
