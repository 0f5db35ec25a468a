// Package prefixcache estimates which parts of prompts the memory of an endpoint still holds. It does no I/O.
//
// An engine keeps the tokens of earlier prompts in the memory that its running requests leave free, and evicts the least recently used ones.
// A Cache follows one endpoint. Its clock counts the tokens that became the most recently used ones, so that the distance of a part, which
// is the clock's advance since its last use, tells how much has to fit into the memory beside it. Popularity counts how often parts are
// requested.
//
// # Usage
//
//	cache.Advance(now, capacity, held, othersRate)
//	expected := cache.Expected(work.Parts, 0)
//	cache.Send(work.Parts, work.InputTokens, expected)
package prefixcache

import (
	"math"
	"time"

	"github.com/arbutuswinch/winch"
)

const (
	// maxParts bounds the parts that are remembered of one endpoint.
	maxParts = 4096
	// certainShare and lostShare are the distances, relative to the room, up to which a part is certainly held and from which it is
	// certainly evicted. Between them the chance falls linearly, since both the distance and the room are estimates.
	certainShare = 0.5
	lostShare    = 1.5
	// roomTime is the time constant of the mean room. Parts that a short peak of running requests has evicted are missing after the peak.
	roomTime = time.Second
	// reuseWeight is the weight of a sample in the mean reuse.
	reuseWeight = 0.02
)

// Cache estimates the content of one endpoint's memory. The zero value is that of an endpoint that holds nothing. It must not be used
// concurrently.
type Cache struct {
	parts map[winch.PrefixHash]part
	// clock is the number of tokens so far that became the most recently used ones.
	clock float64
	// room is the mean number of tokens that running requests leave free, and othersRate the clock's advance in a second through the
	// other hosts' requests.
	room, othersRate float64
	// ownRate is the mean advance in a second through this host's requests, and ownSince their advance since the last call of Advance.
	ownRate, ownSince float64
	// reuse is the mean share of shared tokens that were expected to be held.
	reuse float64
	at    time.Time
}

// part is the last use of a part.
type part struct {
	mark float64 // the clock at that time
	// confirmed is set once a request with it has received its first token.
	confirmed bool
}

// Chain returns the hash of a chain of parts extended by one part.
func Chain(before, next winch.PrefixHash) winch.PrefixHash {
	x := uint64(before)*0x9e3779b97f4a7c15 ^ uint64(next)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return winch.PrefixHash(x ^ x>>31)
}

// Advance applies the time since the last call, with the endpoint's capacity, the tokens of its running requests, and the prompt tokens
// that the other hosts send to it in a second. Negative values count as zero.
func (c *Cache) Advance(now time.Time, capacity, held winch.Tokens, othersRate float64) {
	room := float64(max(0, capacity-max(0, held)))
	othersRate = max(0, othersRate)
	if c.at.IsZero() {
		c.at, c.room, c.othersRate = now, room, othersRate
		return
	}
	seconds := now.Sub(c.at).Seconds()
	if seconds <= 0 {
		return
	}
	c.at = now
	weight := 1 - math.Exp(-seconds/roomTime.Seconds())
	c.room += weight * (room - c.room)
	slow := 1 - math.Exp(-seconds/rateTime.Seconds())
	c.ownRate += slow * (c.ownSince/seconds - c.ownRate)
	c.ownSince, c.othersRate = 0, othersRate
	c.clock += othersRate * seconds
}

// rateTime is the time constant of the mean rate of this host's tokens.
const rateTime = 10 * time.Second

// chance returns the probability that a part of the given distance is held.
func (c *Cache) chance(distance float64) float64 {
	if c.room <= 0 {
		return 0
	}
	return min(max(0, (lostShare-distance/c.room)/(lostShare-certainShare)), 1)
}

// Expected returns how many tokens of the parts that other requests may share, all but the last, the endpoint is expected to hold. A part
// counts only with all before it. The argument least is the probability, from 0 to 1, that requests of other hosts keep the parts there.
func (c *Cache) Expected(parts []winch.PromptPart, least float64) winch.Tokens {
	expected, chance, hash := 0.0, 1.0, winch.PrefixHash(0)
	least = min(max(0, least), 1)
	for i := 0; i+1 < len(parts) && chance > 0; i++ {
		hash = Chain(hash, parts[i].ID)
		own := 0.0
		if known, found := c.parts[hash]; found {
			own = c.chance(c.clock - known.mark)
		}
		chance = min(chance, max(own, least))
		expected += chance * float64(max(0, parts[i].Tokens))
	}
	return winch.Tokens(expected)
}

