package endpoint

import (
	"math"
	"time"

	"github.com/arbutuswinch/winch"
)

const (
	tieMargin                = 0.15 // scores within this distance of the best count as equal
	affinityAllowance        = 0.35 // score above the best at which the endpoint that has the prompt's prefix is still chosen
	reportAgePenalty         = 0.25 // for a load report of age ReportMaxAge; a younger one gets a proportional part
	cheapBonus               = 0.15 // subtracted on a cheap endpoint for streams
	cheapNonStreamingPenalty = 0.5  // on a cheap endpoint, for work that is lost if the endpoint is withdrawn
	cheapOverflowPenalty     = 2    // on a cheap endpoint, for the highest tier once the free slots of steady ones could not take over its work
	adapterPenalty           = 0.5  // on an endpoint that has not loaded the request's adapter
	lowerTierPrefillPenalty  = 0.25 // when lowerTierPrefill is LowerTierPrefillLimit or more; below that, a proportional part
	affinityMinTokens        = 64   // shorter prompts are not routed by prefix
)

// availableSlots returns how many more requests this host may send to the endpoint. These are
// the slots that other hosts do not use, but at least this host's fair share. While other hosts
// queue for contended slots, it is no more than the fair share, but at least one slot, so that no
// host is shut out. Together with the slots that other hosts use, it never exceeds the endpoint's
// configured slot limit. It is none while requests wait for a new list of endpoints.
func (c *core) availableSlots(now time.Time, e *endpoint) int {
	if c.awaitsList(now) {
		return 0
	}
	if !c.features.sharing || e.others == 0 && e.fairShare == 0 || !c.hostStatsFresh(now) {
		return e.cap - e.running
	}
	allowed := e.cap - e.others
	if e.fairShare > allowed {
		allowed = e.fairShare
	}
	if e.othersWaiting && allowed > e.fairShare {
		allowed = max(1, e.fairShare)
	}
	if limit := e.limit.Ceiling - e.others; allowed > limit {
		allowed = limit
	}
	return allowed - e.running
}

// eligible reports whether the request may run on the endpoint now.
func (c *core) eligible(now time.Time, l *lane, r *request, e *endpoint) bool {
	return (len(r.work.Excluded) == 0 || !r.excludes(e.spec.ID)) && c.hasRoomFor(now, l, r, e) && c.canEndAt(now, l, r, e)
}

// hasRoomFor reports whether the endpoint can serve a request like this one now.
func (c *core) hasRoomFor(now time.Time, l *lane, r *request, e *endpoint) bool {
	return c.availableSlots(now, e) > 0 && e.usable(now) && c.admitsPrompt(now, e, l, r) && !c.reserved(now, e, l)
}

// chooseByScore returns an eligible endpoint with a low score, or nil if none is eligible. A
// prompt with a prefix and at least affinityMinTokens tokens goes to the endpoint that
// chooseByPrefix selects among those within affinityAllowance of the best score. Any other
// request goes to the better of two random endpoints within tieMargin of the best.
func chooseByScore(c *core, now time.Time, l *lane, r *request) *endpoint {
	best := c.scoreAll(now, l, r)
	if math.IsInf(best, 1) {
		return nil
	}
	if r.work.Prefix != 0 && r.work.InputTokens >= affinityMinTokens {
		if e := c.chooseByPrefix(l, r, best+affinityAllowance); e != nil {
			return e
		}
	}
	return c.choosePowerOfTwo(l, best+tieMargin)
}

// scoreAll computes the scores of the lane's endpoints and returns the best, which is the
// lowest. A score is the share of the endpoint's slots in use plus penalties; it is infinite
// for an endpoint that is not eligible.
func (c *core) scoreAll(now time.Time, l *lane, r *request) float64 {
	if cap(c.scores) < len(l.subset) {
		c.scores = make([]float64, len(l.subset))
	}
	c.scores = c.scores[:len(l.subset)]
	best := math.Inf(1)
	for i, e := range l.subset {
		c.scores[i] = math.Inf(1)
		if !c.eligible(now, l, r, e) {
			continue
		}
		c.scores[i] = c.score(l, r, e)
		best = math.Min(best, c.scores[i])
	}
	if l.probeFailed {
		return c.avoidProbes(l)
	}
	return best
}

