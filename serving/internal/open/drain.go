package open

import (
	"context"
	"sync/atomic"
	"time"
)

// Drain is the state of a server's planned stop. Requests are still taken during the
// readiness delay, then refused; open ones are finished.
type Drain struct {
	leaving  atomic.Bool
	refusing atomic.Bool
}

// Begun reports whether the stop has begun; the host is then not ready for new connections.
func (d *Drain) Begun() bool { return d.leaving.Load() }

// Refuses reports whether new requests are refused.
func (d *Drain) Refuses() bool { return d.refusing.Load() }

// Run begins the stop and waits until no request is open. What is open when ctx ends is
// ended with the cause, and its number returned.
func (d *Drain) Run(ctx context.Context, set *Set, readinessDelay time.Duration, cause error) int {
	d.leaving.Store(true)
	delay := time.NewTimer(readinessDelay)
	defer delay.Stop()
	select {
	case <-delay.C:
	case <-ctx.Done():
	}
	d.refusing.Store(true)
	select {
	case <-set.Empty():
		return 0
	case <-ctx.Done():
	}
	cut := set.CancelAll(cause)
	<-set.Empty()
	return cut
}
