package endpoint

import (
	"math"
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/dispatch/prefixcache"
)

// PolicyPrefill is designed for prompts of very different lengths on engines that interleave
// prefill with the decoding of other requests. There, the time to first token and the pauses
// within streams depend on the number of prompt tokens that the engine has yet to process, not on
// the number of running requests. Each host therefore tracks the prompt tokens pending at each
// endpoint, less those that the endpoint is expected to have cached. Long prompts are kept away
// from some of the endpoints, which are reserved for the classes with the shortest targets.

const (
	// partRetention is how long an endpoint is expected to keep a prompt part in its cache after the last use.
	partRetention = 30 * time.Second
	// maxCachedParts bounds the number of parts recorded for one endpoint.
	maxCachedParts = 4096
	// runningRequestCost is the cost of a running request, in prompt tokens.
	runningRequestCost = 60
	// recomputeWeight is the additional cost of processing a shared token on an endpoint that
	// does not have it cached.
	recomputeWeight = 12
	// recomputeLimitShare is the share of the first-token target that may be spent waiting for an
	// endpoint that has the shared parts cached.
	recomputeLimitShare = 0.9
	// queuedRecomputeLimitShare replaces it while requests of the class are queued: the prompts that may be pending would
	// otherwise never reach the limit at the endpoints that have the parts, and the other endpoints would stay idle.
	queuedRecomputeLimitShare = 0.75 * prefillWindowShare
	// defaultPrefillSpeed is assumed until a speed has been measured, in prompt tokens per second.
	defaultPrefillSpeed = 30_000
	// remoteDataCentreCost is the cost of an endpoint in another data centre, in prompt tokens.
	remoteDataCentreCost = 150
	// wrongPartitionCost is the cost, in prompt tokens, of serving a latency-sensitive class outside
	// the endpoints reserved for it, or another class on them. It is so high that a class leaves its
	// part of the endpoints only while that part is heavily loaded.
	wrongPartitionCost = 40000
	// noSlotCost is the cost, in prompt tokens, of an endpoint whose slots are all in use. It is higher than wrongPartitionCost,
	// since a request waits for the end of another there.
	noSlotCost = 60000
	// latencySensitiveShare is the share of the endpoints that is reserved for latency-sensitive classes.
	latencySensitiveShare = 0.34
	// latencySensitiveRatio is the largest ratio of a latency-sensitive class's targets to the shortest ones.
	latencySensitiveRatio = 1.5
)

// prefillLoad is the pending prefill work of an endpoint and the state that determines it.
type prefillLoad struct {
	// pending is the number of uncached prompt tokens of this host's requests that have not
	// received their first token.
	pending winch.Tokens
	// others is the same number for the other hosts, from their statistics.
	others winch.Tokens
	// parts maps the hash of each chain of prompt parts sent to the endpoint to the time of its last use.
	// It is used where the capacity of the endpoint's memory is not known, and cache where it is.
	parts map[winch.PrefixHash]time.Time
	cache prefixcache.Cache
	// latencySensitive is set if the endpoint is reserved for latency-sensitive classes.
	latencySensitive bool
}

// chainHash returns the hash of a chain of parts extended by one part.
func chainHash(before, part winch.PrefixHash) winch.PrefixHash {
	return winch.PrefixHash(mix(uint64(before)*0x9e3779b97f4a7c15 ^ uint64(part)))
}

// cachedTokens returns how many tokens of the prompt's leading parts the endpoint is expected to have cached.
func (p *prefillLoad) cachedTokens(now time.Time, parts []winch.PromptPart) winch.Tokens {
	cached, hash := winch.Tokens(0), winch.PrefixHash(0)
	for _, part := range parts {
		hash = chainHash(hash, part.ID)
		used, found := p.parts[hash]
		if !found || now.Sub(used) > partRetention {
			break
		}
		cached += part.Tokens
	}
	return cached
}

