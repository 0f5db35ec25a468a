package endpoint

import (
	"context"
	"fmt"
	"time"

	"github.com/arbutuswinch/winch"
)

// maxLayoutWait is the longest time for which a request waits for a layout. With 0.4 of a core, the layout of the largest configuration is applied
// 1.3 ms after that is in force, and 4 ms with the race detector.
const maxLayoutWait = time.Second

// layoutWaitEnd returns until when a request that arrives now may wait for a layout.
func layoutWaitEnd(now time.Time, work winch.Work) time.Time {
	end := now.Add(maxLayoutWait)
	if !work.Deadline.IsZero() {
		end = earlier(end, work.Deadline)
	}
	return end
}

// layoutPending reports whether the layout of the current configuration is still to be applied and a request of the class, which may wait until
// end, can wait for it. Requests are admitted with a configuration as soon as it is in force. Its layout is applied some milliseconds later, and
// until then there is no endpoint for a class, model or route that it adds.
func (c *core) layoutPending(now, end time.Time, class winch.ClassID, current *winch.Configuration) bool {
	if current == nil || current == c.configuration || !now.Before(end) {
		return false
	}
	_, found := current.Classes[class]
	return found
}

// lacksEndpoint reports whether no host has an endpoint for the lane, which is nil if its class may not use its model or route.
func (c *core) lacksEndpoint(l *lane) bool {
	return l == nil || len(l.endpoints) == 0 && len(c.remotes) == 0
}

// arrive passes the request of the slot to the core, after a wait for the layout of the current configuration if it needs one. It returns
// an error if the context ends before that.
func (d *Dispatcher) arrive(ctx context.Context, now time.Time, work winch.Work, s *slot) error {
	end := layoutWaitEnd(now, work)
	for {
		applied := d.arriveOrAwait(now, end, work, s)
		if applied == nil {
			return nil
		}
		timer := time.NewTimer(end.Sub(now))
		select {
		case <-applied:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("acquire slot: %w", ctx.Err())
		}
		timer.Stop()
		now = d.options.Clock.Now()
	}
}

// arriveOrAwait passes the request to the core, unless it has to wait for a layout. It then returns a channel that is closed when the next
// layout is applied.
func (d *Dispatcher) arriveOrAwait(now, end time.Time, work winch.Work, s *slot) <-chan struct{} {
	var applied <-chan struct{}
	d.runStep(func() {
		// The current configuration is read with the lock held, so that it is not older than the one whose layout is applied.
		if d.core.lacksEndpoint(d.core.laneOf(work)) && d.core.layoutPending(now, end, work.Class, d.options.Configurations.Current()) {
			applied = d.layoutApplied
			return
		}
		s.request = d.core.arrive(now, work, s, &s.progress)
	})
	return applied
}
