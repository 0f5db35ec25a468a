package endpoint

import (
	"math"
	"time"

	"github.com/arbutuswinch/winch"
)

// The choice by prompts answers one load: prompts of very different lengths on engines that
// read them between the tokens of other requests. What delays a first token there, and the
// pauses of streams, is how much of prompts the engine has still to read, not how many
// requests run. So each host keeps account of the unread tokens that the hosts gave to each
// endpoint, less what the endpoint keeps of prompts that it read before, and keeps long
// prompts away from a part of the endpoints, which serves the classes with the shortest targets.

const (
	// partRetention is how long an endpoint is expected to keep a part of a prompt after its last use.
	partRetention = 30 * time.Second
	// maxCachedParts bounds the parts that are remembered for one endpoint.
	maxCachedParts = 4096
	// runningRequestCost is the work of a running request, in tokens of prompts to read.
	runningRequestCost = 60
	// recomputeWeight is what a token costs besides that others keep, when it is read again.
	recomputeWeight = 12
	// recomputeLimitShare is the part of the target for the first token that is spent on waiting
	// for an endpoint that keeps shared parts.
	recomputeLimitShare = 0.9
	// defaultPrefillSpeed is how many tokens of prompts endpoints read in a second, until that is learnt.
	defaultPrefillSpeed = 30_000
	// remoteDataCentreCost is the cost of serving from another data centre, in tokens of prompts to read.
	remoteDataCentreCost = 150
	// wrongPartitionCost keeps quick classes on the endpoints that are set aside for them, and others
	// away from those, until their own are loaded, in tokens.
	wrongPartitionCost = 40000
	// latencySensitiveShare is the part of the endpoints that is set aside for quick classes.
	latencySensitiveShare = 0.34
	// latencySensitiveRatio is how many times the shortest target a quick class's may be.
	latencySensitiveRatio = 1.5
)

// prefillLoad is what an endpoint has still to read, in tokens.
type prefillLoad struct {
	// pending are the tokens of this host's requests without a first token.
	pending winch.Tokens
	// others are those of the other hosts, as they told.
	others winch.Tokens
	// parts are the chains of prompt parts that were given to the endpoint, with the time of the last use.
	parts map[winch.PrefixHash]time.Time
	// latencySensitive says that the endpoint is set aside for quick classes.
	latencySensitive bool
}

// chainHash extends the hash of a chain of parts.
func chainHash(before, part winch.PrefixHash) winch.PrefixHash {
	return winch.PrefixHash(mix(uint64(before)*0x9e3779b97f4a7c15 ^ uint64(part)))
}

// cachedTokens returns the tokens of the request's prompt that the endpoint is expected to keep.
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

// recordParts notes that the endpoint gets the request's prompt.
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

func (p *prefillLoad) evictParts(now time.Time) {
	for hash, used := range p.parts {
		if now.Sub(used) > partRetention || len(p.parts) > maxCachedParts {
			delete(p.parts, hash)
		}
	}
}

// sharedPartsHash is the hash of the parts that other requests have as well: all but the last.
func sharedPartsHash(parts []winch.PromptPart) winch.PrefixHash {
	hash := winch.PrefixHash(0)
	for i := 0; i+1 < len(parts); i++ {
		hash = chainHash(hash, parts[i].ID)
	}
	return hash
}

// sharedTokens are the tokens of the parts that other requests have as well.
func sharedTokens(parts []winch.PromptPart) winch.Tokens {
	tokens := winch.Tokens(0)
	for i := 0; i+1 < len(parts); i++ {
		tokens += parts[i].Tokens
	}
	return tokens
}

// chooseLowestPrefill takes the endpoint that would have read the request's prompt first. Among
// like ones, all hosts prefer the same endpoint for the same shared parts.
func chooseLowestPrefill(c *core, now time.Time, l *lane, r *request) *endpoint {
	preferred := c.preferredEndpoint(now, l, r)
	var best *endpoint
	lowest := math.Inf(1)
	for _, e := range l.subset {
		if !c.eligible(now, l, r, e) {
			continue
		}
		if cost := c.prefillCost(now, l, r, e, preferred); cost < lowest {
			best, lowest = e, cost
		}
	}
	return best
}

// preferredEndpoint returns the endpoint that all hosts prefer for the request's shared parts.
func (c *core) preferredEndpoint(now time.Time, l *lane, r *request) *endpoint {
	shared := sharedPartsHash(r.work.Parts)
	if shared == 0 {
		return nil
	}
	var preferred *endpoint
	weight := uint64(0)
	for _, e := range l.subset {
		if !e.usable(now) || e.prefill.latencySensitive != l.latencySensitive && l.partitioned {
			continue
		}
		if w := mix(uint64(shared) ^ e.hash); preferred == nil || w > weight {
			preferred, weight = e, w
		}
	}
	return preferred
}

