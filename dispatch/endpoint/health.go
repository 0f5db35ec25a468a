package endpoint

import (
	"time"

	"github.com/arbutuswinch/winch"
)

// health decides whether an endpoint may get work. An ejected endpoint is left
// alone for a back-off, then tried with one request at a time until one is answered.
type health struct {
	failures     int
	ejectedUntil time.Time
	backoff      time.Duration
	probing      bool
	ejectedAt    time.Time
	// probedEarly says that a report showed the endpoint alive after its ejection.
	probedEarly bool
}

// usable tells whether the endpoint may get another request.
func (e *endpoint) usable(now time.Time) bool {
	if !e.serving {
		return false
	}
	if !e.health.probing {
		return true
	}
	return !now.Before(e.health.ejectedUntil) && e.running == 0
}

// eject takes the endpoint out for a back-off that doubles each time.
func (c *core) eject(now time.Time, e *endpoint, cause string) {
	h := &e.health
	switch {
	case !h.probing || h.backoff == 0:
		h.backoff = c.settings.EjectionTime
	case h.backoff*2 > c.settings.EjectionMax:
		h.backoff = c.settings.EjectionMax
	default:
		h.backoff *= 2
	}
	h.probing, h.failures, h.ejectedAt = true, 0, now
	h.ejectedUntil = now.Add(h.backoff)
	c.emit(effect{kind: effectEjected, at: now, endpoint: e, cause: cause, wait: h.backoff})
}

// recordSuccess notes evidence that the endpoint works.
func (c *core) recordSuccess(now time.Time, e *endpoint) {
	e.health.failures = 0
	if !e.health.probing || now.Before(e.health.ejectedUntil) {
		return
	}
	e.health = health{}
	e.rampSince = now
	c.emit(effect{kind: effectRestored, at: now, endpoint: e})
}

// probeEarly lets an ejected endpoint be tried early, once, when its own report shows it
// alive after the ejection.
func (c *core) probeEarly(now time.Time, e *endpoint, asOf time.Time) {
	h := &e.health
	if !h.probing || h.probedEarly || !now.Before(h.ejectedUntil) || !asOf.After(h.ejectedAt) {
		return
	}
	h.probedEarly, h.ejectedUntil = true, now
	c.fill(now, e)
}

// recordFailure counts a failure, and ejects the endpoint after several in a row.
func (c *core) recordFailure(now time.Time, e *endpoint, unreachable bool) {
	if !c.features.ejection || now.Before(e.health.ejectedUntil) {
		return
	}
	e.health.failures++
	if e.health.probing || unreachable || e.health.failures >= c.settings.FailureLimit {
		c.eject(now, e, "failures")
	}
}

// checkSilence ejects an endpoint that has streams under way and says nothing.
func (c *core) checkSilence(now time.Time, e *endpoint) {
	if !c.features.ejection || e.running == 0 || e.spec.Kind != winch.EndpointEngine || now.Before(e.health.ejectedUntil) {
		return
	}
	w := e.pendingWork()
	since := w.oldestGrantedAt
	if heard := time.Unix(0, e.lastHeard.Load()); heard.After(since) {
		since = heard
	}
	if c.resumedAt.After(since) {
		since = c.resumedAt
	}
	limit := c.settings.SilenceLimit
	if !w.streaming || w.longPrompt {
		// A prompt may keep an engine busy for long, and an answer may come as a whole.
		limit = max(limit, secondsOf(w.longestHold)) * promptSilenceFactor
	}
	if now.Sub(since) <= limit {
		return
	}
	move := w.streaming || e.health.probing
	c.eject(now, e, "silence")
	if move {
		c.moveStreams(now, e)
	}
}

const promptSilenceFactor = 3

// pendingWork is what is known of the answers that an endpoint owes.
type pendingWork struct {
	// streaming says that tokens of at least one stream have come.
	streaming bool
	// longPrompt says that a long prompt has no token yet.
	longPrompt      bool
	oldestGrantedAt time.Time // when the oldest was given
	longestHold     float64   // the longest usual time of its classes, in seconds
}

func (e *endpoint) pendingWork() pendingWork {
	w := pendingWork{}
	for i := range e.tiers {
		for r := e.tiers[i].newest; r != nil; r = r.runNext {
			w.streaming = w.streaming || r.firstSeen
			w.longPrompt = w.longPrompt || r.long && !r.firstSeen
			w.longestHold = max(w.longestHold, r.lane.holdTime.value)
			if w.oldestGrantedAt.IsZero() || r.grantedAt.Before(w.oldestGrantedAt) {
				w.oldestGrantedAt = r.grantedAt
			}
		}
	}
	return w
}

// moveStreams asks every stream to leave the endpoint.
func (c *core) moveStreams(now time.Time, e *endpoint) {
	for i := range e.tiers {
		for r := e.tiers[i].newest; r != nil; r = r.runNext {
			if !r.preempted && r.resumable() {
				e.markMoving(r)
				c.emit(effect{kind: effectMoved, request: r, endpoint: e, at: now})
			}
		}
	}
}
