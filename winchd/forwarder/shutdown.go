package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/winchd/process"
)

const (
	// drainShare is the share of the grace period after which open requests are aborted.
	drainShare = 0.88
	// acceptStreamsFor is how long new streams are accepted during shutdown: later ones could not
	// finish within the grace period. With the default grace period of 8 s, a stream has at least
	// 4 s before it is aborted.
	acceptStreamsFor = 2900 * time.Millisecond
	// acceptLongShare is the share of the grace period during which requests are sent to endpoints that could run longer than
	// drainShare of it, acceptStreamsFor at most.
	acceptLongShare = 0.3625
	// acceptShare is the share of the grace period during which other new requests are accepted.
	acceptShare = 0.6
	// lastWriteShare is the share of the grace period during which callers may still read answers after drainShare of it.
	lastWriteShare = 0.06
	// readinessDelay is the time that the load balancer needs to detect that the host is not ready.
	readinessDelay = 2500 * time.Millisecond
)

// serveReady responds with status 200 while the load balancer may send requests to this host.
func (f *Forwarder) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !f.ready(f.clock.Now()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ready reports whether the host can serve: it is not shutting down, has a configuration and
// endpoints, and can validate keys unless they are optional.
func (f *Forwarder) ready(now time.Time) bool {
	if f.server.Draining() || len(f.endpoints.Endpoints()) == 0 {
		return false
	}
	switch f.configuration.Authority(now) {
	case winch.AuthorityFull:
		return true
	case winch.AuthorityOpen:
		return f.configuration.Current().KeysOptional
	}
	return false
}

// drain shuts the host down gracefully: other hosts take over its duties, the host reports that it is
// not ready and finishes open requests, and tunnels of other hosts. Those that are still open after drainShare of the grace
// period are cancelled.
func (f *Forwarder) drain(ctx context.Context) error {
	f.logger.Info("stopping", "Event", process.EventStopping, "Open", f.server.Open())
	f.table.Leave()
	f.tunnels.RefuseNew()
	limit := time.Duration(float64(f.settings.Bounds.Grace) * drainShare)
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	if err := f.server.Drain(drainCtx); err != nil {
		f.logger.Error("open requests cancelled at the drain timeout", "Event", process.EventDrainIncomplete, "Open", f.server.Open(), "Error", err)
	}
	f.tunnels.Drain(drainCtx)
	return nil
}
