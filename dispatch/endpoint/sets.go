package endpoint

import (
	"math"
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
)

// Many lanes can have the same endpoints, and many endpoints the same lanes. What is equal for all of them is computed once for each set: the time
// that a refresh takes then grows with the sum of the numbers of lanes and endpoints and not with their product.

// endpointSet holds the endpoints that lanes share. The lists must not be changed.
type endpointSet struct {
	endpoints, evacuated, ring []*endpoint
	competitors                []*lane
	mixedSoftware              bool
	hasCold                    bool
	targets                    targetRange
	// first is the lane of the highest tier. What a refresh computes for it from the endpoints alone is copied to the other lanes.
	first *lane
	last  lastRefreshed
	// demand and needs are those of the tier that was asked for last, nil before the first one in a refresh. partitionSizes are by whether the
	// endpoints that are reserved for latency-sensitive classes are left out, -1 before they are counted.
	demand         *tierDemand
	needs          *tierNeeds
	partitionSizes [2]int
}

// lastRefreshed holds lanes of a set whose figures a refresh has computed, so that it can copy them to lanes for which they are the same.
type lastRefreshed struct {
	// slots is the last lane whose slots were counted. They are the same for the other lanes of its tier.
	slots *lane
	// caches and busy hold one lane for each value of boolIndex(lane.latencySensitive).
	caches [2]*lane
	busy   [2]*lane
	// subset is the size of the subset for which the other hosts' tokens were assumed.
	subset int
}

// laneSet holds the lanes that endpoints share.
type laneSet struct {
	lanes []*lane
	// mixedSoftware is the lane of the highest tier whose endpoints run several software versions, or nil if there is none.
	mixedSoftware *lane
	// interTokenTarget is the shortest target among the lanes that are in use, in seconds; zero if there is none.
	interTokenTarget float64
	// demand is the demand for slots, by tier.
	demand []slotDemand
	// promptRates are the other hosts' prompt tokens per second and endpoint that are new to the endpoints, by whether the endpoint is reserved
	// for latency-sensitive classes.
	promptRates [2]float64
}

// slotDemand is the demand of a tier for the slots of an endpoint.
type slotDemand struct {
	own, others float64
	waiting     int // queued requests of other hosts
}

// resetSets forgets the figures of the last refresh.
func (c *core) resetSets() {
	for _, s := range c.endpointSets {
		s.last, s.demand, s.needs, s.partitionSizes = lastRefreshed{subset: -1}, nil, nil, [2]int{-1, -1}
		s.hasCold = slices.ContainsFunc(s.endpoints, func(e *endpoint) bool { return e.cold.cold })
	}
}

// boolIndex returns the index of the value in an array with an element for each.
func boolIndex(value bool) int {
	if value {
		return 1
	}
	return 0
}

// refreshInterTokenTargets recomputes the shortest target for the time between tokens among the classes that currently use the endpoints.
func (c *core) refreshInterTokenTargets() {
	for _, s := range c.laneSets {
		s.interTokenTarget = 0
		for _, l := range s.lanes {
			target := l.class.InterTokenTarget.Seconds()
			if target > 0 && l.running+l.queued > 0 && (s.interTokenTarget == 0 || target < s.interTokenTarget) {
				s.interTokenTarget = target
			}
		}
	}
}

// refreshSlotDemand recomputes the demand for the slots of the endpoints; see computeFairShare.
func (c *core) refreshSlotDemand(now time.Time) {
	fresh := c.hostStatsFresh(now)
	for _, s := range c.laneSets {
		s.demand = s.demand[:0]
		for i, l := range s.lanes {
			if i == 0 || s.lanes[i-1].class.Tier != l.class.Tier {
				s.demand = append(s.demand, slotDemand{})
			}
			d := &s.demand[len(s.demand)-1]
			count := float64(len(l.endpoints))
			d.own += float64(l.queued+l.holding()) / count
			if fresh {
				d.others += float64(l.others.Queued+l.others.Running) / count
				d.waiting += l.others.Queued
			}
		}
	}
}

// refreshPromptRates recomputes the rates at which the other hosts send prompts to the endpoints.
func (c *core) refreshPromptRates(now time.Time) {
	fresh := c.hostStatsFresh(now)
	for _, s := range c.laneSets {
		s.promptRates = [2]float64{}
		if !fresh {
			continue
		}
		for _, l := range s.lanes {
			rate := float64(l.others.PromptRate) * l.inflow.ratio() / float64(max(1, l.partitionEndpoints))
			for _, sensitive := range []bool{false, true} {
				if !l.partitioned || l.latencySensitive == sensitive {
					s.promptRates[boolIndex(sensitive)] += rate
				}
			}
		}
	}
}

