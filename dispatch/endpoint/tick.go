package endpoint

import (
	"math"
	"time"

	"github.com/arbutuswinch/winch"
)

// tick does the housekeeping: it reads the progress of streams, adapts limits,
// finds silent endpoints, gives up requests whose time is over, and fills free slots.
func (c *core) tick(now time.Time) {
	if now.Sub(c.tickedAt) > pauseTicks*c.settings.Tick {
		c.wokeAt = now
	}
	c.tickedAt = now
	for _, e := range c.ordered {
		c.collectAll(now, e)
		c.checkSilence(now, e)
		c.checkLeaving(now, e)
		e.decayReserve(c.settings.Tick)
		if c.features.adaptiveLimit {
			e.limit.adjust(now, c.interTarget(e), e.running+e.others)
		}
		e.history.add(now, float64(e.running+e.others))
	}
	c.refresh(now)
	c.expire(now)
	c.forgetBroken(now)
	for _, l := range c.sorted {
		c.noteUsual(now, l)
		risk := c.atRisk(now, l)
		c.widen(l, risk > 0)
		if risk > 0 {
			c.preemptFor(now, l)
		}
		c.preemptForOthers(now, l)
		c.watchLength(now, l)
	}
	c.pump(now)
	c.handOverWaiting(now)
}

// pauseTicks is the number of ticks without one after which the host was paused.
const pauseTicks = 5

// expire gives up the queued requests whose time is over.
func (c *core) expire(now time.Time) {
	for len(c.expiry) > 0 && !c.expiry[0].expires.After(now) {
		r := c.expiry[0]
		reason := winch.RefusedWait
		if !r.work.Deadline.IsZero() && now.Add(secondsOf(r.lane.firstToken.value)).After(r.work.Deadline) {
			reason = winch.RefusedDeadline
		}
		c.refuse(now, r, r.lane, reason, c.drain(now, r.lane))
	}
}

// watchLength warns when a queue is long or old, and tells when it no longer is.
func (c *core) watchLength(now time.Time, l *lane) {
	oldest := l.oldestWait(now)
	switch {
	case !l.warned && (l.queued > l.queueLimit()/2 || oldest > l.maxWait()/2):
		l.warned = true
		c.emit(effect{kind: effectQueueLong, at: now, lane: l, wait: oldest})
	case l.warned && l.queued <= l.queueLimit()/4 && oldest <= l.maxWait()/4:
		l.warned = false
		c.emit(effect{kind: effectQueueShort, at: now, lane: l})
	}
}

// brokenRetention is how long an attempt that did not end well is remembered.
const brokenRetention = 10 * time.Second

func (c *core) forgetBroken(now time.Time) {
	if now.Sub(c.brokenAt) < time.Second {
		return
	}
	c.brokenAt = now
	for id, at := range c.broken {
		if now.Sub(at) > brokenRetention {
			delete(c.broken, id)
		}
	}
}

func (c *core) collectAll(now time.Time, e *endpoint) {
	for i := range e.tiers {
		for r := e.tiers[i].newest; r != nil; r = r.runNext {
			c.collect(now, r)
		}
	}
}

// collect charges what the stream produced since the last time, and learns its times.
func (c *core) collect(now time.Time, r *request) {
	p := r.progress
	if p == nil {
		return
	}
	first, last, tokens := p.first.Load(), p.last.Load(), winch.Tokens(p.tokens.Load())
	if first != 0 && !r.firstSeen {
		r.firstSeen = true
		r.collectedAt = time.Unix(0, first)
		// An answer that came as a whole tells nothing of the first token.
		if whole := first == last && tokens > 1; !whole {
			c.sampleFirst(r, r.collectedAt)
		}
		if r.endpoint != nil {
			r.endpoint.read(r)
			r.endpoint.noteRead(r)
			c.answered(now, r.endpoint)
		}
	}
	delta := tokens - r.collected
	if delta <= 0 {
		return
	}
	r.collected = tokens
	c.charge(r.account, float64(delta)*c.settings.OutputWeight)
	if r.endpoint == nil {
		return
	}
	at := time.Unix(0, last)
	if r.firstSeen && at.After(r.collectedAt) {
		r.endpoint.limit.sampleInter(at.Sub(r.collectedAt).Seconds() / float64(delta))
		r.collectedAt = at
	}
	if !r.long && r.work.OutputDone+tokens >= c.settings.LongOutput {
		r.long = true
		r.endpoint.long++
	}
}

func (c *core) sampleFirst(r *request, at time.Time) {
	seconds := at.Sub(r.grantedAt).Seconds()
	r.lane.firstToken.add(seconds, sampleWeight)
	c.sampleReading(r, seconds)
	if r.endpoint != nil {
		r.endpoint.limit.sampleFirst(seconds, r.lane.class.FirstTokenTarget)
	}
}

// interTarget returns the tightest target between tokens, in seconds, of the
// classes that use the endpoint at present; zero when there is none.
func (c *core) interTarget(e *endpoint) float64 {
	tightest := 0.0
	for _, l := range e.lanes {
		target := l.class.InterTokenTarget.Seconds()
		if target > 0 && l.running+l.queued > 0 && (tightest == 0 || target < tightest) {
			tightest = target
		}
	}
	return tightest
}

// refresh renews the figures that choices read: slots, slowness and shares.
func (c *core) refresh(now time.Time) {
	informed := c.informed(now)
	for _, e := range c.ordered {
		if !informed {
			e.others = 0
		}
		e.cap = e.slots(now, c.settings.RampTime)
		e.weigh(now, c.settings.ReportHorizon)
	}
	for _, l := range c.sorted {
		l.slots, l.steadyRoom = 0, 0
		l.interMean, l.firstMean = average{}, average{}
		for _, e := range l.endpoints {
			l.interMean.addMean(e.limit.steadyInter)
			l.firstMean.addMean(e.limit.steadyFirst)
			if !e.serving || now.Before(e.health.ejectedUntil) {
				continue
			}
			l.slots += float64(e.cap)
			if !e.cheap {
				l.steadyRoom += float64(e.cap - e.upTo(l.class.Tier))
			}
		}
	}
	for _, e := range c.ordered {
		e.factor = c.slowness(now, e)
		c.share(now, e)
	}
	c.setAside(now)
}

// upTo counts the running requests of the tier and higher ones.
func (e *endpoint) upTo(tier winch.Tier) int {
	count := 0
	for i := range e.tiers {
		if e.tiers[i].tier <= tier {
			count += e.tiers[i].count
		}
	}
	return count
}

const (
	slownessMin  = 0.7
	slownessMax  = 5
	quietAfter   = 500 * time.Millisecond
	quietPenalty = 2
)

// slowness compares the endpoint's times with those of the endpoints that serve the same.
func (c *core) slowness(now time.Time, e *endpoint) float64 {
	if len(e.lanes) == 0 {
		return 1
	}
	factor := math.Max(ratio(e.limit.steadyInter, e.lanes[0].interMean), ratio(e.limit.steadyFirst, e.lanes[0].firstMean))
	factor = math.Min(slownessMax, math.Max(slownessMin, factor))
	if e.running > 0 && e.spec.Kind == winch.EndpointEngine {
		if e.awaited().streaming && now.Sub(time.Unix(0, e.lastHeard.Load())) > quietAfter {
			factor *= quietPenalty
		}
	}
	return factor
}

func ratio(own, all average) float64 {
	if own.samples < minimumSamples || all.value <= 0 {
		return 1
	}
	return own.value / all.value
}
