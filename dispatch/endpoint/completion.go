package endpoint

import (
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/dispatch/completion"
	"github.com/arbutuswinch/winch/dispatch/measure"
)

// A request with a deadline begins only where its last token is expected before it. See docs/design/begin-what-can-end.md.

const (
	// countWeight is the weight of a sample in a lane's mean count of outputs, low since responses vary widely in length.
	countWeight = 0.03
	// minCountSamples is the number of responses from which their mean count is used.
	minCountSamples = 5
	// hintRange bounds the ratio of the outputs expected by a caller's hint to the class's mean. Hints are often far off.
	hintRange = 2
	// spillPause is how long a class does not use the endpoints that are reserved for latency-sensitive classes after one of its requests
	// was held back. Its long prompts would otherwise all go there.
	spillPause = time.Second
	// floorInterval is the time after which a host begins a request of a class in any case, so that no class starves by a wrong estimate.
	floorInterval = 5 * time.Second
	// returnSpread is the share of RetryAfterMax over which the retries of requests that could not end in time are spread.
	returnSpread = 0.25
)

// laneCompletion holds a lane's estimates of when its requests end.
type laneCompletion struct {
	counts measure.Mean // outputs of a response
	share  completion.Share
	// shrunk is the share by which the lane's prefill budget is reduced. Only that of the lowest tier is: this leaves enough for the tiers
	// above it.
	shrunk float64
	// leastBusy and busy are the smallest and the mean share of the time in which the lane's endpoints prefill.
	leastBusy, busy float64
	// begunAt is when a request of the lane last got a slot.
	begunAt time.Time
	// heldAt is when a request was last kept from an endpoint.
	heldAt   time.Time
	notBegun notBegun
}

// notBegun counts the requests that were not begun because they could not end in time, by cause.
type notBegun struct {
	// refused counts those refused on arrival, expired those refused in the queue, and held those kept from an endpoint at least once,
	// whether they began later or not.
	refused, expired, held int64
}

// limitsCompletion reports whether the request begins only where it can end. The most urgent class is never kept from an endpoint for it.
func (c *core) limitsCompletion(l *lane, r *request) bool {
	return c.features.completion && r != nil && !r.work.Deadline.IsZero() && !r.nonStreaming() && !r.attemptedBefore() &&
		l.servedByEngines() && !l.highestTier
}

// refreshCompletion samples the endpoints, and updates the lanes' budget reductions.
func (c *core) refreshCompletion(now time.Time) {
	if !c.features.completion {
		return
	}
	for _, e := range c.sortedEndpoints {
		e.prefillTime.Observe(now, e.prefill.pending+e.prefill.others > 0)
	}
	for _, l := range c.sortedLanes {
		l.completion.shrunk = 0
		l.refreshBusy()
		if l.lowestTier && !l.highestTier {
			l.completion.shrunk = 1 - l.completion.share.Update(now, c.endsLate(now, l), l.completion.busy)
		}
	}
}

// endsLate reports whether too many requests of the lane's tier or a higher one end late at its endpoints.
func (c *core) endsLate(now time.Time, l *lane) bool {
	for _, competitor := range l.competitors {
		if !l.higher(competitor) && competitor.completion.share.Late(now) {
			return true
		}
	}
	return false
}

// refreshBusy recomputes the shares of the time in which the lane's endpoints prefill.
func (l *lane) refreshBusy() {
	known := &l.set.last.busy[boolIndex(l.latencySensitive)]
	if *known == nil {
		*known = l
		l.completion.leastBusy, l.completion.busy = l.leastBusy(), l.meanBusy()
		return
	}
	l.completion.leastBusy, l.completion.busy = (*known).completion.leastBusy, (*known).completion.busy
}

// leastBusy returns the smallest share of its time in which one of the endpoints that serve the lane prefills.
func (l *lane) leastBusy() float64 {
	least := 1.0
	for _, e := range l.endpoints {
		if e.serving && e.told && !(l.partitioned && e.prefill.latencySensitive != l.latencySensitive) {
			least = min(least, e.prefillTime.Busy())
		}
	}
	return least
}

// meanBusy returns the mean share of the time in which the lane's endpoints prefill.
func (l *lane) meanBusy() float64 {
	busy, count := 0.0, 0.0
	for _, e := range l.endpoints {
		if e.serving && e.told {
			busy, count = busy+e.prefillTime.Busy(), count+1
		}
	}
	return busy / max(1, count)
}

// expectedCount returns the outputs that are expected of the request, as hosts count them, and false if that is not known.
func (l *lane) expectedCount(r *request) (float64, bool) {
	if l.completion.counts.Samples < minCountSamples {
		return 0, false
	}
	mean := l.completion.counts.Value
	if r.work.OutputHint <= 0 {
		return mean, true
	}
	perCount := float64(l.outputs.Produced(countScale)) / countScale
	return min(max(mean/hintRange, float64(r.work.OutputHint)/perCount), mean*hintRange), true
}

// countScale is the count for which lane.expectedCount asks for the number of tokens, large enough that rounding has no effect.
const countScale = 1000

