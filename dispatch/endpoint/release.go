package endpoint

import (
	"time"

	"github.com/arbutuswinch/winch"
)

// release frees the request's slot and assigns it to the next queued request.
func (c *core) release(now time.Time, r *request, outcome winch.Outcome) {
	if r.state != requestRunning {
		return
	}
	l, e := r.lane, r.endpoint
	c.readProgress(now, r)
	if r.remote == nil {
		c.recordEnd(now, r, outcome)
	}
	r.state = requestInactive
	r.account.active--
	c.emit(effect{kind: effectReleased, at: now, request: r, lane: l, endpoint: e, remote: r.remote, outcome: outcome,
		duration: now.Sub(r.grantedAt)})
	if outcome != winch.OutcomeDone {
		c.incompleteAttempts[r.work.Request] = now
	}
	if r.remote != nil {
		r.remote.release(now, outcome)
		return
	}
	e.remove(r)
	e.settleParts(r, r.firstSeen || outcome == winch.OutcomeDone)
	e.history.Add(now, float64(e.running+e.others))
	l.running--
	if e.cheap {
		l.cheapRunning--
	}
	if r.floor {
		l.floorRunning--
	}
	if r.preemptedForOwnQueue {
		l.preemptedRunning--
	}
	if r.preempted && r.mayMove() {
		l.movingRunning--
	}
	c.recordProbe(now, r, outcome)
	c.recordOutcome(now, r, outcome)
	c.fill(now, e)
}

// recordOutcome updates hold time, retry budget, limit and health from the outcome of a slot.
func (c *core) recordOutcome(now time.Time, r *request, outcome winch.Outcome) {
	r.endpoint.cold.observeOutcome(outcome)
	switch outcome {
	case winch.OutcomeDone:
		r.recordAnswer(now)
		r.lane.holdTime.Add(now.Sub(r.grantedAt).Seconds(), holdTimeWeight)
		if !r.attemptedBefore() {
			r.lane.outputs.Observe(r.work.OutputHint, r.chargedOutput)
		}
		r.lane.budget.Success(now, c.settings.RetryShare)
		if r.nonStreaming() {
			// The first-token target of such a class is the time to the whole response. If its first
			// byte was recorded, readProgress has sampled that time as well.
			r.lane.firstToken.Add(now.Sub(r.grantedAt).Seconds(), firstTokenWeight)
			r.endpoint.limit.SampleFirstToken(now.Sub(r.grantedAt).Seconds(), r.lane.class.FirstTokenTarget)
		}
		c.recordSuccess(now, r.endpoint)
	case winch.OutcomeUnsent:
		r.endpoint.recordLostConnection(now)
		c.recordFailure(now, r.endpoint, true)
	case winch.OutcomeFailed:
		r.endpoint.recordLostConnection(now)
		c.recordFailure(now, r.endpoint, false)
	case winch.OutcomeRestarted:
		r.endpoint.recordLostConnection(now)
	case winch.OutcomeRejected:
		// The endpoint refused the request because of its load, which was this request and those still
		// running, so the decrease starts there.
		r.endpoint.limit.Reject(now, r.endpoint.running+1)
	}
}
