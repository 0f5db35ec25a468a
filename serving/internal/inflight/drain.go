package inflight

import (
	"context"
	"sync/atomic"
	"time"
)

// Drain is the state of a server's graceful shutdown. New requests are accepted for a while
// and then refused; open requests are finished. Idle connections must be closed only after Run
// has returned, when requests are refused: a request that arrives while its connection is being
// closed must not be run.
type Drain struct {
	begun        atomic.Bool
	refusingLong atomic.Bool
	refusing     atomic.Bool
}

// Begun reports whether the shutdown has begun; the host is then not ready for new connections.
func (d *Drain) Begun() bool { return d.begun.Load() }

// Refuses reports whether new requests are refused.
func (d *Drain) Refuses() bool { return d.refusing.Load() }

// RefusesLong reports whether new requests that may take long are refused.
func (d *Drain) RefusesLong() bool { return d.refusingLong.Load() || d.refusing.Load() }

// DrainOptions holds the settings of a shutdown. All times start when the shutdown begins.
type DrainOptions struct {
	// ReadinessDelay is the time after which the load balancer sends no more callers here.
	ReadinessDelay time.Duration
	// AcceptLong is the maximum time for which new requests that may take long are accepted, on
	// connections that callers still use. AcceptAll is the same for all other requests. Values below
	// ReadinessDelay are raised to it.
	AcceptLong time.Duration
	AcceptAll  time.Duration
	// Cause is the error with which requests are cancelled that are still open at the end.
	Cause error
}

// Run begins the shutdown and waits until no request is open. All new requests are refused after
// AcceptAll at the latest, or as soon as ctx ends or, after ReadinessDelay, no request has been open
// or has arrived for idlePeriod. When ctx ends, Run cancels the requests that are still open with
// the cause and returns their number.
func (d *Drain) Run(ctx context.Context, set *Set, options DrainOptions) int {
	d.begun.Store(true)
	refuseLongTimer := time.AfterFunc(max(options.AcceptLong, options.ReadinessDelay), func() { d.refusingLong.Store(true) })
	defer refuseLongTimer.Stop()
	refuseTimer := time.AfterFunc(max(options.AcceptAll, options.ReadinessDelay), func() { d.refusing.Store(true) })
	defer refuseTimer.Stop()
	readinessTimer := time.NewTimer(options.ReadinessDelay)
	defer readinessTimer.Stop()
	select {
	case <-readinessTimer.C:
	case <-ctx.Done():
	}
	idle := set.waitIdle(ctx)
	d.refusing.Store(true)
	if idle {
		// A request may have arrived since waitIdle returned.
		select {
		case <-set.Empty():
			return 0
		case <-ctx.Done():
		}
	}
	cancelled := set.CancelAll(options.Cause)
	<-set.Empty()
	return cancelled
}
