package prefixcache

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/arbutuswinch/winch"
)

var start = time.Unix(1000, 0)

// prompt returns a prompt with a shared part of 1,000 tokens and an own one of 500.
func prompt(shared winch.PrefixHash) []winch.PromptPart {
	return []winch.PromptPart{{ID: shared, Tokens: 1000}, {ID: 999_999, Tokens: 500}}
}

func newCache(capacity winch.Tokens) *Cache {
	c := &Cache{}
	c.Advance(start, capacity, 0, 0)
	return c
}

func TestCache(t *testing.T) {
	t.Run("nothing is held before anything was sent", func(t *testing.T) {
		var c Cache
		assert.Equal(t, c.Expected(prompt(1), 0), winch.Tokens(0))
	})
	t.Run("a part that was sent is held, however long ago, until others take its place", func(t *testing.T) {
		c := newCache(30_000)
		c.Send(prompt(1), 1500, 0)
		c.Advance(start.Add(time.Hour), 30_000, 0, 0)
		assert.Equal(t, c.Expected(prompt(1), 0), winch.Tokens(1000))
		last := winch.Tokens(1000)
		for i := range 40 {
			c.Send(prompt(winch.PrefixHash(100+i)), 1500, 0)
			expected := c.Expected(prompt(1), 0)
			assert.Assert(t, expected <= last)
			last = expected
		}
		assert.Equal(t, last, winch.Tokens(0))
	})
	t.Run("the last used part stays", func(t *testing.T) {
		c := newCache(30_000)
		for i := range 100 {
			c.Send(prompt(1), 1500, 0)
			c.Send(prompt(winch.PrefixHash(100+i)), 1500, 0)
			assert.Equal(t, c.Expected(prompt(1), 0), winch.Tokens(1000))
		}
	})
	t.Run("one part that is used again and again displaces little", func(t *testing.T) {
		c := newCache(30_000)
		c.Send(prompt(1), 1500, 0)
		for range 20 {
			c.Send(prompt(2), 1000, 0)
		}
		assert.Equal(t, c.Expected(prompt(1), 0), winch.Tokens(1000))
	})
	t.Run("other hosts' tokens displace parts", func(t *testing.T) {
		c := newCache(30_000)
		c.Send(prompt(1), 1500, 0)
		c.Advance(start.Add(10*time.Second), 30_000, 0, 5000)
		assert.Equal(t, c.Expected(prompt(1), 0), winch.Tokens(0))
		assert.Equal(t, c.Horizon().Round(time.Second), 6*time.Second)
	})
	t.Run("running requests leave less room", func(t *testing.T) {
		c := newCache(30_000)
		c.Send(prompt(1), 1500, 0)
		c.Send(prompt(2), 20_000, 0)
		held := c.Expected(prompt(1), 0)
		c.Advance(start.Add(time.Minute), 30_000, 25_000, 0)
		assert.Assert(t, held > 0 && c.Expected(prompt(1), 0) == 0, "%d", held)
	})
	t.Run("a part counts only with all before it", func(t *testing.T) {
		c := newCache(30_000)
		c.Send([]winch.PromptPart{{ID: 1, Tokens: 10}, {ID: 2, Tokens: 20}, {ID: 3, Tokens: 5}}, 35, 0)
		assert.Equal(t, c.Expected([]winch.PromptPart{{ID: 1, Tokens: 10}, {ID: 2, Tokens: 20}, {ID: 4}}, 0), winch.Tokens(30))
		assert.Equal(t, c.Expected([]winch.PromptPart{{ID: 9, Tokens: 10}, {ID: 2, Tokens: 20}, {ID: 4}}, 0), winch.Tokens(0))
	})
	t.Run("what was not processed is forgotten, unless it was processed for another request", func(t *testing.T) {
		c := newCache(30_000)
		c.Send(prompt(1), 1500, 0)
		c.Forget(prompt(1))
		assert.Equal(t, c.Expected(prompt(1), 0), winch.Tokens(0))
		c.Send(prompt(1), 1500, 0)
		c.Confirm(prompt(1))
		c.Send(prompt(1), 1500, 0)
		c.Forget(prompt(1))
		assert.Equal(t, c.Expected(prompt(1), 0), winch.Tokens(1000))
	})
}

func TestCacheBounds(t *testing.T) {
	t.Run("only a full memory displaces, and only what is reused", func(t *testing.T) {
		c := newCache(30_000)
		assert.Equal(t, c.Displaced(1000), 0.0)
		for range 100 {
			c.Send(prompt(1), 2000, c.Expected(prompt(1), 0))
		}
		assert.Assert(t, c.Displaced(1000) > 500 && c.Displaced(1000) <= 1000, "%f", c.Displaced(1000))
	})
	t.Run("no more parts are remembered than the bound", func(t *testing.T) {
		c := newCache(1 << 40)
		for i := range 3 * maxParts {
			c.Send(prompt(winch.PrefixHash(i)), 1500, 0)
			assert.Assert(t, len(c.parts) <= maxParts)
		}
		assert.Equal(t, c.Expected(prompt(3*maxParts-1), 0), winch.Tokens(1000))
	})
}

