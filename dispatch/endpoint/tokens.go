package endpoint

import (
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/dispatch/tokenlimit"
)

// The tokens of running requests are a second limit beside the slots, where the configuration names the memory of the engines
// (winch.EngineProperties.CacheCapacity). A request that does not fit waits at its host or goes to another endpoint.

const (
	// needWeight is the weight of a sample in a lane's mean need.
	needWeight = 0.03
	// minHeldRequests is the number of running requests from which their mean size is used to predict waits.
	minHeldRequests = 8
)

// cacheCapacity returns the tokens that the endpoint's memory holds: the smallest known figure of its models, or zero.
func (c *core) cacheCapacity(spec winch.Endpoint) winch.Tokens {
	capacity := winch.Tokens(0)
	if !c.features.tokenLimit || spec.Kind != winch.EndpointEngine {
		return 0
	}
	for _, model := range spec.Models {
		if known := c.configuration.Engines[model].CacheCapacity; known > 0 && (capacity == 0 || known < capacity) {
			capacity = known
		}
	}
	return capacity
}

// tokenNeed returns the number of tokens that the request is expected to hold at the endpoint, zero if the capacity is not known.
func (r *request) tokenNeed(e *endpoint) winch.Tokens {
	if e.tokens.Capacity == 0 {
		return 0
	}
	return e.tokens.Need(r.work.InputTokens+r.work.OutputDone, r.lane.outputs.Expected(r.work.OutputHint, r.work.OutputTokens))
}

// sampleNeed adds the request to the mean need of its lane.
func (r *request) sampleNeed() {
	for _, e := range r.lane.endpoints {
		if e.tokens.Capacity > 0 {
			r.lane.meanNeed.Add(float64(r.tokenNeed(e)), needWeight)
			return
		}
	}
}

// hasTokens reports whether the endpoint's memory has room for the request.
func (c *core) hasTokens(now time.Time, e *endpoint, l *lane, r *request) bool {
	if e.tokens.Capacity == 0 {
		return true
	}
	need := r.tokenNeed(e)
	drained := e.tokens.Drained(secondsOf(float64(e.prefill.pending+e.prefill.others)*e.slowdown/c.prefillSpeed(l)), l.meanHold)
	return e.tokens.Fits(need, l.tokenReserve(need), drained, c.tokenOverbooking(now, l))
}

// tokenOverbooking returns the factor by which the lane's requests may exceed the memory, as they may exceed the slots.
func (c *core) tokenOverbooking(now time.Time, l *lane) float64 {
	if !l.lowestTier || c.starved(now, l) {
		return urgentOverbooking
	}
	return 1
}

// tokenReserve returns the room that a request of the given need leaves free: that for the largest requests of another class in the same
// tier, while the memory of all endpoints is scarce. Otherwise small requests would take any room before it is enough for a large one.
func (l *lane) tokenReserve(need winch.Tokens) winch.Tokens {
	if l.largestWaiting <= need {
		return 0
	}
	return l.largestWaiting
}

// withinTokenBudget reports whether this host may hold the tokens of another request; see tokenlimit.Pool.
func (c *core) withinTokenBudget(now time.Time, l *lane, r *request) bool {
	if l.pool.Capacity == 0 || !c.limitsPrefill(l) {
		return true
	}
	own, ahead := winch.Tokens(0), winch.Tokens(0)
	for _, competitor := range l.competitors {
		own += competitor.held
		if !l.higher(competitor) {
			ahead += competitor.held
		}
	}
	return l.pool.Admits(own, ahead, l.held, r.tokenNeed(l.endpoints[0]), c.tokenOverbooking(now, l))
}

// holdTokens adds the request's tokens to those of its endpoint.
func (e *endpoint) holdTokens(r *request, tokens winch.Tokens) {
	e.tokens.Own += tokens
	r.lane.held += tokens
	r.held += tokens
}

// dropTokens subtracts them when the request ends.
func (e *endpoint) dropTokens(r *request) { e.holdTokens(r, -r.held) }

// growTokens adds the tokens by which the request's output exceeds the expected output.
func (e *endpoint) growTokens(r *request) {
	held := min(r.work.InputTokens+r.work.OutputDone+r.lane.outputs.Produced(r.chargedOutput), e.tokens.Capacity)
	if held > r.held && e.tokens.Capacity > 0 {
		e.holdTokens(r, held-r.held)
	}
}

// othersTokens returns the tokens of the other hosts' requests. Hosts of earlier versions report only how many requests they have; these
// count with the mean size of this host's requests there.
func (e *endpoint) othersTokens(reported endpointStats) winch.Tokens {
	switch {
	case e.tokens.Capacity == 0:
		return 0
	case reported.Held > 0 || reported.Running == 0:
		return reported.Held
	case e.running > 0:
		return e.tokens.Own / winch.Tokens(e.running) * winch.Tokens(reported.Running)
	case len(e.lanes) > 0:
		return winch.Tokens(e.lanes[0].meanHeld * float64(reported.Running))
	}
	return 0
}

