package endpoint

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/dispatch/prefixcache"
)

// newCacheCore returns a core of one of 60 hosts whose endpoints have a known memory, and the list of the endpoints.
func newCacheCore() (*core, []winch.EndpointStatus, time.Time) {
	f := newFleet(60, 12)
	f.configuration.Engines = memoryOf(200_000)
	for i := range f.statuses {
		f.statuses[i].StartedAt = f.now.Add(-time.Hour)
	}
	c := f.cores[0]
	c.configure(f.now, f.configuration, f.statuses)
	return c, f.statuses, f.now
}

func planParts(subject, own int) []winch.PromptPart {
	return []winch.PromptPart{{ID: winch.PrefixHash(subject), Tokens: 6300}, {ID: winch.PrefixHash(1_000_000 + own), Tokens: 2890}}
}

func TestEstimatedCaches(t *testing.T) {
	t.Run("a part that was processed is held until the endpoint starts again", func(t *testing.T) {
		c, statuses, now := newCacheCore()
		r := c.submit(now, 1, "plan", 9190, planParts(7, 1)...)
		e := r.endpoint
		r.progress.first.Store(now.UnixNano())
		c.readProgress(now, r)
		c.release(now, r, winch.OutcomeDone)
		assert.Equal(t, e.prefill.cache.Expected(planParts(7, 2), 0), winch.Tokens(6300))
		for i := range statuses {
			statuses[i].StartedAt = now
		}
		c.configure(now, c.configuration, statuses)
		e = c.endpoints[e.spec.ID]
		assert.Equal(t, e.prefill.cache.Expected(planParts(7, 2), 0), winch.Tokens(0))
	})
	t.Run("a part that was not processed is not held", func(t *testing.T) {
		c, _, now := newCacheCore()
		r := c.submit(now, 1, "plan", 9190, planParts(7, 1)...)
		e := r.endpoint
		c.release(now, r, winch.OutcomeRejected)
		assert.Equal(t, e.prefill.cache.Expected(planParts(7, 2), 0), winch.Tokens(0))
	})
	t.Run("a home takes no place of limits: cold, evacuated and ejected endpoints are none", func(t *testing.T) {
		for name, change := range map[string]func(e *endpoint){
			"cold": func(e *endpoint) { e.cold.cold = true }, "ejected": func(e *endpoint) { e.health.ejected = true }, "evacuated": func(e *endpoint) { e.serving = false },
		} {
			c, _, now := newCacheCore()
			r := c.submit(now, 1, "plan", 9190, planParts(7, 1)...)
			c.findHomes(now, r.lane, r)
			first, kept := c.homes.endpoints[0], c.homes.endpoints
			assert.Equal(t, c.homes.kept, 1+alternates)
			change(first)
			c.findHomes(now, r.lane, r)
			assert.Assert(t, c.homes.rank(first) < 0 && c.homes.endpoints[0] == kept[1], name)
		}
	})
	t.Run("a hot part has several homes, and the first of them stays", func(t *testing.T) {
		c, _, now := newCacheCore()
		for i := range 60 {
			now = now.Add(500 * time.Millisecond)
			r := c.submit(now, i, "plan", 9190, planParts(7, i)...)
			if r.endpoint != nil {
				c.release(now, r, winch.OutcomeDone)
			}
		}
		r := c.submit(now, 100, "plan", 9190, planParts(7, 100)...)
		rare := c.submit(now, 101, "plan", 9190, planParts(8, 101)...)
		c.findHomes(now, r.lane, r)
		assert.Assert(t, c.homes.count > 1 && c.homes.count <= prefixcache.MaxSpread, "%d", c.homes.count)
		assert.Equal(t, c.prefixUse()[0].spread, r.lane.popularity.Widest())
		for i := 1; i < c.homes.kept; i++ {
			assert.Assert(t, c.homes.weights[i-1] > c.homes.weights[i])
		}
		c.findHomes(now, rare.lane, rare)
		assert.Equal(t, c.homes.count, 1)
	})
}

// TestChoiceWithEstimatedCachesDoesNotAllocate guards against a cost of each decision that small hosts can not bear.
func TestChoiceWithEstimatedCachesDoesNotAllocate(t *testing.T) {
	c, _, now := newCacheCore()
	r := c.submit(now, 1, "plan", 9190, planParts(7, 1)...)
	assert.Equal(t, testing.AllocsPerRun(100, func() { chooseLowestPrefill(c, now, r.lane, r) }), 0.0)
}

func BenchmarkChoiceWithEstimatedCaches(b *testing.B) {
	for _, weighed := range []bool{false, true} {
		f := newFleet(60, 146)
		f.configuration.Engines = memoryOf(200_000)
		c := f.cores[0]
		c.features.prefixCache = weighed
		c.configure(f.now, f.configuration, f.statuses)
		r := c.submit(f.now, 1, "plan", 9190, planParts(7, 1)...)
		b.Run(map[bool]string{false: "retention", true: "estimated"}[weighed], func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				chooseLowestPrefill(c, f.now, r.lane, r)
			}
		})
	}
}
