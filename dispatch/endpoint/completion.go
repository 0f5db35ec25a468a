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
	// returnSpread is the share of RetryAfterMax over which the returns of requests are spread that could not end in time.
	returnSpread = 0.25
)

// laneCompletion is what a lane knows of the ends of its requests.
type laneCompletion struct {
	counts measure.Mean // outputs of a response
	share  completion.Share
	waits  completion.Waits
	// shrunk is the share of the usual prompt tokens that may not be pending. Only the lowest tier's shrinks: what it leaves is enough for the
	// tiers above it, which would be refused otherwise while it begins.
	shrunk   float64
	notBegun notBegun
}

// notBegun counts the requests that were not begun because they could not end in time, by cause.
type notBegun struct {
	// refused were refused on arrival, expired in the queue, and held back at least once before they began or expired.
	refused, expired, held int64
}

// limitsCompletion reports whether the request begins only where it can end. The most urgent class is never kept from an endpoint for it.
func (c *core) limitsCompletion(l *lane, r *request) bool {
	return c.features.completion && r != nil && !r.work.Deadline.IsZero() && !r.nonStreaming() && !r.attemptedBefore() &&
		l.servedByEngines() && !l.highestTier
}

// refreshCompletion looks at the endpoints, and updates the lanes' windows.
func (c *core) refreshCompletion(now time.Time) {
	if !c.features.completion {
		return
	}
	for _, e := range c.sortedEndpoints {
		e.prefillTime.Observe(now, e.prefill.pending+e.prefill.others > 0)
	}
	for _, l := range c.sortedLanes {
		l.completion.shrunk = 0
		if l.lowestTier && !l.highestTier {
			l.completion.shrunk = 1 - l.completion.share.Update(now, c.endsLate(now, l), l.meanBusy())
		}
	}
}

// endsLate reports whether the lane's requests, or those of higher tiers at its endpoints, end too late.
func (c *core) endsLate(now time.Time, l *lane) bool {
	for _, competitor := range l.competitors {
		if !l.higher(competitor) && competitor.completion.share.Late(now) {
			return true
		}
	}
	return false
}

// meanBusy returns the mean share of the time in which the lane's endpoints prefill.
func (l *lane) meanBusy() float64 {
	busy, count := 0.0, 0.0
	for _, e := range l.endpoints {
		if e.serving {
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

// countScale is the count for which the tokens of an output are asked, so that rounding does not matter.
const countScale = 1000

// canEndAt reports whether the request ends before its deadline if it is sent to the endpoint now. What is not known is no reason
// against it.
func (c *core) canEndAt(now time.Time, l *lane, r *request, e *endpoint) bool {
	if !c.limitsCompletion(l, r) || e.idle() {
		return true
	}
	count, known := l.expectedCount(r)
	if !known {
		return true
	}
	interval, known := c.intervalsOf(l).Interval(now, e.prefillTime.Busy())
	if !known {
		return true
	}
	own := max(0, r.work.InputTokens-c.expectedCached(now, r, e, r.preferred))
	ahead := own
	if l.lowestTier {
		// Of the prompts that are pending, those of lower tiers are processed later. Only the lowest tier knows that all come first.
		ahead += e.prefill.pending + e.prefill.others
	}
	wait := secondsOf(l.completion.waits.Correct(now, float64(ahead)*e.slowdown/c.prefillSpeed(l)))
	if completion.InTime(now, r.work.Deadline, completion.Duration(wait, count, e.interval.Correct(now, interval*e.slowdown))) {
		return true
	}
	if !r.heldByDeadline {
		r.heldByDeadline = true
		l.completion.notBegun.held++
	}
	return false
}

// idle reports whether nothing is known to run at the endpoint.
func (e *endpoint) idle() bool {
	return e.running+e.others == 0 && e.prefill.pending+e.prefill.others == 0
}

// shortestRun returns how long the request takes at an endpoint that prefills for half of its time, which endpoints are never kept below,
// and zero if the request was not held back or that is not known.
func (c *core) shortestRun(now time.Time, l *lane, r *request) time.Duration {
	if r == nil || !r.heldByDeadline || !c.limitsCompletion(l, r) {
		return 0
	}
	count, known := l.expectedCount(r)
	if !known {
		return 0
	}
	interval, known := c.intervalsOf(l).Interval(now, completion.MinBusy)
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

// refuseLate refuses a request that could not end. Its caller is told to come back at a random time, since many are refused at once.
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

// sampleInterval adds the outputs that the request's stream has made since the last ones.
func (c *core) sampleInterval(now time.Time, r *request, seconds, count float64) {
	if !c.features.completion || r.nonStreaming() || r.lane == nil || !r.lane.servedByEngines() {
		return
	}
	c.intervalsOf(r.lane).Observe(now, r.endpoint.prefillTime.Busy(), seconds/r.endpoint.slowdown, count)
	r.endpoint.interval.Observe(now, seconds, count)
}

// sampleWait adds the time to the request's first token.
func (c *core) sampleWait(r *request, at time.Time) {
	if !c.features.completion || r.endpoint == nil || !r.lane.servedByEngines() {
		return
	}
	ahead := r.prefillAhead
	if !r.lane.lowestTier {
		ahead = r.pendingPrefill
	}
	r.lane.completion.waits.Observe(at, float64(ahead)*r.endpoint.slowdown/c.prefillSpeed(r.lane), at.Sub(r.grantedAt).Seconds())
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