// recordParts records that a prompt with the parts was sent to the endpoint.
func (p *prefillLoad) recordParts(now time.Time, parts []winch.PromptPart) {
	if p.parts == nil {
		p.parts = map[winch.PrefixHash]time.Time{}
	}
	if len(p.parts) >= maxCachedParts {
		p.evictParts(now)
	}
	hash := winch.PrefixHash(0)
	for _, part := range parts {
		hash = chainHash(hash, part.ID)
		p.parts[hash] = now
	}
}

// evictParts removes expired parts and, while there are more than maxCachedParts, any others in map
// order. If there are exactly that many and none has expired, it removes none.
func (p *prefillLoad) evictParts(now time.Time) {
	for hash, used := range p.parts {
		if now.Sub(used) > partRetention || len(p.parts) > maxCachedParts {
			delete(p.parts, hash)
		}
	}
}

// sharedPartsHash returns the hash of the parts that other requests may share: all but the last.
func sharedPartsHash(parts []winch.PromptPart) winch.PrefixHash {
	hash := winch.PrefixHash(0)
	for i := 0; i+1 < len(parts); i++ {
		hash = chainHash(hash, parts[i].ID)
	}
	return hash
}

// sharedTokens returns the number of tokens in the parts that other requests may share.
func sharedTokens(parts []winch.PromptPart) winch.Tokens {
	tokens := winch.Tokens(0)
	for i := 0; i+1 < len(parts); i++ {
		tokens += parts[i].Tokens
	}
	return tokens
}

// chooseLowestPrefill returns an eligible endpoint with a low prefill cost. Costs that differ by less than the hosts may have
// sent to an endpoint since its figures were taken count as equal. Of these, all hosts prefer the same endpoint for the
// same shared parts; without one, the better of two random endpoints is taken, so that not all hosts choose the same.
func chooseLowestPrefill(c *core, now time.Time, l *lane, r *request) *endpoint {
	preferred, crowded := c.preferredEndpoint(now, l, r), (*endpoint)(nil)
	r.preferred = preferred
	if c.diverts(preferred) {
		preferred, crowded = nil, preferred
	}
	if cap(c.scores) < len(l.subset) {
		c.scores = make([]float64, len(l.subset))
	}
	c.scores = c.scores[:len(l.subset)]
	lowest, load, inSubset := math.Inf(1), 0.0, false
	for i, e := range l.subset {
		load += e.othersLoad()
		inSubset = inSubset || e == preferred
		c.scores[i] = c.costIfEligible(now, l, r, e, preferred)
		if e == crowded {
			c.scores[i] += crowdedCost
		}
		lowest = min(lowest, c.scores[i])
	}
	if l.probeFailed {
		lowest = c.avoidProbes(l)
	}
	preferredCost := c.costIfEligible(now, l, r, preferred, preferred)
	if l.probeFailed && preferred != nil && preferred.health.ejected && !math.IsInf(lowest, 1) {
		preferredCost = math.Inf(1)
	}
	if !inSubset && preferred != nil && preferred.running == 0 {
		// The hub tells nothing of an endpoint that this host neither uses nor is assigned.
		preferredCost += load / float64(max(1, len(l.subset)))
	}
	bound := min(lowest, preferredCost) + c.unknownPrefill(now, l)
	if math.IsInf(bound, 1) {
		return nil
	}
	if preferredCost <= bound {
		return preferred
	}
	return c.choosePowerOfTwo(l, bound+paceMargin(l, r))
}

// costIfEligible returns the cost of sending the request to the endpoint, or infinity if that is not possible.
func (c *core) costIfEligible(now time.Time, l *lane, r *request, e, preferred *endpoint) float64 {
	if e == nil || !c.eligible(now, l, r, e) || !c.hasSlot(now, l, e) {
		return math.Inf(1)
	}
	return c.prefillCost(now, l, r, e, preferred)
}

// othersLoad returns the cost of the other hosts' requests on the endpoint, in prompt tokens.
func (e *endpoint) othersLoad() float64 {
	return float64(e.prefill.others) + runningRequestCost*float64(e.others)
}

