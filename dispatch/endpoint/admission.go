package endpoint

import (
	"math"
	"time"

	"github.com/arbutuswinch/winch"
)

// starved reports whether the lane's oldest request has waited for more than half of the
// maximum wait while the class runs fewer requests than its floor, the minimum share of slots that
// Class.Floor guarantees it.
func (c *core) starved(now time.Time, l *lane) bool {
	return c.features.floors && l.queued > 0 && l.oldestWait(now) > l.maxWait()/2 && c.belowFloor(now, l)
}

func (c *core) belowFloor(now time.Time, l *lane) bool {
	if l.class.Floor <= 0 {
		return false
	}
	running := l.holding()
	if c.hostStatsFresh(now) {
		running += l.others.Running
	}
	return float64(running) < l.floorSlots()
}

// floorDue reports whether a slot granted now counts towards the lane's floor: the class is
// below it while a higher tier has queued requests.
func (c *core) floorDue(now time.Time, l *lane) bool {
	if !c.belowFloor(now, l) {
		return false
	}
	for _, competitor := range l.competitors {
		if competitor.higher(l) && (competitor.queued > 0 || c.hostStatsFresh(now) && competitor.others.Queued > 0) {
			return true
		}
	}
	return false
}

func (l *lane) floorSlots() float64 {
	if l.class.Floor <= 0 {
		return 0
	}
	return math.Max(1, math.Floor(l.class.Floor*l.slots))
}

// countLowerTier counts the lower-tier requests that compete with the lane for its endpoints.
func (c *core) countLowerTier(now time.Time, l *lane) lowerTierWork {
	w := lowerTierWork{}
	if l == nil {
		return w
	}
	for _, e := range l.endpoints {
		if e.usable(now) {
			w.movableHere += e.movableBelow(l.class.Tier)
		}
	}
	for _, competitor := range l.competitors {
		if !l.higher(competitor) {
			w.waiting += competitor.queued
			continue
		}
		w.queued += competitor.queued
		w.floor += competitor.floorRunning
		if c.hostStatsFresh(now) {
			w.othersQueued += competitor.others.Queued
			w.movableElsewhere += competitor.others.Movable
		}
	}
	return w
}

// movableRunning counts the lane's requests on this host that could be preempted.
func (c *core) movableRunning(l *lane) int {
	if l.key.group.model == "" {
		return 0
	}
	return max(0, l.running-l.floorRunning-l.movingRunning-l.pinned)
}

// predictedWait returns how long a new request of the lane would wait. It assumes that lower
// tiers have already been preempted and that the slots of the lane's floor are free. The place in
// the queue is that of a new request of r's account; if r is nil, it is behind all queued requests.
func (c *core) predictedWait(now time.Time, l *lane, r *request) time.Duration {
	ahead, taken := 1.0, 0.0
	for _, competitor := range l.competitors {
		if l.higher(competitor) {
			continue
		}
		queued, running := float64(competitor.queued), float64(competitor.holding())
		if competitor == l {
			queued = c.queuedAhead(l, r)
		}
		if c.hostStatsFresh(now) {
			queued += c.queuedAheadElsewhere(competitor, queued)
			running += float64(competitor.others.Running)
		}
		ahead += queued
		if competitor.higher(l) {
			taken += l.slotsTaken(running, competitor.averageRunning)
		}
		if competitor.class.Tier == l.class.Tier || competitor.higher(l) {
			ahead += running
		}
	}
	// Running requests were counted as work ahead, so the slots that they occupy are subtracted.
	ahead -= l.slots
	prefillWait := max(c.prefillWait(l, r), l.restWait(now))
	if ahead <= 0 || l.holdTime.Samples == 0 {
		return prefillWait
	}
	slots := math.Max(math.Max(l.slots-taken, l.floorSlots()), minimumSlots)
	return max(prefillWait, secondsOf(ahead*l.holdTime.Value*l.paceShift/slots))
}

const (
	minimumSlots = 0.5 // lower bound of the slots by which a predicted wait is divided
	// averageRunningWindow is the time constant of a lane's average number of running requests.
	averageRunningWindow = 20 * time.Second
)

// slotsTaken returns how many slots a higher-tier lane, which now runs the given number of
// requests, is expected to occupy over this lane's first-token target. The longer the target, the
// less of what exceeds the higher-tier lane's mean is counted: a burst is assumed to end within
// averageRunningWindow.
func (l *lane) slotsTaken(running, mean float64) float64 {
	share := math.Min(1, float64(l.class.FirstTokenTarget)/float64(averageRunningWindow))
	return running - share*math.Max(0, running-mean)
}

// updateAverageRunning adds the current number of running requests to the lane's average. It is
// called once per tick.
func (c *core) updateAverageRunning(now time.Time, l *lane) {
	running := float64(l.holding())
	if c.hostStatsFresh(now) {
		running += float64(l.others.Running)
	}
	l.averageRunning += (running - l.averageRunning) * float64(c.settings.Tick) / float64(averageRunningWindow)
}

// queuedAhead returns how many of the lane's requests queued on this host are served before a
// new request of the account. Accounts are served in turn, so a flood from one account does not
// count for the others.
func (c *core) queuedAhead(l *lane, r *request) float64 {
	queued := float64(l.queued)
	if !c.features.fairness || r == nil {
		return queued
	}
	own := 0.0
	if queue, found := l.byAccount[r.account]; found {
		own = float64(queue.queued)
	}
	// The account's queued requests and the new one need own+1 turns. In each turn, every account is
	// served at most once. The account is counted twice if it has a queue already.
	return math.Min(queued, (own+1)*float64(len(l.queueHeap)+1))
}

