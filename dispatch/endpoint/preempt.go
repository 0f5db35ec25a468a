package endpoint

import (
	"math"
	"time"
)

// relieve makes lower tiers give way when requests of the lane wait and their target is at risk.
func (c *core) relieve(now time.Time, l *lane) {
	if !c.features.preemption || !c.atRisk(now, l) {
		return
	}
	need := 0
	for _, rival := range l.rivals {
		if l.higher(rival) {
			need -= rival.preempting
		} else {
			need += rival.queued
		}
	}
	for need = min(need, victimsAtOnce); need > 0; need-- {
		victim := c.victim(now, l)
		if victim == nil {
			return
		}
		c.preempt(now, victim, l, false)
	}
}

// atRisk tells whether requests of the lane would miss their target by waiting for a slot.
func (c *core) atRisk(now time.Time, l *lane) bool {
	if l.queued == 0 {
		return false
	}
	target := l.class.FirstTokenTarget
	if target <= 0 {
		target = l.maxWait()
	}
	limit := time.Duration(float64(target) * c.settings.RiskShare)
	return l.oldestWait(now)+secondsOf(l.firstToken.value) > limit || c.slotWait(l) > limit
}

// slotWait is the mean time until one of the lane's endpoints frees a slot, times
// the requests that wait for it.
func (c *core) slotWait(l *lane) time.Duration {
	hold := 0.0
	for _, rival := range l.rivals {
		hold = math.Max(hold, rival.hold.value)
	}
	return secondsOf(float64(l.queued) * hold / math.Max(1, l.slots))
}

// victim returns the newest request of the lowest tier that the lane's endpoints could give up.
func (c *core) victim(now time.Time, l *lane) *request {
	var best *request
	for _, e := range l.endpoints {
		if !e.usable(now) {
			continue
		}
		for i := len(e.tiers) - 1; i >= 0 && e.tiers[i].tier > l.class.Tier; i-- {
			if best != nil && e.tiers[i].tier < best.lane.class.Tier {
				break
			}
			if r := newestMovable(&e.tiers[i]); r != nil && (best == nil || better(r, best)) {
				best = r
				break
			}
		}
	}
	return best
}

func newestMovable(list *tierRunning) *request {
	for r := list.newest; r != nil; r = r.runNext {
		if r.movable() && !r.preempted {
			return r
		}
	}
	return nil
}

// better tells whether giving r up wastes less than giving up the other.
func better(r, other *request) bool {
	if r.lane.class.Tier != other.lane.class.Tier {
		return other.lane.higher(r.lane)
	}
	return r.grantedAt.After(other.grantedAt)
}

func (c *core) preempt(now time.Time, r *request, l *lane, forOther bool) {
	r.preempted, r.relieves = true, !forOther
	r.lane.goingRunning++
	r.endpoint.pressedBy, r.endpoint.pressedUntil = l.class.Tier, now.Add(pressPause).UnixNano()
	if !forOther {
		// Counted at the victim's lane and released with the victim.
		r.lane.preempting++
	}
	c.emit(effect{kind: effectPreempted, at: now, request: r, lane: l, endpoint: r.endpoint, lower: c.lowerWork(now, r.lane)})
}

// relieveOthers gives up this host's part of the slots that a higher tier waits for at other hosts.
func (c *core) relieveOthers(now time.Time, l *lane) {
	if !c.features.preemption || !c.informed(now) || l.others.Urgent == 0 || now.Sub(l.givenAt) < reliefPause {
		return
	}
	w := c.lowerWork(now, l)
	if w.running == 0 {
		return
	}
	share := float64(w.running) / float64(w.movable())
	need := int(math.Ceil(float64(l.others.Urgent) * share))
	for need = min(need, victimsAtOnce); need > 0; need-- {
		victim := c.victim(now, l)
		if victim == nil {
			break
		}
		c.preempt(now, victim, l, true)
	}
	l.givenAt = now
}

// victimsAtOnce bounds the work of one decision.
const victimsAtOnce = 16

// reliefPause is the time for a slot given up to show in the waiting host's next report.
const reliefPause = 1500 * time.Millisecond

// pressPause is the time after a preemption for which the endpoint takes no work
// of lower tiers, so that they are not preempted again at once.
const pressPause = time.Second

// pressed tells whether the endpoint is kept free for a tier above the lane's.
func (c *core) pressed(now time.Time, e *endpoint, l *lane) bool {
	return e.pressedUntil != 0 && now.UnixNano() < e.pressedUntil && e.pressedBy < l.class.Tier && !c.starved(now, l)
}
