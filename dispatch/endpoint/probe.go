package endpoint

import (
	"math"
	"time"

	"github.com/arbutuswinch/winch"
)

// recordAnswer notes that the request's endpoint has answered.
func (r *request) recordAnswer(now time.Time) {
	r.lane.probeFailed = false
	r.endpoint.answeredAt = now
}

// recordProbe makes the lane avoid probes if the request was one and has failed. One that its caller ended, at its deadline or earlier,
// has failed if it brought nothing within the target of its class; the endpoint then stays out as after any failed probe.
func (c *core) recordProbe(now time.Time, r *request, outcome winch.Outcome) {
	if !r.probe {
		return
	}
	switch {
	case outcome == winch.OutcomeFailed, outcome == winch.OutcomeUnsent:
		r.lane.probeFailed = true
	case outcome == winch.OutcomeCancelled && !r.firstSeen && now.Sub(r.grantedAt) > c.probeTime(r.lane):
		r.lane.probeFailed = true
		c.recordFailure(now, r.endpoint, false)
	}
}

// probeTime returns how long a probe of the lane may bring nothing.
func (c *core) probeTime(l *lane) time.Duration {
	if l.class.FirstTokenTarget == 0 {
		return c.settings.SilenceLimit
	}
	return l.class.FirstTokenTarget
}

// avoidProbes leaves the eligible endpoints that are not ejected, or, if there are none, the one that answered last. It returns the best
// score that is left.
func (c *core) avoidProbes(l *lane) float64 {
	inService, latest := false, time.Time{}
	for i, e := range l.subset {
		if math.IsInf(c.scores[i], 1) {
			continue
		}
		inService = inService || !e.health.ejected
		if e.answeredAt.After(latest) {
			latest = e.answeredAt
		}
	}
	if inService {
		return c.keepScores(l, func(e *endpoint) bool { return !e.health.ejected })
	}
	return c.keepScores(l, func(e *endpoint) bool { return e.answeredAt.Equal(latest) })
}

// keepScores makes the scores of all other endpoints infinite, and returns the best score that is left.
func (c *core) keepScores(l *lane, keep func(*endpoint) bool) float64 {
	best := math.Inf(1)
	for i, e := range l.subset {
		if !keep(e) {
			c.scores[i] = math.Inf(1)
		}
		best = math.Min(best, c.scores[i])
	}
	return best
}