// unknownPrefill returns the prompt tokens that the other hosts are expected to have sent to an endpoint of the lane
// since their statistics were taken.
func (c *core) unknownPrefill(now time.Time, l *lane) float64 {
	if !c.hostStatsFresh(now) {
		return 0
	}
	rate := 0.0
	for _, competitor := range l.competitors {
		rate += float64(competitor.others.PromptRate)
	}
	return rate * now.Sub(c.summaryAsOf).Seconds() / float64(max(1, len(l.endpoints)))
}

// preferredEndpoint returns the endpoint that all hosts prefer for the request's shared parts, by
// rendezvous hashing. It may be outside the host's aperture, since that differs between hosts. It returns nil if the request
// has no shared parts.
func (c *core) preferredEndpoint(now time.Time, l *lane, r *request) *endpoint {
	if l.knowsCaches {
		return c.preferredHome(now, l, r)
	}
	shared := sharedPartsHash(r.work.Parts)
	if shared == 0 {
		return nil
	}
	var preferred *endpoint
	weight := uint64(0)
	for _, e := range l.endpoints {
		if !e.mayBePreferred(now, l) {
			continue
		}
		if w := mix(uint64(shared) ^ e.hash); preferred == nil || w > weight {
			preferred, weight = e, w
		}
	}
	return preferred
}

// mayBePreferred reports whether the endpoint may be the preferred one of the lane's requests.
func (e *endpoint) mayBePreferred(now time.Time, l *lane) bool {
	return e.usable(now) && !e.cold.cold && (e.prefill.latencySensitive == l.latencySensitive || !l.partitioned)
}

// prefillCost returns the cost of sending the request to the endpoint, in prompt tokens to
// process before its first token. Shared parts that the endpoint does not have cached cost more
// than their prefill, because processing them again delays all other requests. This extra cost
// is limited by how long the request can wait, so that shared parts with more requests than one
// endpoint can process spread to further endpoints.
func (c *core) prefillCost(now time.Time, l *lane, r *request, e, preferred *endpoint) float64 {
	cached := c.expectedCached(now, r, e, preferred)
	uncached := max(0, r.work.InputTokens-cached)
	cost := float64(e.prefill.pending+e.prefill.others+uncached)*e.slowdown + e.runningCost()
	cost += c.unknownSoftwarePenalty(now, l, r, e)
	if c.home != "" && e.spec.DataCentre != c.home {
		cost += remoteDataCentreCost
	}
	if l.partitioned && e.prefill.latencySensitive != l.latencySensitive {
		cost += wrongPartitionCost
	}
	if e.running+e.others >= e.limit.Ceiling {
		cost += noSlotCost
	}
	cost += e.cold.cost(coldCost)
	if e == preferred {
		// Breaks ties in favour of the preferred endpoint.
		cost--
	}
	if e.cold.cold {
		// It has none of the shared parts, and has to process them at some time; its rate limits how often.
		return cost
	}
	missing := max(0, sharedTokens(r.work.Parts)-cached)
	if l.knowsCaches {
		return cost + c.placementCost(l, r, e, missing)
	}
	return cost + min(recomputeWeight*float64(missing), c.recomputeCostLimit(l))
}

// recomputeCostLimit returns the limit of the extra cost for shared parts, in prompt tokens.
func (c *core) recomputeCostLimit(l *lane) float64 {
	share := recomputeLimitShare
	if l.queued > 0 {
		share = queuedRecomputeLimitShare
	}
	return share * c.prefillSpeed(l) * l.class.FirstTokenTarget.Seconds()
}

// expectedCached returns how many tokens of the request's prompt the endpoint is expected to
// have cached. The preferred endpoint is expected to have all shared parts, since other hosts
// send them there too.
func (c *core) expectedCached(now time.Time, r *request, e, preferred *endpoint) winch.Tokens {
	if r.lane.knowsCaches {
		return e.prefill.cache.Expected(r.work.Parts, c.homes.heldChance(e))
	}
	cached := e.prefill.cachedTokens(now, r.work.Parts)
	if e == preferred {
		cached = max(cached, sharedTokens(r.work.Parts))
	}
	return cached
}

