package open

import (
	"context"
	"sync/atomic"
	"time"
)

// Drain is the state of a server's planned stop. Requests are still taken for a while, then
// refused; open ones are finished. Connections are not closed before their requests are
// refused: one that arrives as its connection is closed must not be run.
type Drain struct {
	begun        atomic.Bool
	refusingLong atomic.Bool
	refusing     atomic.Bool
}

// Begun reports whether the stop has begun; the host is then not ready for new connections.
func (d *Drain) Begun() bool { return d.begun.Load() }

// Refuses reports whether new requests are refused.
func (d *Drain) Refuses() bool { return d.refusing.Load() }

// RefusesLong reports whether new requests are refused that may take long.
func (d *Drain) RefusesLong() bool { return d.refusingLong.Load() || d.refusing.Load() }

// Stop says how a server stops. Times count from the begin of the stop.
type Stop struct {
	// ReadinessDelay is how long the balancer may still send callers here.
	ReadinessDelay time.Duration
	// TakeLong is how long requests are taken that may take long, and Take how long others
	// are, on connections that callers still use. Neither is shorter than ReadinessDelay.
	TakeLong time.Duration
	Take     time.Duration
	// Cause ends the requests that are open when the time is over.
	Cause error
}

// Run begins the stop and waits until no request is open. What is open when ctx ends is
// ended with the cause, and its number returned.
func (d *Drain) Run(ctx context.Context, set *Set, stop Stop) int {
	d.begun.Store(true)
	refuseLongTimer := time.AfterFunc(max(stop.TakeLong, stop.ReadinessDelay), func() { d.refusingLong.Store(true) })
	defer refuseLongTimer.Stop()
	refuseTimer := time.AfterFunc(max(stop.Take, stop.ReadinessDelay), func() { d.refusing.Store(true) })
	defer refuseTimer.Stop()
	readinessTimer := time.NewTimer(stop.ReadinessDelay)
	defer readinessTimer.Stop()
	select {
	case <-readinessTimer.C:
	case <-ctx.Done():
	}
	idle := set.waitIdle(ctx)
	d.refusing.Store(true)
	if idle {
		// A request may have come in between.
		select {
		case <-set.Empty():
			return 0
		case <-ctx.Done():
		}
	}
	cancelled := set.CancelAll(stop.Cause)
	<-set.Empty()
	return cancelled
}
