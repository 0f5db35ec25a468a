package endpoint

import (
	"time"

	"github.com/arbutuswinch/winch"
)

// health tracks the failures of an endpoint. An ejected endpoint gets no requests during a
// back-off, and then one probe request at a time until one is answered.
type health struct {
	failures     int
	ejectedUntil time.Time
	backoff      time.Duration
	// ejected is set from the ejection until a request succeeds after the back-off.
	ejected   bool
	ejectedAt time.Time
	// unreachable is set if the endpoint did not accept the connection of the request for which it was ejected last.
	unreachable bool
	// probedEarly is set once a load report has ended a back-off early. Only the restoration resets it.
	probedEarly bool
}

// usable reports whether the endpoint's state and health allow another request.
func (e *endpoint) usable(now time.Time) bool {
	if !e.serving || now.Before(e.restsUntil) || !e.named.Ready(now) || !e.cold.share.Ready(now) {
		return false
	}
	if !e.health.ejected {
		return true
	}
	return e.probing(now) && e.running == 0
}

// probing reports whether the endpoint is ejected and its back-off is over.
func (e *endpoint) probing(now time.Time) bool {
	return e.health.ejected && !now.Before(e.health.ejectedUntil)
}

// eject takes the endpoint out of service for a back-off that doubles with each failed probe. The endpoint was unreachable if it did
// not accept a connection.
func (c *core) eject(now time.Time, e *endpoint, cause string, unreachable bool) {
	h := &e.health
	switch {
	case !h.ejected || h.backoff == 0:
		h.backoff = c.settings.EjectionTime
	case h.backoff*2 > c.settings.EjectionMax:
		h.backoff = c.settings.EjectionMax
	default:
		h.backoff *= 2
	}
	h.ejected, h.failures, h.ejectedAt, h.unreachable = true, 0, now, unreachable
	backoff := h.backoff
	if unreachable {
		backoff += c.probeSpread(e)
	}
	h.ejectedUntil = now.Add(backoff)
	c.emit(effect{kind: effectEjected, at: now, endpoint: e, cause: cause, duration: backoff})
}

// recordSuccess resets the failure count, and restores an ejected endpoint whose back-off is over.
func (c *core) recordSuccess(now time.Time, e *endpoint) {
	e.health.failures = 0
	if !e.health.ejected || now.Before(e.health.ejectedUntil) {
		return
	}
	e.health = health{}
	e.rampSince = now
	c.emit(effect{kind: effectRestored, at: now, endpoint: e})
}

// probeEarly ends the back-off of an ejected endpoint if the endpoint's own load report shows that it
// was alive after the ejection. It does so at most once between the first ejection and the restoration.
func (c *core) probeEarly(now time.Time, e *endpoint, asOf time.Time) {
	h := &e.health
	if !h.ejected || h.probedEarly || !now.Before(h.ejectedUntil) || !asOf.After(h.ejectedAt) {
		return
	}
	h.probedEarly, h.ejectedUntil = true, now
	c.fill(now, e)
}

// recordFailure counts a failure. It ejects the endpoint after FailureLimit failures in a row, and
// at once if the endpoint was unreachable or was being probed.
func (c *core) recordFailure(now time.Time, e *endpoint, unreachable bool) {
	if !c.features.ejection || now.Before(e.health.ejectedUntil) {
		return
	}
	e.health.failures++
	if e.health.ejected || unreachable || e.health.failures >= c.settings.FailureLimit {
		c.eject(now, e, "failures", unreachable)
	}
}

// checkSilence ejects an engine that has running requests but has sent no output for too long.
func (c *core) checkSilence(now time.Time, e *endpoint) {
	if !c.features.ejection || e.running == 0 || e.spec.Kind != winch.EndpointEngine || now.Before(e.health.ejectedUntil) {
		return
	}
	w := e.summariseRunning()
	since := w.oldestGrantedAt
	if heard := time.Unix(0, e.lastHeard.Load()); heard.After(since) {
		since = heard
	}
	if c.resumedAt.After(since) {
		since = c.resumedAt
	}
	limit := c.settings.SilenceLimit
	if !w.streaming || w.longPrompt {
		// Prefill of a long prompt, or a response that is not streamed, can take long before any output.
		limit = max(limit, secondsOf(w.longestHold)) * quietWorkFactor
	}
	if now.Sub(since) <= limit {
		return
	}
	// If no request has a first token yet, the engine may only be slow, so its requests stay at the first
	// ejection and are moved after a failed probe. This is determined before eject sets ejected.
	move := w.streaming || e.health.ejected
	c.eject(now, e, "silence", false)
	if move {
		c.moveStreams(now, e)
	}
}

// quietWorkFactor multiplies the silence limit while a lack of output may be normal: no running
// request has a first token yet, or a long prompt is being processed.
const quietWorkFactor = 3

// runningSummary summarises the running requests of an endpoint, for the detection of silence.
type runningSummary struct {
	// streaming is set if at least one request has received its first token.
	streaming bool
	// longPrompt is set if a request with long work has not received its first token.
	longPrompt      bool
	oldestGrantedAt time.Time // when the oldest of them was granted
	longestHold     float64   // longest average hold time of their lanes, in seconds
}

func (e *endpoint) summariseRunning() runningSummary {
	w := runningSummary{}
	for i := range e.tiers {
		for r := e.tiers[i].newest; r != nil; r = r.runNext {
			w.streaming = w.streaming || r.firstSeen
			w.longPrompt = w.longPrompt || r.long && !r.firstSeen
			w.longestHold = max(w.longestHold, r.lane.holdTime.Value)
			if w.oldestGrantedAt.IsZero() || r.grantedAt.Before(w.oldestGrantedAt) {
				w.oldestGrantedAt = r.grantedAt
			}
		}
	}
	return w
}

// moveStreams asks every stream that can be resumed elsewhere to leave the endpoint.
func (c *core) moveStreams(now time.Time, e *endpoint) {
	for i := range e.tiers {
		for r := e.tiers[i].newest; r != nil; r = r.runNext {
			if !r.preempted && r.resumable() && (e.streamsMayMove || !r.begun()) {
				e.markMoving(r)
				c.emit(effect{kind: effectMoved, request: r, endpoint: e, at: now})
			}
		}
	}
}

// observeLoad applies an endpoint's load report.
func (c *core) observeLoad(now time.Time, report winch.LoadReport) {
	e, found := c.endpoints[report.Endpoint]
	if !found {
		return
	}
	e.applyReport(report)
	e.cold.observeLoad(report)
	e.updateReportWeight(now, c.settings.ReportMaxAge)
	c.observePace(now, e, report.Pace)
	c.probeEarly(now, e, report.AsOf)
	c.applyReportedState(now, e, report)
}