// recordDispatch adds the request's prompt to the endpoint's pending prefill.
func (c *core) recordDispatch(now time.Time, r *request, e *endpoint) {
	cached := winch.Tokens(0)
	switch {
	case r.lane.knowsCaches:
		c.findHomes(now, r.lane, r)
		cached = c.expectedCached(now, r, e, nil)
		defer c.recordSent(now, r, e, cached)
		if c.hosts > 1 && c.homes.rank(e) == 0 {
			// The hosts' budgets for prompts are shares of the same account, in which a home has the shared parts.
			cached = sharedTokens(r.work.Parts)
		}
	case c.hosts > 1:
		cached = c.expectedCached(now, r, e, c.preferredEndpoint(now, r.lane, r))
	default:
		cached = e.prefill.cachedTokens(now, r.work.Parts)
	}
	r.pendingPrefill = max(0, r.work.InputTokens-cached)
	r.prefillAhead = e.prefill.pending + e.prefill.others + r.pendingPrefill
	e.prefill.pending += r.pendingPrefill
	r.lane.pendingPrefill += r.pendingPrefill
	if !r.lane.knowsCaches {
		e.prefill.recordParts(now, r.work.Parts)
	}
}

// dropPendingPrefill subtracts the request's prompt from the endpoint's pending prefill, after
// its first token or its end.
func (e *endpoint) dropPendingPrefill(r *request) {
	e.prefill.pending -= r.pendingPrefill
	r.lane.pendingPrefill -= r.pendingPrefill
	r.pendingPrefill = 0
}

// partitionEndpoints selects the endpoints reserved for latency-sensitive classes. All hosts select
// the same ones from the same list: steady endpoints before cheap ones, then by hash.
func (c *core) partitionEndpoints(now time.Time) {
	for _, l := range c.sortedLanes {
		l.partitioned = false
	}
	if !c.features.prefillAware {
		return
	}
	for _, s := range c.endpointSets {
		if i := slices.IndexFunc(s.competitors, func(l *lane) bool { return l.set == s && l.latencySensitive }); i >= 0 {
			c.partitionEndpointsFor(now, s.competitors[i])
		}
	}
}

func (c *core) partitionEndpointsFor(now time.Time, l *lane) {
	usable := make([]*endpoint, 0, len(l.ring))
	for _, cheapSupply := range []bool{false, true} {
		for _, e := range l.ring {
			if e.cheap == cheapSupply && e.serving && !e.paused(now) {
				usable = append(usable, e)
			}
		}
	}
	count := int(math.Round(latencySensitiveShare * float64(len(usable))))
	for i, e := range usable {
		e.prefill.latencySensitive = i < count
	}
	partitioned := count > 0 && count < len(usable)
	for _, competitor := range l.competitors {
		competitor.partitioned = partitioned
	}
}

// servedByEngines reports whether the lane's endpoints are model engines.
func (l *lane) servedByEngines() bool {
	return len(l.endpoints) > 0 && l.endpoints[0].spec.Kind == winch.EndpointEngine
}

// setLatencySensitive determines whether the lane's class is latency-sensitive: its targets are among the shortest, and it shares its
// engines with classes that have longer ones. A class that bears longer pauses than the others between tokens does not count, however soon
// its first token is due: its prompts would cause such pauses in their streams.
func (l *lane) setLatencySensitive(targets *targetRange) {
	bound := withinRatio(targets.shortestFirstToken)
	target := l.class.FirstTokenTarget
	l.latencySensitive = l.servedByEngines() && target > 0 && target <= bound && targets.longestFirstToken > bound &&
		(targets.shortestInterToken == 0 || l.class.InterTokenTarget <= withinRatio(targets.shortestInterToken))
}

// withinRatio returns the longest target of a latency-sensitive class if the shortest one is given.
func withinRatio(shortest time.Duration) time.Duration {
	return time.Duration(min(float64(shortest)*latencySensitiveRatio, math.MaxInt64/2))
}
