package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/internal/runstate"
)

// answerTime is the time that the answer of a request needs whose deadline has passed.
const answerTime = 100 * time.Millisecond

// stopTimes are the times of a graceful shutdown.
type stopTimes struct {
	// longUntil is until when a request may be sent that could run longer than the shutdown lasts.
	longUntil time.Time
	// cut is when the requests that are still open are cancelled.
	cut time.Time
	// writeEnd is when answers that their callers have not read are given up, by the system clock.
	writeEnd time.Time
}

// stopCandidate is a request that would be sent to an endpoint during a shutdown.
type stopCandidate struct {
	deadline   time.Time
	expected   runTime
	kind       winch.ForwardKind
	repeatable bool
	// mayHaveRun reports whether the request can no longer be refused as not run.
	mayHaveRun bool
}

// maySend reports whether the request may be sent to an endpoint now. A request that ends before the shutdown does, at its
// deadline at the latest, always may. Others may as long as the load balancer still sends callers here, and if they are expected
// to end in time: refused later, they reach another host. One that may have run cannot be refused any more, and nobody would know
// whether one that must run once has run, so that its deadline alone counts.
func (t *stopTimes) maySend(now time.Time, c stopCandidate) bool {
	switch {
	case c.deadline.Add(answerTime).Before(t.cut):
		return true
	case c.mayHaveRun:
		return now.Add(c.expected.mean).Before(t.cut)
	case !now.Before(t.longUntil), c.kind == winch.ForwardOnce:
		return false
	case c.expected.limit == 0:
		return c.repeatable
	}
	return now.Add(c.expected.limit).Before(t.cut)
}

// beginStop sets the times of a shutdown that cancels open requests at the end of ctx. Without a deadline of ctx, no request
// can run longer.
func (s *Server) beginStop(ctx context.Context) (stop func()) {
	deadline, found := ctx.Deadline()
	if !found {
		return func() {}
	}
	now, long := s.now(), s.options.Limits.AcceptLong
	s.stopTimes.Store(&stopTimes{longUntil: now.Add(long), cut: now.Add(time.Until(deadline)), writeEnd: deadline.Add(s.options.Limits.LastWrite)})
	timer := time.AfterFunc(long, s.endLong)
	return func() { timer.Stop() }
}

func (s *Server) stopCandidate(now time.Time, req *request) stopCandidate {
	return stopCandidate{
		deadline: req.deadline, expected: s.runTimes.expected(now, req.admission.route.ID), kind: req.admission.route.Kind, repeatable: req.admission.route.Repeatable(),
		mayHaveRun: req.tracker.RunState() != runstate.NotRun,
	}
}

// checkStop checks whether the request may still be sent, if a shutdown has begun.
func (s *Server) checkStop(now time.Time, req *request) *fault {
	times := s.stopTimes.Load()
	if times == nil || times.maySend(now, s.stopCandidate(now, req)) {
		return nil
	}
	return notRun(string(winch.RefusedStopping), stoppingRetryAfter)
}

// slotContext returns a context for the wait for a slot. It ends as soon as the request may no longer be sent because of a
// shutdown.
func (s *Server) slotContext(ctx context.Context, req *request) (context.Context, context.CancelFunc) {
	waiting, cancel := context.WithCancelCause(ctx)
	candidate := s.stopCandidate(s.now(), req)
	stop := context.AfterFunc(s.longOver, func() {
		times := s.stopTimes.Load()
		now := s.now()
		if now.Before(times.longUntil) {
			now = times.longUntil
		}
		if !times.maySend(now, candidate) {
			cancel(errStopping)
		}
	})
	return waiting, func() {
		stop()
		cancel(nil)
	}
}

// endWrites ends, after the cut, a write of the response that had begun before the shutdown.
func (s *Server) endWrites(w http.ResponseWriter) {
	if times := s.stopTimes.Load(); times != nil {
		// The error is ignored because writers in tests may not support deadlines.
		_ = http.NewResponseController(w).SetWriteDeadline(times.writeEnd)
	}
}

// closeIfStopping makes the caller open its next connection, which reaches another host, if a shutdown has begun.
func (s *Server) closeIfStopping(w http.ResponseWriter) {
	if s.drain.Begun() {
		w.Header().Set("Connection", "close")
	}
}
