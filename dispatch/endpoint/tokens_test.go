package endpoint

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

func memoryOf(capacity winch.Tokens) map[winch.ModelID]winch.EngineProperties {
	return map[winch.ModelID]winch.EngineProperties{promptModel: {Model: promptModel, CacheCapacity: capacity}}
}

// tokenSlots is so high that memory binds first.
const tokenSlots = 400

// newTokenCore returns a core like newPrefillCore, with a class bulk beside plan. The engines have the given memory.
func newTokenCore(engines int, capacity winch.Tokens) (*core, time.Time) {
	c, now := newPrefillCore(engines, PolicyPrefill)
	configuration := *c.configuration
	configuration.Engines = memoryOf(capacity)
	configuration.Classes = map[winch.ClassID]winch.Class{
		"chat": configuration.Classes["chat"], "plan": configuration.Classes["plan"],
		"bulk": {ID: "bulk", Tier: 3, FirstTokenTarget: 1500 * time.Millisecond, Models: []winch.ModelID{promptModel}},
	}
	var statuses []winch.EndpointStatus
	for _, e := range c.sortedEndpoints {
		spec := e.spec
		spec.SlotLimit = tokenSlots
		statuses = append(statuses, winch.EndpointStatus{State: winch.EndpointReady, Endpoint: spec})
	}
	c.configure(now, &configuration, statuses)
	c.tick(now)
	return c, now
}

func (c *core) submitOutput(now time.Time, id int, class winch.ClassID, tokens, hint, maximum winch.Tokens) *request {
	return c.arrive(now, winch.Work{
		Request: winch.RequestID(fmt.Sprint(id)), Class: class, Model: promptModel, InputTokens: tokens, OutputHint: hint, OutputTokens: maximum,
		NotResumable: true, Arrived: now,
	}, nil, &progress{})
}

// TestMemoryIsFull guards against requests that an engine would preempt in the middle of their streams.
func TestMemoryIsFull(t *testing.T) {
	c, now := newTokenCore(1, 20_000)
	e := c.sortedEndpoints[0]
	first := c.submitOutput(now, 1, "plan", 9000, 500, 100_000)
	assert.Equal(t, first.state, requestRunning)
	assert.Equal(t, e.tokens.Own, winch.Tokens(9500), "the hint counts, not the maximum")
	first.progress.first.Store(now.UnixNano())
	c.readProgress(now, first)
	c.submitOutput(now, 2, "plan", 8000, 100, 0).progress.first.Store(now.UnixNano())
	c.readAllProgress(now, e)
	t.Run("a request that does not fit waits at the host", func(t *testing.T) {
		third := c.submitOutput(now, 3, "plan", 9000, 100, 0)
		assert.Equal(t, third.state, requestQueued)
		t.Run("behind more urgent ones, which may overbook", func(t *testing.T) {
			assert.Equal(t, c.submitOutput(now, 4, "chat", 5000, 100, 0).state, requestRunning)
		})
		t.Run("until there is room", func(t *testing.T) {
			c.release(now, first, winch.OutcomeDone)
			c.readAllProgress(now, e)
			assert.Equal(t, third.state, requestQueued)
			for e.running > 0 {
				c.release(now, e.tiers[len(e.tiers)-1].newest, winch.OutcomeDone)
				if third.state == requestRunning {
					break
				}
			}
			assert.Equal(t, third.state, requestRunning)
		})
	})
	t.Run("all is given back", func(t *testing.T) {
		for i := range e.tiers {
			for e.tiers[i].newest != nil {
				c.release(now, e.tiers[i].newest, winch.OutcomeCancelled)
			}
		}
		assert.Equal(t, e.tokens.Own, winch.Tokens(0))
		for _, l := range c.sortedLanes {
			assert.Equal(t, l.held, winch.Tokens(0))
		}
	})
}

// TestMemoryIsFullWithoutTheLimit shows that requests exceed the memory of an engine without the limit.
func TestMemoryIsFullWithoutTheLimit(t *testing.T) {
	c, now := newTokenCore(1, 20_000)
	c.features.tokenLimit = false
	c.configure(now, c.configuration, []winch.EndpointStatus{{State: winch.EndpointReady, Endpoint: c.sortedEndpoints[0].spec}})
	held := winch.Tokens(0)
	for i := range 8 {
		r := c.submitOutput(now, i, "plan", 9000, 0, 0)
		r.progress.first.Store(now.UnixNano())
		c.readProgress(now, r)
		if r.state == requestRunning {
			held += r.work.InputTokens
		}
	}
	assert.Assert(t, held > 3*20_000, "%d tokens at an engine of 20,000", held)
}

