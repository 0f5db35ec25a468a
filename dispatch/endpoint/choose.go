package endpoint

import (
	"math"
	"time"

	"github.com/arbutuswinch/winch"
)

const (
	closeScore      = 0.15 // scores this near to the best count as equal
	affinityScore   = 0.35 // load that the endpoint of a prompt's prefix may have above the best
	ageScore        = 0.25 // for a report at its horizon
	cheapScore      = 0.15
	unsafeScore     = 0.5 // for work on a cheap endpoint that would be lost with it
	absorbScore     = 2
	adapterScore    = 0.5
	unreadScore     = 0.25 // for prompts before the request's up to the limit
	affinityMinimum = 64   // tokens
)

// allowance returns how many more requests this host may give to the endpoint.
func (c *core) allowance(now time.Time, e *endpoint) int {
	if !c.features.sharing || e.others == 0 && e.fair == 0 || !c.informed(now) {
		return e.cap - e.running
	}
	allowed := e.cap - e.others
	if e.fair > allowed {
		allowed = e.fair
	}
	if e.yields && allowed > e.fair {
		allowed = max(1, e.fair)
	}
	if limit := e.limit.ceiling - e.others; allowed > limit {
		allowed = limit
	}
	return allowed - e.running
}

// eligible tells whether the request may run on the endpoint now.
func (c *core) eligible(now time.Time, l *lane, r *request, e *endpoint) bool {
	return c.allowance(now, e) > 0 && e.usable(now) && (len(r.work.Excluded) == 0 || !r.excludes(e.spec.ID)) &&
		c.roomFor(e, l, r) && !c.reserved(now, e, l)
}

// chooseBest takes the better of two random endpoints among those whose score is
// close to the best, or the endpoint of the prompt's prefix when its load allows.
func chooseBest(c *core, now time.Time, l *lane, r *request) *endpoint {
	best := c.scoreAll(now, l, r)
	if math.IsInf(best, 1) {
		return nil
	}
	if r.work.Prefix != 0 && r.work.InputTokens >= affinityMinimum {
		if e := c.choosePrefix(l, r, best+affinityScore); e != nil {
			return e
		}
	}
	return c.chooseTwo(l, best+closeScore)
}

// scoreAll fills the scores of the lane's endpoints and returns the lowest. A
// score is the share of the endpoint's slots in use, with what is known against it.
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
	return best
}

func (c *core) score(l *lane, r *request, e *endpoint) float64 {
	score := ageScore*e.age + (e.estimate(c.features.corrections)+1)/float64(e.cap)
	if c.features.ownAnswers {
		score *= e.factor
	}
	if c.features.longShare {
		score += unreadScore * min(1, float64(e.unread)/float64(c.settings.UnreadLimit))
	}
	if e.cheap {
		score += supplyScore(l, r)
	}
	if r.work.Adapter != "" && !e.holds(r.work.Adapter) {
		score += adapterScore
	}
	return score
}

// supplyScore prefers cheap endpoints for work that survives their loss. The
// highest tier uses them only as far as steady endpoints could take its work over.
func supplyScore(l *lane, r *request) float64 {
	if r.plain() {
		return unsafeScore
	}
	if l.first && float64(l.cheapRunning) >= l.steadyRoom {
		return absorbScore
	}
	return -cheapScore
}

func (e *endpoint) holds(adapter winch.AdapterID) bool {
	for _, loaded := range e.models {
		if loaded.Adapter == adapter {
			return true
		}
	}
	return false
}

// chooseTwo takes the better of two random endpoints with a score up to the bound.
func (c *core) chooseTwo(l *lane, bound float64) *endpoint {
	count := 0
	for _, score := range c.scores {
		if score <= bound {
			count++
		}
	}
	if count == 0 {
		return nil
	}
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

// choosePrefix takes the endpoint known to keep the prefix, or the one with the
// highest rendezvous weight for it, among those with a score up to the bound.
func (c *core) choosePrefix(l *lane, r *request, bound float64) *endpoint {
	keeper := c.prefixes[r.work.Prefix]
	var best *endpoint
	weight := uint64(0)
	for i, e := range l.subset {
		if c.scores[i] > bound {
			continue
		}
		if e.spec.ID == keeper {
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

const prefixesKept = 1 << 16

// rememberPrefix notes the endpoint that got a prompt with the prefix last.
func (c *core) rememberPrefix(prefix winch.PrefixHash, id winch.EndpointID) {
	if len(c.prefixes) >= prefixesKept {
		clear(c.prefixes)
	}
	c.prefixes[prefix] = id
}

func (c *core) observeCache(event winch.CacheEvent) {
	if !event.Evicted {
		c.rememberPrefix(event.Prefix, event.Endpoint)
	} else if c.prefixes[event.Prefix] == event.Endpoint {
		delete(c.prefixes, event.Prefix)
	}
}

// chooseRandom takes any endpoint with a free slot.
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

// chooseLeastReported takes the endpoint whose last report shows the least load.
func chooseLeastReported(c *core, now time.Time, l *lane, r *request) *endpoint {
	var chosen *endpoint
	for _, e := range l.subset {
		if c.eligible(now, l, r, e) && (chosen == nil || e.reported < chosen.reported) {
			chosen = e
		}
	}
	return chosen
}

// chooseFirstFree takes the first endpoint in turn with a free slot.
func chooseFirstFree(c *core, now time.Time, l *lane, r *request) *endpoint {
	for i := range l.subset {
		e := l.subset[(l.turn+i)%len(l.subset)]
		if c.eligible(now, l, r, e) {
			l.turn = (l.turn + i + 1) % len(l.subset)
			return e
		}
	}
	return nil
}
