package endpoint

import (
	"math"
	"time"

	"github.com/arbutuswinch/winch"
)

// Engines admit requests in the order of their urgency, but reject them by arrival when their queue is full. Requests
// therefore have to queue at the hosts, where the tiers are known. What the other hosts have sent is known only with a
// delay in which an engine can be flooded, so that a host cannot rely on the endpoints' figures alone: it also limits the
// prompt tokens that it has pending at all endpoints together. The hosts' limits are shares of what the endpoints
// process within prefillWindowShare of the target, in proportion to their demand, which changes slowly. For a lane only
// the requests of its own tier and those above count, as the endpoints admit these first.

const (
	// prefillWindowShare is the share of the longest first-token target, of the lane and those of lower tiers, within which the
	// endpoints can process the prompts that are pending.
	prefillWindowShare = 0.4
	// minDrainShare is the smallest share of its prefill rate that a lane is expected to keep beside higher tiers.
	minDrainShare = 0.1
	// urgentOverbooking is the factor by which tiers above the lowest may exceed an endpoint's slots and a host's share of the
	// prompt tokens. Endpoints admit urgent requests before others, and lower tiers make room for them.
	urgentOverbooking = 2
)

// prefillBudget is what a lane's requests may have pending on this host.
type prefillBudget struct {
	// limit is in prompt tokens, and rate the prompt tokens per second that the endpoints process for the lane.
	limit, rate float64
}

// updatePrefillBudgets recomputes the budgets of all lanes.
func (c *core) updatePrefillBudgets(now time.Time) {
	if !c.features.prefillAware {
		return
	}
	for _, l := range c.sortedLanes {
		l.prefillBudget = c.prefillBudgetOf(now, l)
	}
}

func (c *core) prefillBudgetOf(now time.Time, l *lane) prefillBudget {
	demand := c.tierDemandOf(now, l)
	window := max(l.class.FirstTokenTarget, demand.lowerTarget)
	l.pool.Share = c.demandShare(now, demand.own, demand.others)
	speed := c.prefillSpeed(l) * float64(l.partitionSize(now)) * l.pool.Share / l.paceShift
	if !l.lowestTier {
		speed *= urgentOverbooking
	}
	return prefillBudget{limit: prefillWindowShare * window.Seconds() * speed * (1 - l.completion.shrunk), rate: max(minDrainShare*speed, speed-demand.higher)}
}

// demandShare returns this host's share of the demand of all hosts. Hosts of which nothing is known count like this one.
func (c *core) demandShare(now time.Time, own, others float64) float64 {
	equal := 1 / float64(max(1, c.hosts))
	if own+others <= 0 || !c.hostStatsFresh(now) {
		return equal
	}
	return min(max(equal*minDemandShare, own/(own+others)), equal*maxDemandShare)
}

// minDemandShare and maxDemandShare bound the share of the demand that a host assumes for itself, as multiples of an equal one.
const (
	minDemandShare = 0.5
	maxDemandShare = 4
)

// prefillSpeed returns the prompt tokens per second that an endpoint of the lane processes.
func (c *core) prefillSpeed(l *lane) float64 {
	if speed := c.prefillSpeeds[l.key.group].Value; speed > 0 {
		return speed
	}
	return defaultPrefillSpeed
}

// limitsPrefill reports whether the lane's requests need a budget for their prompts.
func (c *core) limitsPrefill(l *lane) bool { return c.features.prefillAware && l.servedByEngines() }

// withinPrefillBudget reports whether the lane's budget allows another request. One request may always be pending.
func (c *core) withinPrefillBudget(l *lane, r *request) bool {
	if !c.limitsPrefill(l) {
		return true
	}
	pending := l.pendingAhead()
	return pending == 0 || float64(pending+r.ownTokens()) <= l.prefillBudget.limit
}

// pendingAhead returns the pending prompt tokens of this host that are processed before those of a new request of the lane.
func (l *lane) pendingAhead() winch.Tokens {
	pending := winch.Tokens(0)
	for _, competitor := range l.competitors {
		if !l.higher(competitor) {
			pending += max(0, competitor.pendingPrefill-competitor.evacuatedPrefill)
		}
	}
	return pending
}

// higherQueued reports whether this host has queued requests of a higher tier for the lane's endpoints.
func (l *lane) higherQueued() bool {
	for _, competitor := range l.competitors {
		if !competitor.higher(l) {
			return false
		}
		if competitor.queued > 0 {
			return true
		}
	}
	return false
}

// urgentTolerance returns how many requests of a higher tier may be at risk on other hosts before the lane's requests wait
// for them. Where prompts are limited, hosts share the endpoints by their demand, so that a few requests that wait on one
// of many hosts are no sign of a shortage.
func (c *core) urgentTolerance(l *lane) int {
	if !c.limitsPrefill(l) {
		return 0
	}
	return len(l.endpoints)
}

// ownTokens returns the prompt tokens of the request that no other request shares.
func (r *request) ownTokens() winch.Tokens {
	return max(0, r.work.InputTokens-sharedTokens(r.work.Parts))
}

// prefillWait returns how long the request would wait until the lane's budget allows it. A lane above the lowest tier is
// expected not to wait, since lower tiers wait for it.
func (c *core) prefillWait(l *lane, r *request) time.Duration {
	if !c.limitsPrefill(l) || !l.lowestTier || l.prefillBudget.rate <= 0 {
		return 0
	}
	ahead := float64(l.pendingAhead())
	for _, competitor := range l.competitors {
		if !l.higher(competitor) {
			ahead += float64(competitor.queuedTokens)
		}
	}
	if r != nil && r.state != requestQueued {
		ahead += float64(r.ownTokens())
	}
	return secondsOf(math.Max(0, ahead-l.prefillBudget.limit) / l.prefillBudget.rate)
}

// hasSlot reports whether the endpoint is known to have a slot for the lane's requests, with the requests of the other hosts.
func (c *core) hasSlot(now time.Time, l *lane, e *endpoint) bool {
	if !c.limitsPrefill(l) || !c.hostStatsFresh(now) {
		return true
	}
	limit := e.limit.Ceiling
	if !l.lowestTier {
		limit *= urgentOverbooking
	}
	return e.running+e.others < limit
}

// fillByChoice assigns queued requests to the endpoints that the policy chooses for them, highest tier first, and within a
// tier the account that has received the least service first.
func (c *core) fillByChoice(now time.Time) {
	for _, l := range c.sortedLanes {
		for l.queued > 0 {
			r := l.queueHeap[0].oldest
			e := c.choose(now, l, r)
			if e == nil && c.refuseHead(now, l, r) {
				continue
			}
			if e == nil {
				break
			}
			c.grant(now, r, e)
		}
	}
}