// queuedAheadElsewhere returns how many of the lane's requests queued on other hosts are served
// before the given number that is ahead on this host. It is in proportion to the share of this
// host's queue that is ahead, since hosts share slots by demand.
func (c *core) queuedAheadElsewhere(l *lane, ahead float64) float64 {
	if l.queued == 0 {
		// Without a queue on this host there is no such share; about one request per host is assumed.
		return math.Min(float64(l.others.Queued), float64(c.hosts))
	}
	return float64(l.others.Queued) * math.Min(1, ahead/float64(l.queued))
}

// admit reports whether a request that found no free slot may queue. If not, it refuses the request.
func (c *core) admit(now time.Time, r *request) bool {
	l := r.lane
	if r.attemptedBefore() {
		return true
	}
	wait := c.predictedWait(now, l, r)
	if c.features.earlyRefusal && c.cannotEnd(now, l, r, wait) {
		l.completion.notBegun.refused++
		c.refuseLate(now, r, wait)
		return false
	}
	if c.features.earlyRefusal && c.wouldMissTarget(now, r, wait) && !c.preemptLower(now, l) {
		reason := winch.RefusedWait
		if !r.work.Deadline.IsZero() && now.Add(wait).After(r.work.Deadline) {
			reason = winch.RefusedDeadline
		}
		c.refuse(now, r, l, reason, wait)
		return false
	}
	if l.queued < l.queueLimit() {
		return true
	}
	return c.admitToFullQueue(now, r, wait)
}

// maxRefuseMargin bounds the margin below the first-token target within which a predicted wait is
// already refused. The margin is the target times 1 - RefuseWaitShare; the bound lets a class with a
// long target wait for most of it, which gives bursts time to pass.
const maxRefuseMargin = 2 * time.Second

// wouldMissTarget reports whether a request with the predicted wait would miss its target or
// deadline and is better refused at once.
func (c *core) wouldMissTarget(now time.Time, r *request, wait time.Duration) bool {
	bound := r.lane.maxWait()
	if target := r.lane.class.FirstTokenTarget; target > 0 {
		margin := min(time.Duration(float64(target)*(1-c.settings.RefuseWaitShare)), maxRefuseMargin)
		bound = min(bound, target-margin)
	}
	if wait > bound {
		return true
	}
	if r.work.Deadline.IsZero() {
		return false
	}
	return now.Add(wait + secondsOf(r.lane.firstToken.Value)).After(r.work.Deadline)
}

// preemptLower reports whether a slot can be taken from a lower tier. It preempts a request
// of this host if possible; other hosts preempt theirs after the next exchange of statistics.
func (c *core) preemptLower(now time.Time, l *lane) bool {
	if !c.features.tiers || !c.features.preemption {
		return false
	}
	w := c.countLowerTier(now, l)
	if w.movableHere > 0 {
		if victim := c.victim(now, l); victim != nil {
			c.preempt(now, victim, l, false)
			return true
		}
	}
	// The requests that already wait here, in this tier and above, get the slots of other hosts first.
	return w.movableElsewhere > w.waiting
}

// admitToFullQueue decides on a request whose lane's queue is full, and reports whether the request may
// queue. It evicts the newest request of the lowest tier below the lane's, else preempts a lower
// tier. In these two cases the lane's queue exceeds its limit: in the first another queue becomes
// shorter instead, in the second a slot is expected to become free. Else it evicts the newest
// request of the account with the longest queue in the lane. Otherwise it refuses the request itself.
func (c *core) admitToFullQueue(now time.Time, r *request, wait time.Duration) bool {
	l := r.lane
	if c.features.tiers {
		if evicted := c.evictableOfLowerTier(l); evicted != nil {
			c.refuse(now, evicted, evicted.lane, winch.RefusedShed, c.predictedWait(now, evicted.lane, evicted))
			return true
		}
		if c.preemptLower(now, l) {
			return true
		}
	}
	if evicted := c.evictableOfLongestQueue(l, r); evicted != nil {
		c.refuse(now, evicted, l, winch.RefusedQueueFull, wait)
		return true
	}
	c.refuse(now, r, l, winch.RefusedQueueFull, wait)
	return false
}

// evictableOfLowerTier returns the request to evict from the queues of the lowest tier below the lane's, or nil.
func (c *core) evictableOfLowerTier(l *lane) *request {
	for i := len(l.competitors) - 1; i >= 0 && l.higher(l.competitors[i]); i-- {
		if candidate := l.competitors[i].newestEvictable(); candidate != nil {
			return candidate
		}
	}
	return nil
}

// evictableOfLongestQueue returns a request of the account with the longest queue, if that is
// longer than the queue of the arriving request's account would become; else nil.
func (c *core) evictableOfLongestQueue(l *lane, r *request) *request {
	if !c.features.fairness {
		return nil
	}
	candidate := l.newestEvictable()
	if candidate == nil || candidate.accountQueue.queued <= 1 {
		return nil
	}
	own := 0
	if queue, found := l.byAccount[r.account]; found {
		own = queue.queued
	}
	if candidate.accountQueue.queued <= own+1 {
		return nil
	}
	return candidate
}

// drainTime returns the predicted time until the lane's queue is empty.
func (c *core) drainTime(now time.Time, l *lane) time.Duration {
	if l.queued == 0 {
		return 0
	}
	return c.predictedWait(now, l, nil)
}