func TestFullEndpointIsAvoided(t *testing.T) {
	c, now := newTokenCore(2, 20_000)
	c.sortedLanes[0].partitioned, c.sortedLanes[1].partitioned = false, false
	full, free := c.sortedEndpoints[0], c.sortedEndpoints[1]
	full.tokens.Others, free.prefill.others = 19_000, 15_000
	assert.Equal(t, c.submitOutput(now, 1, "plan", 9000, 0, 0).endpoint, free)
	t.Run("a configuration without the capacity limits nothing", func(t *testing.T) {
		c, now := newTokenCore(1, 0)
		for i := range 40 {
			r := c.submitOutput(now, i, "plan", 9000, 0, 0)
			r.progress.first.Store(now.UnixNano())
			c.readProgress(now, r)
			assert.Equal(t, r.state, requestRunning)
		}
		assert.Equal(t, c.sortedEndpoints[0].tokens.Own, winch.Tokens(0))
		assert.Equal(t, c.ownStats(now, false).endpoints["e00"].Held, winch.Tokens(0))
	})
}

func TestOutputBeyondTheHintIsCounted(t *testing.T) {
	c, now := newTokenCore(1, 20_000)
	r := c.submitOutput(now, 1, "plan", 1000, 100, 0)
	r.progress.first.Store(now.UnixNano())
	for produced, want := range map[int64]winch.Tokens{50: 1100, 100: 1100} {
		r.progress.tokens.Store(produced)
		c.readProgress(now, r)
		assert.Equal(t, r.held, want)
	}
	r.progress.tokens.Store(700)
	c.readProgress(now, r)
	assert.Equal(t, r.held, winch.Tokens(1700))
	assert.Equal(t, r.endpoint.tokens.Own, winch.Tokens(1700))
}

// TestLargeRequestsWait guards against small requests of the same tier that take each room before it is large enough for another class.
func TestLargeRequestsWait(t *testing.T) {
	c, now := newTokenCore(1, 20_000)
	e := c.sortedEndpoints[0]
	e.tokens.Others = 16_000
	c.refreshTokens(now)
	assert.Equal(t, c.submitOutput(now, 1, "plan", 9000, 0, 0).state, requestQueued)
	c.refreshTokens(now)
	assert.Equal(t, c.submitOutput(now, 2, "bulk", 1000, 0, 0).state, requestQueued)
	t.Run("only while there are any", func(t *testing.T) {
		c.tick(now.Add(2 * time.Second))
		now := now.Add(time.Minute)
		c.tick(now)
		e.tokens.Others = 16_000
		c.refreshTokens(now)
		assert.Equal(t, c.submitOutput(now, 3, "bulk", 1000, 0, 0).state, requestRunning)
	})
}

func TestTokensAreTold(t *testing.T) {
	c, now := newTokenCore(2, 100_000)
	r := c.submitOutput(now, 1, "plan", 8970, 0, 0)
	id := r.endpoint.spec.ID
	stats, err := decodeStats(encodeStats(c.ownStats(now, false)))
	assert.NilError(t, err)
	assert.Equal(t, stats.endpoints[id].Held, winch.Tokens(9000), "in hundreds, rounded up")
	sum := newStats()
	sum.add(stats)
	sum.add(stats)
	other, _ := newTokenCore(2, 100_000)
	other.applySummary(now, now, "h", sum)
	assert.Equal(t, other.endpoints[id].tokens.Others, winch.Tokens(18_000))
	t.Run("of hosts of earlier versions the number of requests is known", func(t *testing.T) {
		mine := other.submitOutput(now, 2, "chat", 3000, 0, 0)
		at := mine.endpoint.spec.ID
		old, err := decodeStats([]byte(`{"Endpoints":["` + string(at) + `"],"Running":[4],"Limits":[640]}`))
		assert.NilError(t, err)
		other.applySummary(now.Add(time.Second), now.Add(time.Second), "h", old)
		assert.Equal(t, other.endpoints[at].tokens.Others, winch.Tokens(12_000))
	})
	t.Run("columns of another length are no fault", func(t *testing.T) {
		for _, held := range []string{"", `,"Held":[]`, `,"Held":[-5]`, `,"Held":[12,9223372036854775807,7]`} {
			decoded, err := decodeStats([]byte(`{"Endpoints":["a","b"],"Running":[1,1],"Limits":[10,10]` + held + `}`))
			assert.NilError(t, err)
			assert.Assert(t, decoded.endpoints["a"].Held >= 0 && decoded.endpoints["b"].Held >= 0)
		}
	})
	t.Run("use shows in the metrics", func(t *testing.T) {
		use := c.tokenUse()
		assert.Equal(t, len(use), 1)
		assert.Equal(t, use[0].capacity, winch.Tokens(200_000))
		assert.Equal(t, use[0].held, winch.Tokens(8970))
	})
}