func (c *core) score(l *lane, r *request, e *endpoint) float64 {
	score := reportAgePenalty*e.reportAge + (e.estimatedLoad(c.features.correctReports)+1)/float64(e.cap)
	if c.features.observedLatency {
		score *= e.slowdown
	}
	if c.features.longWorkLimit {
		score += lowerTierPrefillPenalty * min(1, float64(e.lowerTierPrefill)/float64(c.settings.LowerTierPrefillLimit))
	}
	score += e.cold.cost(coldPenalty)
	if e.cheap {
		score += supplyPenalty(l, r)
	}
	if r.work.Adapter != "" && !e.hasAdapter(r.work.Adapter) {
		score += adapterPenalty
	}
	return score
}

// supplyPenalty returns the score adjustment for a cheap endpoint. It prefers cheap endpoints
// for streams, which can be resumed elsewhere. The highest tier uses them only while steady
// endpoints have enough free slots to take over its work.
func supplyPenalty(l *lane, r *request) float64 {
	if r.nonStreaming() {
		return cheapNonStreamingPenalty
	}
	if l.highestTier && float64(l.cheapRunning) >= l.steadySlotsLeft {
		return cheapOverflowPenalty
	}
	return -cheapBonus
}

func (e *endpoint) hasAdapter(adapter winch.AdapterID) bool {
	for _, loaded := range e.models {
		if loaded.Adapter == adapter {
			return true
		}
	}
	return false
}

// choosePowerOfTwo returns the better of two random endpoints with a score up to the bound.
func (c *core) choosePowerOfTwo(l *lane, bound float64) *endpoint {
	count := 0
	for _, score := range c.scores {
		if score <= bound {
			count++
		}
	}
	if count == 0 {
		return nil
	}
	// first and second count down the remaining candidates; a candidate is drawn when one is zero.
	first, second := c.random.IntN(count), 0
	if count > 1 {
		second = (first + 1 + c.random.IntN(count-1)) % count
	}
	chosen := -1
	for i, score := range c.scores {
		if score > bound {
			continue
		}
		if (first == 0 || second == 0) && (chosen < 0 || score < c.scores[chosen]) {
			chosen = i
		}
		first, second = first-1, second-1
	}
	return l.subset[chosen]
}

// chooseByPrefix returns the endpoint known to have the prefix cached, else the one with the
// highest rendezvous hash for it. It considers only endpoints with a score up to the bound.
func (c *core) chooseByPrefix(l *lane, r *request, bound float64) *endpoint {
	cachedAt := c.prefixes[r.work.Prefix]
	var best *endpoint
	weight := uint64(0)
	for i, e := range l.subset {
		if c.scores[i] > bound {
			continue
		}
		if e.spec.ID == cachedAt {
			return e
		}
		if w := mix(uint64(r.work.Prefix) ^ e.hash); best == nil || w > weight {
			best, weight = e, w
		}
	}
	return best
}

// mix spreads the bits of a number (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

const maxPrefixes = 1 << 16

// recordPrefix records the endpoint that last received a prompt with the prefix. The map is
// emptied when it is full: it is only a hint, without which chooseByPrefix uses the hash.
func (c *core) recordPrefix(prefix winch.PrefixHash, id winch.EndpointID) {
	if len(c.prefixes) >= maxPrefixes {
		clear(c.prefixes)
	}
	c.prefixes[prefix] = id
}

func (c *core) observeCache(event winch.CacheEvent) {
	if !event.Evicted {
		c.recordPrefix(event.Prefix, event.Endpoint)
	} else if c.prefixes[event.Prefix] == event.Endpoint {
		delete(c.prefixes, event.Prefix)
	}
}

// chooseRandom returns a random eligible endpoint.
func chooseRandom(c *core, now time.Time, l *lane, r *request) *endpoint {
	var chosen *endpoint
	seen := 0
	for _, e := range l.subset {
		if !c.eligible(now, l, r, e) {
			continue
		}
		seen++
		if c.random.IntN(seen) == 0 {
			chosen = e
		}
	}
	return chosen
}

// chooseLeastReported returns the eligible endpoint with the lowest load in its last report.
func chooseLeastReported(c *core, now time.Time, l *lane, r *request) *endpoint {
	var chosen *endpoint
	for _, e := range l.subset {
		if c.eligible(now, l, r, e) && (chosen == nil || e.reported < chosen.reported) {
			chosen = e
		}
	}
	return chosen
}

// chooseRoundRobin returns the next eligible endpoint in round-robin order.
func chooseRoundRobin(c *core, now time.Time, l *lane, r *request) *endpoint {
	for i := range l.subset {
		e := l.subset[(l.roundRobinNext+i)%len(l.subset)]
		if c.eligible(now, l, r, e) {
			l.roundRobinNext = (l.roundRobinNext + i + 1) % len(l.subset)
			return e
		}
	}
	return nil
}
