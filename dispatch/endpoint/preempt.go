package endpoint

import (
	"math"
	"time"

	"github.com/arbutuswinch/winch"
)

// preemptFor preempts lower-tier requests for queued requests of the lane whose target is at risk.
func (c *core) preemptFor(now time.Time, l *lane) {
	if !c.features.preemption {
		return
	}
	// Released slots go to higher tiers first and are shared within a tier, so the needs of these
	// lanes are added. Requests preempted earlier that have not left yet are subtracted.
	need := c.atRisk(now, l)
	for _, competitor := range l.competitors {
		if l.higher(competitor) {
			need -= competitor.preemptedRunning
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

// atRisk returns how many of the lane's queued requests would miss their target without
// preemption: those beyond the number of slots expected to be released in time, and at least
// one if the oldest has waited for longer than riskLimit.
func (c *core) atRisk(now time.Time, l *lane) int {
	if l.queued == 0 {
		return 0
	}
	queueing := c.queueingTime(l)
	count := l.queued - int(c.slotRate(l)*queueing.Seconds()*unforcedReleaseShare)
	if l.oldestWait(now) > time.Duration(float64(queueing)*c.settings.RiskWaitShare) {
		count = max(1, count)
	}
	return max(0, count)
}

// unforcedReleaseShare is the share of queueingTime in which released slots count as available without
// preemption.
const unforcedReleaseShare = 0.3

// riskLimit returns the wait above which the lane's target is at risk.
func (c *core) riskLimit(l *lane) time.Duration {
	return time.Duration(float64(c.queueingTime(l)) * c.settings.RiskWaitShare)
}

// queueingTime returns the part of the lane's first-token target that a request may spend queueing:
// the target minus the average time from grant to first token.
func (c *core) queueingTime(l *lane) time.Duration {
	target := l.class.FirstTokenTarget
	if target <= 0 {
		target = l.maxWait()
	}
	return max(target-secondsOf(l.firstToken.Value), target/minQueueingTimeDivisor)
}

// minQueueingTimeDivisor sets the minimum of queueingTime, which is the target divided by it.
const minQueueingTimeDivisor = 4

// slotRate returns how many slots this host's requests on the lane's endpoints release per second on average.
func (c *core) slotRate(l *lane) float64 {
	rate := 0.0
	for _, competitor := range l.competitors {
		if competitor.holdTime.Value > 0 {
			rate += float64(competitor.holding()) / competitor.holdTime.Value
		}
	}
	return rate
}

// victim returns the request to preempt for the lane: of the lowest tier on the lane's endpoints,
// the one that is cheapest to restart.
func (c *core) victim(now time.Time, l *lane) *request {
	var best *request
	for _, e := range l.endpoints {
		if !e.usable(now) || !e.streamsMayMove {
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

// leastCostVictim returns the request that is cheapest to restart among the newest candidates.
func leastCostVictim(list *tierRunning) *request {
	var best *request
	seen := 0
	for r := list.newest; r != nil && seen < maxVictimCandidates; r = r.runNext {
		if r.mayMove() && !r.preempted {
			seen++
			if best == nil || r.restartCost() < best.restartCost() {
				best = r
			}
		}
	}
	return best
}

// maxVictimCandidates bounds the candidates compared for one endpoint and tier.
const maxVictimCandidates = 8

// betterVictim reports whether r should be preempted rather than other: it has a lower tier, or
// the same tier and is cheaper to restart.
func betterVictim(r, other *request) bool {
	if r.lane.class.Tier != other.lane.class.Tier {
		return other.lane.higher(r.lane)
	}
	return r.restartCost() < other.restartCost()
}

// preempt asks the victim to leave its endpoint for a queued request of the waiting lane. If
// forOtherHost is set, that request is queued on another host. The lower-tier work of the effect is
// counted from the victim's lane: it shows whether a still lower tier was running.
func (c *core) preempt(now time.Time, victim *request, waiting *lane, forOtherHost bool) {
	victim.preemptedForOwnQueue = !forOtherHost
	victim.endpoint.markMoving(victim)
	victim.endpoint.raiseReserve(waiting.class.Tier)
	if !forOtherHost {
		// Counted in the victim's lane until the victim releases its slot.
		victim.lane.preemptedRunning++
	}
	c.emit(effect{kind: effectPreempted, at: now, request: victim, lane: waiting, endpoint: victim.endpoint, lowerTier: c.countLowerTier(now, victim.lane)})
}

// preemptForOthers preempts this host's share of the slots that a higher tier needs on other hosts.
func (c *core) preemptForOthers(now time.Time, l *lane) {
	if !c.features.preemption || !c.hostStatsFresh(now) || l.others.Urgent == 0 || now.Sub(l.preemptedForOthersAt) < preemptForOthersInterval {
		return
	}
	w := c.countLowerTier(now, l)
	if w.movableHere == 0 {
		return
	}
	share := float64(w.movableHere) / float64(w.movable())
	need := int(math.Ceil(float64(l.others.Urgent) * share))
	for need = min(need, maxPreemptions); need > 0; need-- {
		victim := c.victim(now, l)
		if victim == nil {
			break
		}
		c.preempt(now, victim, l, true)
	}
	l.preemptedForOthersAt = now
}

// maxPreemptions bounds the preemptions of one decision.
const maxPreemptions = 16

// preemptForOthersInterval leaves time for a released slot to show in the statistics of the waiting host.
const preemptForOthersInterval = 1500 * time.Millisecond

const (
	reserveShare = 0.25             // largest share of the endpoint's slots that is kept free
	reserveDecay = 10 * time.Second // time constant of the reserve's decay
)

func (e *endpoint) raiseReserve(tier winch.Tier) {
	e.reservedFor = tier
	e.reserve = math.Min(e.reserve+1, reserveShare*float64(e.cap))
}

// decayReserve reduces the reserve by one tick of exponential decay.
func (e *endpoint) decayReserve(tick time.Duration) {
	e.reserve *= 1 - float64(tick)/float64(reserveDecay)
}

// reserved reports whether the endpoint's free slots are reserved for a tier above the lane's.
// Each preemption causes a prompt to be processed again, so where preemptions recur it is
// cheaper to keep a few slots free.
func (c *core) reserved(now time.Time, e *endpoint, l *lane) bool {
	return e.reserve >= 1 && e.reservedFor < l.class.Tier && float64(c.availableSlots(now, e)) <= math.Floor(e.reserve) && !c.starved(now, l)
}
