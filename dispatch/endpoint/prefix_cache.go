package endpoint

import (
	"math"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/dispatch/measure"
	"github.com/arbutuswinch/winch/dispatch/prefixcache"
)

// Where the configuration names the memory of the engines (winch.EngineProperties.CacheCapacity), an endpoint is expected to hold a part of a
// prompt depending on how many tokens were sent to it since, and not for a fixed time. All hosts rank the endpoints in the same order for
// each part. The first of them are its homes: one, or several if its requests are more than one endpoint can process.

// displacedWeight is the weight of a token that others have to process again because this one takes its place in the memory.
const displacedWeight = 1

// alternates is the number of endpoints after the homes, in the same order, that are preferred when the homes are too busy. Requests that
// leave the homes go to the same few endpoints, so that fewer endpoints process the parts.
const alternates = 2

// homeShareWeight is the weight of a request in lane.homeShares, and inflowWeight that in the means of lane.inflow.
const (
	homeShareWeight = 0.02
	inflowWeight    = 0.03
)

// homes are the endpoints at which all hosts expect the shared parts of a request, followed by the alternates.
type homes struct {
	// count is the number of homes, and kept the number of homes and alternates. endpoints and weights hold them in order.
	count, kept int
	endpoints   [prefixcache.MaxSpread + alternates]*endpoint
	weights     [prefixcache.MaxSpread + alternates]uint64
	// rates is how many requests with the parts the other hosts send to each home and to each alternate in a second.
	rates [1 + alternates]float64
}

// rank returns 0 for a home, 1 and more for an alternate, and -1 for any other endpoint.
func (h *homes) rank(e *endpoint) int {
	for i := range h.kept {
		if h.endpoints[i] == e {
			return max(0, i-h.count+1)
		}
	}
	return -1
}

// insert adds the endpoint if its weight is among the most highest ones.
func (h *homes) insert(e *endpoint, weight uint64, most int) {
	at := h.kept
	for at > 0 && h.weights[at-1] < weight {
		at--
	}
	if at >= most {
		return
	}
	h.kept = min(h.kept+1, most)
	copy(h.endpoints[at+1:h.kept], h.endpoints[at:h.kept-1])
	copy(h.weights[at+1:h.kept], h.weights[at:h.kept-1])
	h.endpoints[at], h.weights[at] = e, weight
}

// heldChance returns the chance that the requests of other hosts keep the parts at the endpoint.
func (h *homes) heldChance(e *endpoint) float64 {
	rank := h.rank(e)
	if rank < 0 || h.rates[rank] <= 0 {
		return 0
	}
	return 1 - math.Exp(-h.rates[rank]*e.prefill.cache.Horizon().Seconds())
}

// findHomes sets c.homes to the homes of the request's shared parts.
func (c *core) findHomes(now time.Time, l *lane, r *request) {
	h := &c.homes
	h.count, h.kept = 0, 0
	clear(h.rates[:])
	shared := sharedPartsHash(r.work.Parts)
	if shared == 0 {
		return
	}
	spread := l.popularity.Spread(now, shared, c.hosts, c.workShare(l, r))
	for _, e := range l.endpoints {
		if e.mayBePreferred(now, l) {
			h.insert(e, mix(uint64(shared)^e.hash), spread+alternates)
		}
	}
	if h.kept == 0 {
		return
	}
	h.count = min(spread, h.kept)
	rate := l.popularity.Rate(now, shared)
	for i := range h.rates {
		h.rates[i] = rate * float64(c.hosts-1) * l.homeShares[i]
	}
	h.rates[0] /= float64(h.count)
}

// workShare returns the part of what an endpoint serves in a second that a request takes, if the endpoint holds its shared parts.
func (c *core) workShare(l *lane, r *request) float64 {
	share := float64(r.ownTokens()) / c.prefillSpeed(l)
	hold := l.holdTime.Value
	if hold <= 0 || len(l.endpoints) == 0 {
		return share
	}
	e := l.endpoints[0]
	share = max(share, hold/float64(max(1, e.limit.Ceiling)))
	return max(share, hold*float64(r.tokenNeed(e))/float64(max(1, e.tokens.Capacity)))
}

// preferredHome returns one of the request's homes, or an alternate if that costs less by more than the other hosts may have sent since their
// statistics were taken. It returns nil if the request has no shared parts or no endpoint can be preferred.
func (c *core) preferredHome(now time.Time, l *lane, r *request) *endpoint {
	c.findHomes(now, l, r)
	h := &c.homes
	if h.count == 0 {
		return nil
	}
	best, lowest := c.randomHome(now, l, r)
	lowest -= c.unknownPrefill(now, l)
	for _, e := range h.endpoints[h.count:h.kept] {
		if cost := c.costIfEligible(now, l, r, e, nil); cost < lowest {
			best, lowest = e, cost
		}
	}
	return best
}