// refreshTokens recomputes the tokens at all endpoints of each lane, and told for each endpoint.
func (c *core) refreshTokens(now time.Time) {
	if !c.features.tokenLimit && !c.features.completion {
		return
	}
	c.assumeOthersTokens()
	if !c.features.tokenLimit {
		return
	}
	stale := c.hosts > 1 && !c.hostStatsFresh(now)
	for _, l := range c.sortedLanes {
		l.refreshPool(now, stale)
		l.largestWaiting = c.largestWaiting(now, l)
		if first := l.set.first; l != first {
			l.meanHold = first.meanHold
			continue
		}
		l.meanHold = c.meanHold(now, l)
	}
}

// refreshPool recomputes the memory of the lane's endpoints. This host's share of it is set with the budget for prompts.
func (l *lane) refreshPool(now time.Time, stale bool) {
	if first := l.set.first; l != first {
		l.pool, l.meanHeld = first.pool, first.meanHeld
		return
	}
	pool, requests, held, known := tokenlimit.Pool{Stale: stale}, 0, winch.Tokens(0), true
	for _, e := range l.endpoints {
		if !e.serving || e.paused(now) {
			continue
		}
		known = known && e.tokens.Capacity > 0
		pool.Capacity += e.tokens.Capacity
		pool.Others += e.tokens.Others
		requests += e.running + e.others
		held += e.tokens.Held()
	}
	if !known {
		pool.Capacity = 0
	}
	l.pool, l.meanHeld = pool, 0
	if requests >= minHeldRequests && pool.Capacity > 0 {
		l.meanHeld = float64(held) / float64(requests)
	}
}

// assumeOthersTokens sets told. At endpoints of which the hub tells this host nothing, it sets the other hosts' tokens to the mean of those of
// which it does.
func (c *core) assumeOthersTokens() {
	for _, e := range c.sortedEndpoints {
		e.told = e.running > 0
	}
	for _, l := range c.sortedLanes {
		// Lanes of the same endpoints and aperture have the same subset.
		if l.set.last.subset == len(l.subset) {
			continue
		}
		l.set.last.subset = len(l.subset)
		for _, e := range l.subset {
			e.told = true
		}
	}
	c.resetAssumed()
	for _, l := range c.sortedLanes {
		if len(l.subset) == len(l.endpoints) || l.set.last.subset == len(l.subset) {
			continue
		}
		l.set.last.subset = len(l.subset)
		others := winch.Tokens(0)
		for _, e := range l.subset {
			others += e.tokens.Others
		}
		for _, e := range l.endpoints {
			if !e.told && e.tokens.Capacity > 0 {
				e.tokens.Others = others / winch.Tokens(max(1, len(l.subset)))
			}
		}
	}
}

// resetAssumed forgets for which subsets a step of assumeOthersTokens was done.
func (c *core) resetAssumed() {
	for _, s := range c.endpointSets {
		s.last.subset = -1
	}
}

// largestWaiting returns the mean need of the largest requests of other classes in the lane's tier that any host may have to place. They
// need not be queued, since a request that finds no room may be refused at once.
func (c *core) largestWaiting(now time.Time, l *lane) winch.Tokens {
	needs := c.tierNeedsOf(now, l)
	if !l.pool.Scarce(needs.held) {
		return 0
	}
	return winch.Tokens(needs.largestExcept(l))
}

// meanHold returns the mean time that the requests which run on the lane's endpoints hold their slots; zero if it is not known.
func (c *core) meanHold(now time.Time, l *lane) time.Duration {
	running, seconds := 0, 0.0
	for _, competitor := range l.competitors {
		if competitor.holdTime.Samples == 0 {
			continue
		}
		count := competitor.running
		if c.hostStatsFresh(now) {
			count += competitor.others.Running
		}
		running += count
		seconds += float64(count) * competitor.holdTime.Value
	}
	if running == 0 {
		return 0
	}
	return secondsOf(seconds / float64(running))
}

// heldPerWireUnit is the number of tokens in a unit of the column Held.
const heldPerWireUnit = 100

// addHeld adds the tokens of the last row, rounded up. Rows before the first are filled with zeros.
func (w *statsWire) addHeld(held winch.Tokens) {
	if held <= 0 && len(w.Held) == 0 {
		return
	}
	for len(w.Held) < len(w.Endpoints)-1 {
		w.Held = append(w.Held, 0)
	}
	w.Held = append(w.Held, (max(0, int64(held))+heldPerWireUnit-1)/heldPerWireUnit)
}

// held returns the tokens of a row. Hosts of earlier versions, and those that know no capacity, send none.
func (w *statsWire) held(row int) winch.Tokens {
	if row >= len(w.Held) {
		return 0
	}
	return winch.Tokens(min(max(0, w.Held[row]), maxWireHeld)) * heldPerWireUnit
}

// maxWireHeld keeps sums over hosts from overflowing.
const maxWireHeld = 1 << 40