// prefillCost is the work before the request's first token at the endpoint, in tokens of
// prompts to read. Shared parts that others keep weigh more than the time to read them: that
// work is taken from all requests. They weigh no more than the request can wait for, so that
// a subject which asks for more than one endpoint reads is read by others as well.
func (c *core) prefillCost(now time.Time, l *lane, r *request, e, preferred *endpoint) float64 {
	cached := c.expectedCached(now, r, e, preferred)
	uncached := max(0, r.work.InputTokens-cached)
	cost := float64(e.prefill.pending+e.prefill.others+uncached)*e.slowdown + runningRequestCost*float64(e.running+e.others)
	if c.home != "" && e.spec.DataCentre != c.home {
		cost += remoteDataCentreCost
	}
	if l.partitioned && e.prefill.latencySensitive != l.latencySensitive {
		cost += wrongPartitionCost
	}
	if e == preferred {
		cost--
	}
	missing := max(0, sharedTokens(r.work.Parts)-cached)
	return cost + min(recomputeWeight*float64(missing), c.recomputeCostLimit(l))
}

// recomputeCostLimit is the work for which a request waits rather than have shared parts read again.
func (c *core) recomputeCostLimit(l *lane) float64 {
	speed := c.prefillSpeeds[l.key.group].value
	if speed == 0 {
		speed = defaultPrefillSpeed
	}
	return recomputeLimitShare * speed * l.class.FirstTokenTarget.Seconds()
}

// expectedCached is what the endpoint is expected to keep of the request's prompt.
func (c *core) expectedCached(now time.Time, r *request, e, preferred *endpoint) winch.Tokens {
	cached := e.prefill.cachedTokens(now, r.work.Parts)
	if e == preferred {
		cached = max(cached, sharedTokens(r.work.Parts))
	}
	return cached
}

// recordDispatch takes a request into the account of the endpoint's unread tokens.
func (c *core) recordDispatch(now time.Time, r *request, e *endpoint) {
	r.pendingPrefill = max(0, r.work.InputTokens-e.prefill.cachedTokens(now, r.work.Parts))
	r.prefillAhead = e.prefill.pending + e.prefill.others + r.pendingPrefill
	e.prefill.pending += r.pendingPrefill
	e.prefill.recordParts(now, r.work.Parts)
}

// dropPendingPrefill notes that the endpoint has read the request's prompt, or never will.
func (e *endpoint) dropPendingPrefill(r *request) {
	e.prefill.pending -= r.pendingPrefill
	r.pendingPrefill = 0
}

// partitionEndpoints settles which endpoints serve quick classes. Every host comes to the same
// result from the same list: steady endpoints go before cheap ones, then by their hashes.
func (c *core) partitionEndpoints(now time.Time) {
	for _, l := range c.sortedLanes {
		l.partitioned = false
	}
	if !c.features.prefillAware {
		return
	}
	for _, l := range c.sortedLanes {
		if l.latencySensitive {
			c.partitionEndpointsFor(now, l)
		}
	}
}

func (c *core) partitionEndpointsFor(now time.Time, l *lane) {
	usable := make([]*endpoint, 0, len(l.ring))
	for _, cheapSupply := range []bool{false, true} {
		for _, e := range l.ring {
			if e.cheap == cheapSupply && e.serving && !now.Before(e.health.ejectedUntil) {
				usable = append(usable, e)
			}
		}
	}
	count := int(math.Round(latencySensitiveShare * float64(len(usable))))
	for i, e := range usable {
		e.prefill.latencySensitive = i < count
	}
	split := count > 0 && count < len(usable)
	for _, competitor := range l.competitors {
		competitor.partitioned = split
	}
}

// servedByEngines tells whether the lane's endpoints are model engines.
func (l *lane) servedByEngines() bool {
	return len(l.endpoints) > 0 && l.endpoints[0].spec.Kind == winch.EndpointEngine
}

// setLatencySensitive settles which classes are quick: those with the shortest targets, where others
// share their engines.
func (l *lane) setLatencySensitive() {
	shortest, longest := time.Duration(math.MaxInt64), time.Duration(0)
	for _, competitor := range l.competitors {
		if target := competitor.class.FirstTokenTarget; target > 0 {
			shortest, longest = min(shortest, target), max(longest, target)
		}
	}
	bound := time.Duration(float64(shortest) * latencySensitiveRatio)
	target := l.class.FirstTokenTarget
	l.latencySensitive = l.servedByEngines() && target > 0 && target <= bound && longest > bound
}
