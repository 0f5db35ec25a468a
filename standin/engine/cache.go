package engine

import (
	"container/list"
	"math/rand/v2"
	"time"
)

// eventLimit is how many cache events are kept for readers.
const eventLimit = 8192

// cacheEvent says that the leading part of a prompt was stored or evicted.
type cacheEvent struct {
	sequence int64
	prefix   uint64
	evicted  bool
	at       time.Time
}

// cache is a prefix cache that evicts the least recently used block.
type cache struct {
	limit  int
	blocks map[uint64]*list.Element
	order  *list.List
	events []cacheEvent
	next   int64
	gap    float64
	random *rand.Rand
}

func newCache(limitTokens int, gap float64, random *rand.Rand) *cache {
	return &cache{
		limit:  limitTokens / blockTokens,
		blocks: map[uint64]*list.Element{},
		order:  list.New(),
		gap:    gap,
		random: random,
	}
}

// cached returns how many tokens of the prompt's start are stored.
func (c *cache) cached(blocks []uint64) int {
	for i, block := range blocks {
		element, found := c.blocks[block]
		if !found {
			return i * blockTokens
		}
		c.order.MoveToFront(element)
	}
	return len(blocks) * blockTokens
}

// store keeps the prompt's blocks and evicts others over the limit.
func (c *cache) store(now time.Time, blocks []uint64) {
	for _, block := range blocks {
		if element, found := c.blocks[block]; found {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.order.PushFront(block)
		c.publish(now, block, false)
	}
	for c.order.Len() > c.limit {
		oldest := c.order.Back()
		block := c.order.Remove(oldest).(uint64)
		delete(c.blocks, block)
		c.publish(now, block, true)
	}
}

func (c *cache) publish(now time.Time, prefix uint64, evicted bool) {
	c.next++
	if c.random.Float64() < c.gap {
		return
	}
	c.events = append(c.events, cacheEvent{sequence: c.next, prefix: prefix, evicted: evicted, at: now})
	if len(c.events) > 2*eventLimit {
		c.events = append([]cacheEvent(nil), c.events[eventLimit:]...)
	}
}

// since returns the events after the sequence number that happened until the instant.
func (c *cache) since(after int64, until time.Time) []cacheEvent {
	out := []cacheEvent{}
	for _, event := range c.events {
		if event.sequence > after && !event.at.After(until) {
			out = append(out, event)
		}
	}
	return out
}

func (c *cache) used() int { return c.order.Len() * blockTokens }

func (c *cache) clear() {
	c.blocks = map[uint64]*list.Element{}
	c.order = list.New()
	c.events = nil
}
