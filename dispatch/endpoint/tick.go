package endpoint

import (
	"math"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/dispatch/concurrency"
	"github.com/arbutuswinch/winch/dispatch/measure"
)

// tick performs the periodic housekeeping: it reads the progress of streams, adjusts limits,
// detects silent endpoints, refuses expired requests, preempts, and fills free slots.
func (c *core) tick(now time.Time) {
	if now.Sub(c.tickedAt) > pauseTicks*c.settings.Tick {
		c.resumedAt = now
	}
	c.noteStop(now)
	c.tickedAt = now
	c.refreshInterTokenTargets()
	for _, e := range c.sortedEndpoints {
		c.readAllProgress(now, e)
		c.checkSilence(now, e)
		c.checkLeaving(now, e)
		c.checkRest(now, e)
		e.decayReserve(c.settings.Tick)
		if c.features.adaptiveLimit {
			e.limit.Adjust(now, e.set.interTokenTarget, e.running+e.others)
		} else {
			e.limit.Raise(now)
		}
		e.history.Add(now, float64(e.running+e.others))
	}
	c.refresh(now)
	c.checkReach(now)
	c.expire(now)
	c.refuseUnservedSoftware(now)
	c.moveEvacuated(now)
	c.pruneIncomplete(now)
	for _, l := range c.sortedLanes {
		c.updateAverageRunning(now, l)
		risk := c.atRisk(now, l)
		c.adjustAperture(l, risk > 0)
		if risk > 0 {
			c.preemptFor(now, l)
		}
		c.preemptForOthers(now, l)
		c.checkQueueLength(now, l)
	}
	c.fillAll(now)
	c.handOverQueued(now)
}

// pauseTicks is the gap between two ticks, in tick intervals, above which the process counts as
// having been paused.
const pauseTicks = 5

// expire refuses the queued requests that have expired.
func (c *core) expire(now time.Time) {
	for len(c.expiry) > 0 && !c.expiry[0].expires.After(now) {
		r := c.expiry[0]
		reason := winch.RefusedWait
		if !r.work.Deadline.IsZero() && now.Add(secondsOf(r.lane.firstToken.Value)).After(r.work.Deadline) {
			reason = winch.RefusedDeadline
		}
		if r.heldByDeadline && r.expires.Before(r.queuedAt.Add(r.lane.maxWait())) {
			r.lane.completion.notBegun.expired++
			c.refuseLate(now, r, c.drainTime(now, r.lane))
			continue
		}
		c.refuse(now, r, r.lane, reason, c.drainTime(now, r.lane))
	}
}

// checkQueueLength emits an effect when the queue or its oldest wait becomes long, and another
// when both are short again.
func (c *core) checkQueueLength(now time.Time, l *lane) {
	oldest := l.oldestWait(now)
	switch {
	case !l.longQueueLogged && (l.queued > l.queueLimit()/2 || oldest > l.maxWait()/2):
		l.longQueueLogged = true
		c.emit(effect{kind: effectQueueLong, at: now, lane: l, duration: oldest})
	case l.longQueueLogged && l.queued <= l.queueLimit()/4 && oldest <= l.maxWait()/4:
		l.longQueueLogged = false
		c.emit(effect{kind: effectQueueShort, at: now, lane: l})
	}
}

// incompleteRetention is how long a request whose last attempt did not complete is remembered.
const incompleteRetention = 10 * time.Second

func (c *core) pruneIncomplete(now time.Time) {
	if now.Sub(c.incompletePrunedAt) < time.Second {
		return
	}
	c.incompletePrunedAt = now
	for id, at := range c.incompleteAttempts {
		if now.Sub(at) > incompleteRetention {
			delete(c.incompleteAttempts, id)
		}
	}
}

// readAllProgress reads the progress of all requests that run on the endpoint.
func (c *core) readAllProgress(now time.Time, e *endpoint) {
	if e.running == 0 {
		return
	}
	for i := range e.tiers {
		for r := e.tiers[i].newest; r != nil; r = r.runNext {
			c.readProgress(now, r)
		}
	}
}