// refreshMeans recomputes the lane's means over its endpoints.
func (l *lane) refreshMeans() {
	if first := l.set.first; l != first {
		l.meanInterToken, l.meanFirstToken, l.meanDemand = first.meanInterToken, first.meanFirstToken, first.meanDemand
		return
	}
	l.meanDemand = 0
	l.meanInterToken.Samples, l.meanInterToken.Value = 0, 0
	l.meanFirstToken.Samples, l.meanFirstToken.Value = 0, 0
	for _, e := range l.endpoints {
		l.meanInterToken.AddMean(e.limit.LongRunInterToken)
		l.meanFirstToken.AddMean(e.limit.LongRunFirstToken)
		l.meanDemand += e.cold.demand.all / float64(len(l.endpoints))
	}
}

// refreshSlots recomputes the lane's slots. Cold endpoints give a lane as many as its requests need time.
func (c *core) refreshSlots(now time.Time, l *lane) {
	if known := l.set.last.slots; known != nil && known.class.Tier == l.class.Tier && !l.set.hasCold {
		l.slots, l.steadySlotsLeft = known.slots, known.steadySlotsLeft
		return
	}
	l.set.last.slots = l
	l.slots, l.steadySlotsLeft = 0, 0
	for _, e := range l.endpoints {
		if !e.serving || e.paused(now) {
			continue
		}
		l.slots += e.tokens.Slots(e.slotsFor(l), l.meanHeld)
		if !e.cheap {
			l.steadySlotsLeft += float64(e.cap - e.runningUpTo(l.class.Tier))
		}
	}
}

// tierDemand is the demand for the endpoints of a set that a tier has to take into account.
type tierDemand struct {
	tier winch.Tier
	// own and others are the prompt rates of this host and of the others in this tier and those above, and higher is this host's in those above.
	own, others, higher float64
	// lowerTarget is the longest first-token target of lower tiers.
	lowerTarget time.Duration
}

// tierDemandOf returns the demand for the lane's endpoints that its tier has to take into account.
func (c *core) tierDemandOf(now time.Time, l *lane) *tierDemand {
	if known := l.set.demand; known != nil && known.tier == l.class.Tier {
		return known
	}
	d := &tierDemand{tier: l.class.Tier}
	l.set.demand = d
	for _, competitor := range l.competitors {
		if l.higher(competitor) {
			d.lowerTarget = max(d.lowerTarget, competitor.class.FirstTokenTarget)
			continue
		}
		rate := competitor.promptRate.PerSecond(now)
		d.own += rate
		if competitor.higher(l) {
			d.higher += rate
		}
		if c.hostStatsFresh(now) {
			d.others += float64(competitor.others.PromptRate)
		}
	}
	return d
}

// partitionSize counts the endpoints that serve the lane. Those that are reserved for latency-sensitive classes serve only these.
func (l *lane) partitionSize(now time.Time) int {
	restricted := l.partitioned && !l.latencySensitive
	size := &l.set.partitionSizes[boolIndex(restricted)]
	if *size >= 0 {
		return *size
	}
	*size = 0
	for _, e := range l.endpoints {
		if e.serving && !e.paused(now) && !(restricted && e.prefill.latencySensitive) {
			*size++
		}
	}
	return *size
}

// tierNeeds are the mean needs of tokens of the requests in a tier that any host may have to place.
type tierNeeds struct {
	tier winch.Tier
	// held is the number of tokens of this host's running requests in all tiers.
	held winch.Tokens
	// largest is that of the lane largestOf, and second the largest one of the other lanes.
	largest, second float64
	largestOf       *lane
}

// tierNeedsOf returns the needs of the requests in the lane's tier.
func (c *core) tierNeedsOf(now time.Time, l *lane) *tierNeeds {
	if known := l.set.needs; known != nil && known.tier == l.class.Tier {
		return known
	}
	n := &tierNeeds{tier: l.class.Tier}
	l.set.needs = n
	for _, competitor := range l.competitors {
		n.held += competitor.held
		if competitor.class.Tier != l.class.Tier {
			continue
		}
		here := competitor.queued > 0 || competitor.promptRate.PerSecond(now) >= 1
		if !here && !(c.hostStatsFresh(now) && competitor.others.Queued+competitor.others.PromptRate > 0) {
			continue
		}
		if need := competitor.meanNeed.Value; need > n.largest || n.largestOf == nil {
			n.largest, n.second, n.largestOf = need, n.largest, competitor
		} else {
			n.second = math.Max(n.second, need)
		}
	}
	return n
}

// largestExcept returns the largest need of another lane than the given one.
func (n *tierNeeds) largestExcept(l *lane) float64 {
	if n.largestOf == l {
		return n.second
	}
	return n.largest
}