// canEndAt reports whether the request is expected to end before its deadline if it is sent to the endpoint now. It returns true if there
// are too few samples for an estimate.
func (c *core) canEndAt(now time.Time, l *lane, r *request, e *endpoint) bool {
	if !c.limitsCompletion(l, r) || e.idle() {
		return true
	}
	if l.partitioned && e.prefill.latencySensitive && !l.latencySensitive && now.Sub(l.completion.heldAt) < spillPause {
		return false
	}
	count, known := l.expectedCount(r)
	if !known {
		return true
	}
	interval, known := c.intervalsOf(l).Interval(now, l.busyAt(e))
	if !known {
		return true
	}
	own := max(0, r.work.InputTokens-c.expectedCached(now, r, e, r.preferred))
	ahead := own
	if l.lowestTier {
		// Of the prompts that are pending, those of lower tiers are processed later. Only the lowest tier knows that all come first.
		ahead += e.prefill.pending + e.prefill.others
	}
	wait := secondsOf(float64(ahead) * e.slowdown / c.prefillSpeed(l))
	if completion.InTime(now, r.work.Deadline, completion.Duration(wait, count, e.interval.Correct(now, interval*e.slowdown))) {
		return true
	}
	if now.Sub(l.completion.begunAt) >= floorInterval {
		return true
	}
	l.completion.heldAt = now
	if !r.heldByDeadline {
		r.heldByDeadline = true
		l.completion.notBegun.held++
	}
	return false
}

// busyAt returns the share of its time in which the endpoint is expected to prefill for the lane's requests: that of the others if the hub
// tells this host nothing of it.
func (l *lane) busyAt(e *endpoint) float64 {
	if !e.told {
		return l.completion.busy
	}
	return e.prefillTime.Expected(l.completion.busy)
}

// busyNow returns the share of its time in which the endpoint has prefilled lately.
func (l *lane) busyNow(e *endpoint) float64 {
	if !e.told {
		return l.completion.busy
	}
	return e.prefillTime.Busy()
}

// idle reports whether the endpoint is known to have no requests.
func (e *endpoint) idle() bool {
	return e.told && e.running+e.others == 0 && e.prefill.pending+e.prefill.others == 0
}

// shortestRun returns how long the request takes at the least busy endpoint, or at one that prefills for half of its time if that one is less
// busy, and zero if the request was not held back or that is not known.
func (c *core) shortestRun(now time.Time, l *lane, r *request) time.Duration {
	if r == nil || !r.heldByDeadline || !c.limitsCompletion(l, r) {
		return 0
	}
	count, known := l.expectedCount(r)
	if !known {
		return 0
	}
	interval, known := c.intervalsOf(l).Interval(now, max(completion.MinBusy, l.completion.leastBusy))
	if !known {
		return 0
	}
	return completion.Duration(secondsOf(float64(r.ownTokens())/c.prefillSpeed(l)), count, interval)
}

// cannotEnd reports whether a request that was held back would end too late even if it began after the wait.
func (c *core) cannotEnd(now time.Time, l *lane, r *request, wait time.Duration) bool {
	run := c.shortestRun(now, l, r)
	return run > 0 && l.lowestTier && !completion.InTime(now.Add(wait), r.work.Deadline, run)
}

// refuseHead refuses the first request of the lane's queue if it cannot end any more even if it begins now. Those behind it have more time.
func (c *core) refuseHead(now time.Time, l *lane, r *request) bool {
	if !c.cannotEnd(now, l, r, 0) {
		return false
	}
	l.completion.notBegun.expired++
	c.refuseLate(now, r, c.drainTime(now, l))
	return true
}

// refuseLate refuses a request that could not end in time. Its caller is told a random time for a retry, since many are refused at once.
func (c *core) refuseLate(now time.Time, r *request, wait time.Duration) {
	spread := time.Duration(returnSpread * c.random.Float64() * float64(c.settings.RetryAfterMax))
	c.refuse(now, r, r.lane, winch.RefusedDeadline, max(wait, c.settings.RetryAfterMin)+spread)
}

func (c *core) intervalsOf(l *lane) *completion.Intervals {
	intervals := c.intervals[l.key.group]
	if intervals == nil {
		intervals = &completion.Intervals{}
		c.intervals[l.key.group] = intervals
	}
	return intervals
}

// sampleInterval adds a sample: the request's stream has brought count outputs in the seconds since the previous ones.
func (c *core) sampleInterval(now time.Time, r *request, seconds, count float64) {
	if !c.features.completion || r.nonStreaming() || r.lane == nil || !r.lane.servedByEngines() {
		return
	}
	c.intervalsOf(r.lane).Observe(now, r.lane.busyNow(r.endpoint), seconds/r.endpoint.slowdown, count)
	r.endpoint.interval.Observe(now, seconds, count)
}

// recordEnd learns from a request that has ended or was cut.
func (c *core) recordEnd(now time.Time, r *request, outcome winch.Outcome) {
	if !c.features.completion || r.nonStreaming() {
		return
	}
	late := !r.work.Deadline.IsZero() && !now.Before(r.work.Deadline)
	switch {
	case outcome == winch.OutcomeDone:
		if !r.attemptedBefore() && r.chargedOutput > 0 {
			r.lane.completion.counts.Add(float64(r.chargedOutput), countWeight)
		}
	case !late:
		return
	case r.firstSeen:
		c.sampleInterval(now, r, now.Sub(r.lastOutputAt).Seconds(), 0)
	}
	if !r.work.Deadline.IsZero() {
		r.lane.completion.share.Ended(now, late)
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