// readProgress applies what the stream has recorded since the last call. It charges new tokens and samples
// latencies. At the first token it also subtracts the prompt from the endpoint's pending prefill, and
// records a success, which may restore an ejected endpoint.
func (c *core) readProgress(now time.Time, r *request) {
	p := r.progress
	if p == nil {
		return
	}
	first, last, tokens := p.first.Load(), p.last.Load(), winch.Tokens(p.tokens.Load())
	if first != 0 && !r.firstSeen {
		r.firstSeen = true
		r.lastOutputAt = time.Unix(0, first)
		// If several tokens arrived at once with the first, that is the time to the whole response, not
		// to the first token.
		if whole := first == last && tokens > 1; !whole {
			c.sampleFirstToken(r, r.lastOutputAt)
		}
		if r.endpoint != nil {
			r.endpoint.dropLowerTierPrefill(r)
			r.endpoint.dropPendingPrefill(r)
			r.endpoint.settleParts(r, true)
			c.recordSuccess(now, r.endpoint)
			if !r.nonStreaming() {
				r.recordAnswer(now)
			}
		}
	}
	delta := tokens - r.chargedOutput
	if delta <= 0 {
		return
	}
	r.chargedOutput = tokens
	c.chargeOwn(r.account, float64(delta)*c.settings.OutputWeight)
	if r.endpoint == nil {
		return
	}
	r.endpoint.growTokens(r)
	at := time.Unix(0, last)
	r.endpoint.recordAlive(r.grantedAt, at)
	if r.firstSeen && at.After(r.lastOutputAt) {
		seconds := at.Sub(r.lastOutputAt).Seconds()
		r.endpoint.limit.SampleInterToken(seconds / float64(delta))
		c.sampleInterval(now, r, seconds, float64(delta))
		r.lastOutputAt = at
	}
	if !r.long && r.work.OutputDone+tokens >= c.settings.LongOutput {
		r.long = true
		r.endpoint.longRunning++
	}
}

func (c *core) sampleFirstToken(r *request, at time.Time) {
	seconds := at.Sub(r.grantedAt).Seconds()
	r.lane.firstToken.Add(seconds, firstTokenWeight)
	c.samplePrefillSpeed(r, seconds)
	if r.endpoint != nil {
		r.endpoint.limit.SampleFirstToken(seconds, r.lane.class.FirstTokenTarget)
	}
}

// refresh recomputes the values that choices read: slots, latency means, slowdowns and shares.
func (c *core) refresh(now time.Time) {
	statsFresh := c.hostStatsFresh(now)
	for _, e := range c.sortedEndpoints {
		c.updateCold(now, e)
		c.updateDemand(now, e)
		if !statsFresh {
			// prefill.others keeps its last value.
			e.others, e.tokens.Others = 0, 0
		}
		e.updatePaces(now)
		e.cap = e.currentSlots(now, c.settings.RampTime)
		e.updateReportWeight(now, c.settings.ReportMaxAge)
	}
	c.resetSets()
	c.countEvacuatedRunning()
	c.refreshTokens(now)
	c.refreshCaches(now)
	for _, l := range c.sortedLanes {
		l.refreshMeans()
		c.refreshSlots(now, l)
	}
	c.refreshPaces(now)
	c.refreshSlotDemand(now)
	for _, e := range c.sortedEndpoints {
		e.slowdown = c.slowdownOf(now, e)
		e.updateKept()
		c.computeFairShare(now, e)
	}
	c.setStreamsMayMove(now)
	c.partitionEndpoints(now)
	c.refreshCompletion(now)
	c.updatePrefillBudgets(now)
}

// runningUpTo counts the running requests of the tier and those above.
func (e *endpoint) runningUpTo(tier winch.Tier) int {
	count := 0
	for i := range e.tiers {
		if e.tiers[i].tier <= tier {
			count += e.tiers[i].count
		}
	}
	return count
}

const (
	slowdownMin = 0.7
	slowdownMax = 5
	// quietAfter is the time without output after which an endpoint with running streams counts as
	// slower by the factor quietPenalty, well before SilenceLimit ejects it.
	quietAfter   = 500 * time.Millisecond
	quietPenalty = 2
)

// slowdownOf returns the endpoint's latency relative to the mean of the endpoints that serve its
// highest-tier lane. For an endpoint that states its pace, that counts instead: it is newer, and the latency contains it. The
// result is multiplied by quietPenalty while streams are running but no output arrives.
func (c *core) slowdownOf(now time.Time, e *endpoint) float64 {
	if len(e.lanes) == 0 {
		return 1
	}
	factor, stated := e.relativePace()
	if !stated {
		factor = math.Max(ratio(e.limit.LongRunInterToken, e.lanes[0].meanInterToken), ratio(e.limit.LongRunFirstToken, e.lanes[0].meanFirstToken))
		factor = math.Min(slowdownMax, math.Max(slowdownMin, factor))
	}
	if e.running > 0 && e.spec.Kind == winch.EndpointEngine {
		if e.summariseRunning().streaming && now.Sub(time.Unix(0, e.lastHeard.Load())) > quietAfter {
			factor *= quietPenalty
		}
	}
	return factor
}

func ratio(own, all measure.Mean) float64 {
	if own.Samples < concurrency.MinSamples || all.Value <= 0 {
		return 1
	}
	return own.Value / all.Value
}