// TestEndpointsOutsideTheAperture guards against endpoints that look empty because the hub tells nothing of them.
func TestEndpointsOutsideTheAperture(t *testing.T) {
	c, now := newTokenCore(100, 100_000)
	c.setHosts([]winch.Host{{ID: "h", DataCentre: "a"}, {ID: "i", DataCentre: "a"}, {ID: "j", DataCentre: "a"}}, nil)
	sum := newStats()
	l := c.sortedLanes[0]
	assert.Assert(t, len(l.subset) < len(l.endpoints))
	for _, e := range l.subset {
		sum.endpoints[e.spec.ID] = endpointStats{Running: 9, Held: 80_000}
	}
	c.applySummary(now, now, "i", sum)
	for _, e := range c.sortedEndpoints {
		assert.Assert(t, e.tokens.Others > 70_000, "%s: %d", e.spec.ID, e.tokens.Others)
	}
}

// memoryClasses is a load of long streams, which keep their memory for long.
var memoryClasses = []fleetClass{
	{id: "chat", tier: 1, target: 300 * time.Millisecond, deadline: 15 * time.Second, perHost: 2, own: 543, shared: 172, subjects: 300, output: 280},
	{id: "plan", tier: 3, target: 1500 * time.Millisecond, deadline: 15 * time.Second, perHost: 0.8, own: 2000, shared: 6300, subjects: 100, output: 600},
}

// runMemory simulates 60 hosts with engines of the given memory, which the configuration names or not. If affinity is not set, the capacity
// counts for the limit alone, and not for what the endpoints hold of prompts.
func runMemory(classes []fleetClass, engines int, memory winch.Tokens, length time.Duration, named, affinity bool) map[winch.ClassID]fleetCounts {
	f := newFleetOf(classes, 60, engines)
	f.hints, f.memory = rand.New(rand.NewPCG(3, 7)), memory
	if named {
		f.configuration.Engines = memoryOf(memory)
		f.each(func(c *core) {
			c.features.prefixCache = affinity
			c.configure(f.now, f.configuration, f.statuses)
		})
	}
	f.run(length)
	counts := map[winch.ClassID]fleetCounts{}
	for _, class := range classes {
		counts[class.id] = f.total(class.id, 2, 12)
	}
	return counts
}

// TestMemoryOfEngines guards against requests that are begun where there is no memory for them, and against a limit that costs where
// memory is short only at times.
func TestMemoryOfEngines(t *testing.T) {
	if testing.Short() {
		t.Skip("a simulation in one goroutine, too slow with the race detector; make test plays it")
	}
	t.Run("long streams on 30 engines with 100,000 tokens", func(t *testing.T) {
		without := runMemory(memoryClasses, 30, 100_000, 20*time.Second, false, true)
		with := runMemory(memoryClasses, 30, 100_000, 20*time.Second, true, true)
		t.Logf("without: %+v, with: %+v", without, with)
		assert.Assert(t, with["plan"].onTime > without["plan"].onTime && with["plan"].expired <= without["plan"].expired)
		assert.Assert(t, with["chat"].served >= without["chat"].served)
	})
	t.Run("long prompts on 64 engines with 100,000 tokens", func(t *testing.T) {
		without := runMemory(fleetClasses, 64, 100_000, 20*time.Second, false, true)
		with := runMemory(fleetClasses, 64, 100_000, 20*time.Second, true, true)
		t.Logf("without: %+v, with: %+v", without, with)
		for _, class := range fleetClasses {
			assert.Assert(t, 20*with[class.id].onTime >= 19*without[class.id].onTime, "%s", class.id)
		}
	})
	t.Run("a limit that is far away changes nothing", func(t *testing.T) {
		without := runMemory(memoryClasses, 30, 10_000_000, 6*time.Second, false, false)
		with := runMemory(memoryClasses, 30, 10_000_000, 6*time.Second, true, false)
		assert.Assert(t, fmt.Sprint(without) == fmt.Sprint(with), "%+v, %+v", without, with)
	})
}