// randomHome returns the cheaper of two random homes, or the only one, and its cost. The hosts know the same figures, and would all choose the
// same home without randomness.
func (c *core) randomHome(now time.Time, l *lane, r *request) (*endpoint, float64) {
	h := &c.homes
	if h.count == 1 {
		return h.endpoints[0], c.costIfEligible(now, l, r, h.endpoints[0], nil)
	}
	i, j := c.random.IntN(h.count), c.random.IntN(h.count-1)
	if j >= i {
		j++
	}
	one, two := h.endpoints[i], h.endpoints[j]
	first, second := c.costIfEligible(now, l, r, one, nil), c.costIfEligible(now, l, r, two, nil)
	if second < first {
		return two, second
	}
	return one, first
}

// placementCost returns the cost of the missing tokens of the request's shared parts at the endpoint in addition to their prefill, in prompt
// tokens. Tokens that are processed at a home serve the next requests too, so that their prefill is free: the result cancels it. Tokens
// that are processed elsewhere have to be processed at a home as well, and delay other requests. Both displace other parts.
func (c *core) placementCost(l *lane, r *request, e *endpoint, missing winch.Tokens) float64 {
	displaced := displacedWeight * e.prefill.cache.Displaced(missing) * e.slowdown
	if c.homes.rank(e) == 0 {
		return displaced - float64(missing)*e.slowdown
	}
	return displaced + min(recomputeWeight*float64(missing), c.recomputeCostLimit(l))
}

// recordSent records that the prompt was sent to the endpoint, which was expected to hold the given number of its tokens.
func (c *core) recordSent(now time.Time, r *request, e *endpoint, expected winch.Tokens) {
	if shared := sharedPartsHash(r.work.Parts); shared != 0 {
		r.lane.popularity.Observe(now, shared)
		rank := c.homes.rank(e)
		for i := range r.lane.homeShares {
			r.lane.homeShares[i] *= 1 - homeShareWeight
		}
		if rank >= 0 {
			r.lane.homeShares[rank] += homeShareWeight
		}
	}
	r.lane.expectedTokens += expected
	r.lane.sharedTokens += sharedTokens(r.work.Parts)
	added := e.prefill.cache.Send(r.work.Parts, r.work.InputTokens+r.work.OutputDone, expected)
	r.lane.inflow.add(added, r.pendingPrefill)
}

// inflow estimates how far the clock of an endpoint's cache advances for each pending prompt token. Hosts exchange only the pending tokens,
// which leave out those that are expected to be held because of other hosts' requests.
type inflow struct{ added, pending measure.Mean }

func (i *inflow) add(added, pending winch.Tokens) {
	i.added.Add(float64(added), inflowWeight)
	i.pending.Add(float64(pending), inflowWeight)
}

func (i *inflow) ratio() float64 {
	if i.pending.Value <= 0 {
		return 1
	}
	return max(1, i.added.Value/i.pending.Value)
}

// settleParts records whether the endpoint has processed the request's prompt.
func (e *endpoint) settleParts(r *request, processed bool) {
	switch {
	case e.tokens.Capacity == 0:
	case processed:
		e.prefill.cache.Confirm(r.work.Parts)
	default:
		e.prefill.cache.Forget(r.work.Parts)
	}
}

// refreshCaches advances the estimates of the endpoints' caches to the present.
func (c *core) refreshCaches(now time.Time) {
	for _, l := range c.sortedLanes {
		c.refreshPartition(l)
	}
	c.refreshPromptRates(now)
	for _, e := range c.sortedEndpoints {
		if e.tokens.Capacity == 0 {
			continue
		}
		rate := e.set.promptRates[boolIndex(e.prefill.latencySensitive)]
		e.prefill.cache.Advance(now, e.tokens.Capacity, e.tokens.Held(), rate)
	}
}

// refreshPartition counts the endpoints over which the lane's requests are spread, and determines whether their caches are known.
func (c *core) refreshPartition(l *lane) {
	known := &l.set.last.caches[boolIndex(l.latencySensitive)]
	if *known != nil {
		l.knowsCaches, l.partitionEndpoints = (*known).knowsCaches, (*known).partitionEndpoints
		return
	}
	*known = l
	l.knowsCaches = c.features.prefixCache && c.limitsPrefill(l) && len(l.endpoints) > 0
	l.partitionEndpoints = 0
	for _, e := range l.endpoints {
		l.knowsCaches = l.knowsCaches && e.tokens.Capacity > 0
		if !l.partitioned || l.latencySensitive == e.prefill.latencySensitive {
			l.partitionEndpoints++
		}
	}
}
