package endpoint

import (
	"math"
	"time"

	"github.com/arbutuswinch/winch"
)

// preemptFor makes lower tiers give way for requests of the lane whose target is at risk.
func (c *core) preemptFor(now time.Time, l *lane) {
	if !c.features.preemption {
		return
	}
	need := c.atRisk(now, l)
	for _, competitor := range l.competitors {
		if l.higher(competitor) {
			need -= competitor.preempting
		} else if competitor != l {
			need += c.atRisk(now, competitor)
		}
	}
	for need = min(need, maxPreemptions); need > 0; need-- {
		victim := c.victim(now, l)
		if victim == nil {
			return
		}
		c.preempt(now, victim, l, false)
	}
}

// atRisk returns how many of the lane's queued requests would miss their target by
// waiting for slots: those that are more than come free in time by themselves, and
// at least one when the oldest has waited for long.
func (c *core) atRisk(now time.Time, l *lane) int {
	if l.queued == 0 {
		return 0
	}
	left := c.timeLeft(l)
	count := l.queued - int(c.slotRate(l)*left.Seconds()*naturalReleaseShare)
	if l.oldestWait(now) > time.Duration(float64(left)*c.settings.RiskShare) {
		count = max(1, count)
	}
	return max(0, count)
}

// naturalReleaseShare is the share of the time left in which slots must come free.
const naturalReleaseShare = 0.3

// riskLimit is the wait from which the lane's target is at risk.
func (c *core) riskLimit(l *lane) time.Duration {
	return time.Duration(float64(c.timeLeft(l)) * c.settings.RiskShare)
}

// timeLeft is what the usual time to the first token leaves of the lane's target.
func (c *core) timeLeft(l *lane) time.Duration {
	target := l.class.FirstTokenTarget
	if target <= 0 {
		target = l.maxWait()
	}
	return max(target-secondsOf(l.firstToken.value), target/minTimeLeftDivisor)
}

// minTimeLeftDivisor bounds the usual time to the first token to a part of the target.
const minTimeLeftDivisor = 4

// slotRate is how many of this host's requests on the lane's endpoints usually end in a second.
func (c *core) slotRate(l *lane) float64 {
	rate := 0.0
	for _, competitor := range l.competitors {
		if competitor.holdTime.value > 0 {
			rate += float64(competitor.running) / competitor.holdTime.value
		}
	}
	return rate
}

// victim returns the request of the lowest tier that the lane's endpoints could give up at the least cost.
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
			if r := leastCostVictim(&e.tiers[i]); r != nil && (best == nil || betterVictim(r, best)) {
				best = r
				break
			}
		}
	}
	return best
}

// leastCostVictim returns the request among the newest whose restart costs least.
func leastCostVictim(list *tierRunning) *request {
	var best *request
	seen := 0
	for r := list.newest; r != nil && seen < maxVictimCandidates; r = r.runNext {
		if r.movable() && !r.preempted {
			seen++
			if best == nil || r.restartCost() < best.restartCost() {
				best = r
			}
		}
	}
	return best
}

// maxVictimCandidates bounds the search on one endpoint.
const maxVictimCandidates = 8

// betterVictim tells whether giving r up wastes less than giving up the other.
func betterVictim(r, other *request) bool {
	if r.lane.class.Tier != other.lane.class.Tier {
		return other.lane.higher(r.lane)
	}
	return r.restartCost() < other.restartCost()
}

func (c *core) preempt(now time.Time, r *request, l *lane, forOther bool) {
	r.forOwnQueue = !forOther
	r.endpoint.markMoving(r)
	r.endpoint.raiseReserve(l.class.Tier)
	if !forOther {
		// Counted at the victim's lane and released with the victim.
		r.lane.preempting++
	}
	c.emit(effect{kind: effectPreempted, at: now, request: r, lane: l, endpoint: r.endpoint, lowerTier: c.lowerTierWork(now, r.lane)})
}

// preemptForOthers gives up this host's part of the slots that a higher tier waits for at other hosts.
func (c *core) preemptForOthers(now time.Time, l *lane) {
	if !c.features.preemption || !c.peerStatsFresh(now) || l.others.Urgent == 0 || now.Sub(l.preemptedAt) < preemptForOthersInterval {
		return
	}
	w := c.lowerTierWork(now, l)
	if w.running == 0 {
		return
	}
	share := float64(w.running) / float64(w.movable())
	need := int(math.Ceil(float64(l.others.Urgent) * share))
	for need = min(need, maxPreemptions); need > 0; need-- {
		victim := c.victim(now, l)
		if victim == nil {
			break
		}
		c.preempt(now, victim, l, true)
	}
	l.preemptedAt = now
}

// maxPreemptions bounds the work of one decision.
const maxPreemptions = 16

// preemptForOthersInterval is the time for a slot given up to show in the waiting host's next report.
const preemptForOthersInterval = 1500 * time.Millisecond

const (
	reserveShare = 0.25 // of the endpoint's slots, the most that are kept free
	reserveDecay = 10 * time.Second
)

func (e *endpoint) raiseReserve(tier winch.Tier) {
	e.reservedFor = tier
	e.reserve = math.Min(e.reserve+1, reserveShare*float64(e.cap))
}

// decayReserve lowers the reserve by a tick's share.
func (e *endpoint) decayReserve(tick time.Duration) {
	e.reserve *= 1 - float64(tick)/float64(reserveDecay)
}

// reserved tells whether the endpoint's free slots are kept for a tier above the
// lane's. Each preemption makes the endpoint do a prompt again, so where they recur a few free slots cost less.
func (c *core) reserved(now time.Time, e *endpoint, l *lane) bool {
	return e.reserve >= 1 && e.reservedFor < l.class.Tier && float64(c.availableSlots(now, e)) <= math.Floor(e.reserve) && !c.starved(now, l)
}
