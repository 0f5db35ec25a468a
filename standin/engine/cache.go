package engine

import (
	"container/list"
	"math/rand/v2"
	"time"
)

// minEvents is the least number of cache events that are kept for readers.
const minEvents = 8192

// cacheEvent records that the prefix of a prompt was stored or evicted.
type cacheEvent struct {
	sequence int64
	prefix   uint64
	evicted  bool
	at       time.Time
}

// cache is a prefix cache that evicts the least recently used block. It publishes an event
// for each prefix stored or evicted. A random share of the events, gap, is lost: their sequence
// numbers are skipped.
type cache struct {
	limit   int
	blocks  map[uint64]*list.Element
	recency *list.List
	// prefixes maps the first block of a prompt to the prefix hashes stored under it.
	prefixes     map[uint64]map[uint64]struct{}
	events       []cacheEvent
	lastSequence int64
	gap          float64
	random       *rand.Rand
}

func newCache(limitTokens int, gap float64, random *rand.Rand) *cache {
	return &cache{
		limit:    limitTokens / blockTokens,
		blocks:   map[uint64]*list.Element{},
		recency:  list.New(),
		prefixes: map[uint64]map[uint64]struct{}{},
		gap:      gap,
		random:   random,
	}
}

// cached returns the number of leading tokens of the prompt that are stored.
func (c *cache) cached(blocks []uint64) int {
	stored := 0
	for stored < len(blocks) && c.blocks[blocks[stored]] != nil {
		stored++
	}
	c.touch(blocks[:stored])
	return stored * blockTokens
}

// touch makes the blocks the most recently used, and adds those that are missing. It ends with the
// first block, so that the start of a prompt is evicted last.
func (c *cache) touch(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		if element, found := c.blocks[blocks[i]]; found {
			c.recency.MoveToFront(element)
			continue
		}
		c.blocks[blocks[i]] = c.recency.PushFront(blocks[i])
	}
}

// store adds the blocks of a prompt and evicts old blocks above the limit. Prompts
// shorter than a block are not stored.
func (c *cache) store(now time.Time, added prompt) {
	if len(added.blocks) == 0 {
		return
	}
	c.touch(added.blocks)
	c.addPrefix(now, added.blocks[0], added.prefixHash)
	for c.recency.Len() > c.limit {
		block := c.recency.Remove(c.recency.Back()).(uint64)
		delete(c.blocks, block)
		c.removePrefixes(now, block)
	}
}

func (c *cache) addPrefix(now time.Time, first, prefixHash uint64) {
	if c.prefixes[first] == nil {
		c.prefixes[first] = map[uint64]struct{}{}
	}
	if _, known := c.prefixes[first][prefixHash]; !known {
		c.prefixes[first][prefixHash] = struct{}{}
		c.publish(now, prefixHash, false)
	}
}

func (c *cache) removePrefixes(now time.Time, first uint64) {
	for prefixHash := range c.prefixes[first] {
		c.publish(now, prefixHash, true)
	}
	delete(c.prefixes, first)
}

func (c *cache) publish(now time.Time, prefix uint64, evicted bool) {
	c.lastSequence++
	if c.random.Float64() < c.gap {
		return
	}
	c.events = append(c.events, cacheEvent{sequence: c.lastSequence, prefix: prefix, evicted: evicted, at: now})
	if len(c.events) > 2*minEvents {
		c.events = append([]cacheEvent(nil), c.events[minEvents:]...)
	}
}

// since returns the events after a sequence number that happened at or before until.
func (c *cache) since(after int64, until time.Time) []cacheEvent {
	selected := []cacheEvent{}
	for _, event := range c.events {
		if event.sequence > after && !event.at.After(until) {
			selected = append(selected, event)
		}
	}
	return selected
}

func (c *cache) used() int { return c.recency.Len() * blockTokens }

func (c *cache) clear() {
	c.blocks = map[uint64]*list.Element{}
	c.recency = list.New()
	c.prefixes = map[uint64]map[uint64]struct{}{}
	c.events = nil
}