// Send records that a prompt of the given length was sent to the endpoint, which was expected to hold the given number of its tokens. It
// returns the clock's advance.
func (c *Cache) Send(parts []winch.PromptPart, prompt, expected winch.Tokens) winch.Tokens {
	if c.parts == nil {
		c.parts = map[winch.PrefixHash]part{}
	}
	shared, moved, hash := 0.0, 0.0, winch.PrefixHash(0)
	for i := 0; i+1 < len(parts); i++ {
		hash = Chain(hash, parts[i].ID)
		known, found := c.parts[hash]
		tokens, chance := float64(max(0, parts[i].Tokens)), 0.0
		if found {
			chance = c.chance(c.clock - known.mark)
		} else if len(c.parts) >= maxParts {
			c.prune()
		}
		shared += tokens
		// Tokens that are held only overtake those that were used since, so that the clock advances by that share of them.
		moved += chance*tokens*c.passed(known.mark) + (1-chance)*tokens
		c.parts[hash] = part{mark: c.clock, confirmed: known.confirmed && chance > 0}
	}
	if shared > 0 {
		c.reuse += reuseWeight * (min(max(0, float64(expected)/shared), 1) - c.reuse)
	}
	added := moved + max(0, float64(prompt)-shared)
	c.clock += added
	c.ownSince += added
	hash = 0
	for i := 0; i+1 < len(parts); i++ {
		hash = Chain(hash, parts[i].ID)
		known := c.parts[hash]
		known.mark = c.clock
		c.parts[hash] = known
	}
	return winch.Tokens(added)
}

// passed returns the share of the held tokens that were used after the mark.
func (c *Cache) passed(mark float64) float64 {
	if c.room <= 0 {
		return 1
	}
	return min(max(0, (c.clock-mark)/c.room), 1)
}

// Confirm records that a prompt with the parts was processed.
func (c *Cache) Confirm(parts []winch.PromptPart) {
	hash := winch.PrefixHash(0)
	for i := 0; i+1 < len(parts); i++ {
		hash = Chain(hash, parts[i].ID)
		if known, found := c.parts[hash]; found && !known.confirmed {
			known.confirmed = true
			c.parts[hash] = known
		}
	}
}

// Forget removes the parts of a prompt that ended before it was processed, unless another one with them was.
func (c *Cache) Forget(parts []winch.PromptPart) {
	hash := winch.PrefixHash(0)
	for i := 0; i+1 < len(parts); i++ {
		hash = Chain(hash, parts[i].ID)
		if known, found := c.parts[hash]; found && !known.confirmed {
			delete(c.parts, hash)
		}
	}
}

// Horizon returns how long the endpoint keeps a part that is not used again.
func (c *Cache) Horizon() time.Duration {
	rate := c.othersRate + c.ownRate
	if rate <= 0 {
		return maxHorizon
	}
	return time.Duration(min(c.room/rate, maxHorizon.Seconds()) * float64(time.Second))
}

// maxHorizon bounds what Horizon returns for an endpoint that is hardly used.
const maxHorizon = time.Hour

// Displaced returns the expected number of tokens that have to be processed again because the endpoint evicts them for the given new ones:
// none until its memory has been filled once, then the share of tokens that are reused.
func (c *Cache) Displaced(tokens winch.Tokens) float64 {
	if c.clock < c.room || tokens <= 0 {
		return 0
	}
	return c.reuse * float64(tokens)
}

// prune removes the parts that are lost and, if there are none, those used before the mean of the last uses.
func (c *Cache) prune() {
	sum := 0.0
	for hash, known := range c.parts {
		if c.chance(c.clock-known.mark) <= 0 {
			delete(c.parts, hash)
			continue
		}
		sum += known.mark
	}
	if len(c.parts) < maxParts {
		return
	}
	mean := sum / float64(len(c.parts))
	for hash, known := range c.parts {
		if known.mark <= mean {
			delete(c.parts, hash)
		}
	}
}