// TestExpectation guards against expectations beyond what the prompt shares, and against some that grow with what other requests bring.
func TestExpectation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, now := &Cache{}, start
		capacity := winch.Tokens(rapid.IntRange(0, 100_000).Draw(t, "capacity"))
		part := rapid.Custom(func(t *rapid.T) winch.PromptPart {
			return winch.PromptPart{ID: winch.PrefixHash(rapid.IntRange(1, 5).Draw(t, "id")), Tokens: winch.Tokens(rapid.IntRange(-10, 5000).Draw(t, "tokens"))}
		})
		parts := rapid.SliceOfN(part, 0, 4)
		probe := parts.Draw(t, "probe")
		shared := winch.Tokens(0)
		for i := 0; i+1 < len(probe); i++ {
			shared += max(0, probe[i].Tokens)
		}
		last := winch.Tokens(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			sent := false
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				c.Send(parts.Draw(t, "parts"), winch.Tokens(rapid.IntRange(-10, 20_000).Draw(t, "prompt")), 0)
				sent = true
			case 1:
				c.Send([]winch.PromptPart{{ID: 9, Tokens: 100}}, winch.Tokens(rapid.IntRange(0, 20_000).Draw(t, "inflow")), 0)
			case 2:
				now = now.Add(time.Duration(rapid.IntRange(-10, 2000).Draw(t, "ms")) * time.Millisecond)
				c.Advance(now, capacity, 0, rapid.Float64Range(0, 50_000).Draw(t, "rate"))
			case 3:
				c.Forget(parts.Draw(t, "forgotten"))
			}
			least := rapid.Float64Range(0, 1).Draw(t, "least")
			expected, withOthers := c.Expected(probe, 0), c.Expected(probe, least)
			if expected < 0 || expected > withOthers || withOthers > shared || c.Expected(probe, 1) > shared {
				t.Fatalf("%d expected, %d with others, of %d", expected, withOthers, shared)
			}
			// The first call of Advance sets the room.
			if !sent && expected > last && c.room > 0 && !c.at.Equal(now) {
				t.Fatalf("%d expected after %d without a send", expected, last)
			}
			if c.Horizon() < 0 || c.Displaced(100) < 0 || c.Displaced(100) > 100 {
				t.Fatalf("horizon %s, %f displaced", c.Horizon(), c.Displaced(100))
			}
			last = expected
		}
	})
}

func TestPopularity(t *testing.T) {
	t.Run("rates of parts that were hardly seen are the usual ones", func(t *testing.T) {
		var p Popularity
		now := start
		for i := range 1200 {
			now = now.Add(100 * time.Millisecond)
			p.Observe(now, winch.PrefixHash(1+i*7919%100))
		}
		for _, part := range []winch.PrefixHash{1, 50, 100} {
			rate := p.Rate(now, part)
			assert.Assert(t, rate > 0.05 && rate < 0.2, "%f", rate)
		}
	})
	t.Run("parts that never come again have a low rate", func(t *testing.T) {
		var p Popularity
		now := start
		for i := range 3 * maxPopular {
			now = now.Add(10 * time.Millisecond)
			p.Observe(now, winch.PrefixHash(i))
			assert.Assert(t, len(p.parts) <= maxPopular)
		}
		assert.Assert(t, p.Rate(now, 1<<40) < 0.01, "%f", p.Rate(now, 1<<40))
	})
	t.Run("a hot part spreads, and gathers again when it cools", func(t *testing.T) {
		var p Popularity
		now := start
		assert.Equal(t, p.Spread(now, 7, 60, 0.1), 1)
		for range 100 {
			now = now.Add(time.Second)
			p.Observe(now, 7)
		}
		// 60 requests a second of 0.05 each are the work of three endpoints.
		spread := p.Spread(now, 7, 60, 0.05)
		assert.Equal(t, spread, 3)
		assert.Equal(t, p.Widest(), spread)
		for range 20 {
			assert.Equal(t, p.Spread(now, 7, 60, 0.05), spread, "the spread is stable")
		}
		assert.Equal(t, p.Spread(now, 7, 60, 0.045), spread, "it does not follow small changes")
		assert.Equal(t, p.Spread(now, 7, 60, 10), MaxSpread)
		assert.Equal(t, p.Spread(now.Add(10*time.Minute), 7, 60, 0.05), 1)
	})
	t.Run("a rare part has one home", func(t *testing.T) {
		var p Popularity
		for range minSpreadCount - 1 {
			p.Observe(start, 7)
		}
		assert.Equal(t, p.Spread(start, 7, 1000, 1), 1)
	})
}
