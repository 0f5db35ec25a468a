package endpoint

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/arbutuswinch/winch"
)

// testCore is a core with a manual clock.
type testCore struct {
	*core
	now time.Time
}

func newTestCore(configuration *winch.Configuration) *testCore {
	tc := &testCore{
		core: newCore(winch.Host{ID: "h0", DataCentre: "a"}, PolicyWinch, Settings{}, 1),
		now:  time.Unix(1_000_000, 0),
	}
	tc.configure(tc.now, configuration, nil)
	return tc
}

func (tc *testCore) request(class winch.ClassID, id int) *request {
	return tc.arrive(tc.now, workOf(class, id), nil, &progress{})
}

// advance moves the clock forward in steps of one tick.
func (tc *testCore) advance(length time.Duration) {
	for end := tc.now.Add(length); tc.now.Before(end); {
		tc.now = tc.now.Add(100 * time.Millisecond)
		tc.tick(tc.now)
	}
}

func (tc *testCore) count(kind effectKind) int {
	count := 0
	for _, e := range tc.effects {
		if e.kind == kind {
			count++
		}
	}
	return count
}

func (tc *testCore) onlyEndpoint() *endpoint { return tc.sortedEndpoints[0] }

func TestLeaving(t *testing.T) {
	tc := newTestCore(twoClasses(2, 4))
	first := tc.sortedEndpoints[0].spec
	var streams []*request
	for i := range 4 {
		streams = append(streams, tc.request(interactive, i))
	}
	status := winch.EndpointStatus{Endpoint: first, State: winch.EndpointLeaving, LeavesAt: tc.now.Add(8 * time.Second)}
	tc.configure(tc.now, tc.configuration, []winch.EndpointStatus{status})
	t.Run("sends no new requests to a leaving endpoint", func(t *testing.T) {
		for i := range 2 {
			assert.Equal(t, tc.request(interactive, 10+i).endpoint.spec.ID, tc.sortedEndpoints[1].spec.ID)
		}
	})
	t.Run("does not move its streams until it is about to leave", func(t *testing.T) {
		tc.advance(time.Second)
		assert.Equal(t, tc.count(effectMoved), 0)
	})
	t.Run("moves each stream once when it is about to leave", func(t *testing.T) {
		for _, r := range streams {
			r.progress.first.Store(tc.now.UnixNano())
		}
		running := tc.sortedEndpoints[0].running
		assert.Assert(t, running > 0)
		for range 50 {
			tc.now = tc.now.Add(100 * time.Millisecond)
			for _, e := range tc.sortedEndpoints {
				e.lastHeard.Store(tc.now.UnixNano())
			}
			tc.tick(tc.now)
		}
		assert.Equal(t, tc.count(effectMoved), running)
	})
}

func TestReportedLeaving(t *testing.T) {
	tc := newTestCore(twoClasses(1, 4))
	r := tc.request(interactive, 1)
	report := func(state winch.EndpointState) {
		tc.now = tc.now.Add(time.Millisecond)
		tc.observeLoad(tc.now, winch.LoadReport{Endpoint: tc.onlyEndpoint().spec.ID, AsOf: tc.now, State: state})
	}
	report(winch.EndpointLeaving)
	t.Run("persists when the configuration changes", func(t *testing.T) {
		tc.configure(tc.now, tc.configuration, nil)
		assert.Equal(t, tc.request(interactive, 2).state, requestQueued)
		assert.Equal(t, tc.count(effectLeaving), 1)
	})
	t.Run("moves streams that are still running after a short notice", func(t *testing.T) {
		assert.Assert(t, !r.preempted)
		tc.advance(1100 * time.Millisecond)
		assert.Assert(t, r.preempted)
	})
	t.Run("ends when the endpoint reports that it is ready", func(t *testing.T) {
		tc.release(tc.now, r, winch.OutcomeCancelled)
		report(winch.EndpointReady)
		assert.Equal(t, tc.count(effectReturned), 1)
		tc.advance(100 * time.Millisecond)
		assert.Equal(t, tc.onlyEndpoint().running, 1)
	})
}

func TestRamp(t *testing.T) {
	tc := newTestCore(twoClasses(1, 16))
	tc.advance(11 * time.Second)
	added := winch.Endpoint{ID: "new", DataCentre: "a", Kind: winch.EndpointEngine, Models: []winch.ModelID{chat}, SlotLimit: 16}
	tc.configure(tc.now, tc.configuration, []winch.EndpointStatus{{Endpoint: added, State: winch.EndpointReady}})
	t.Run("starts a new endpoint with part of its slots", func(t *testing.T) { assert.Equal(t, tc.endpoints["new"].cap, 4) })
	t.Run("raises its slots gradually", func(t *testing.T) {
		tc.advance(6 * time.Second)
		assert.Assert(t, tc.endpoints["new"].cap > 8 && tc.endpoints["new"].cap < 12)
		tc.advance(5 * time.Second)
		assert.Equal(t, tc.endpoints["new"].cap, 16)
	})
}

func TestAperture(t *testing.T) {
	for _, hosts := range []int{3, 7, 44} {
		t.Run(fmt.Sprintf("%d hosts use all endpoints evenly", hosts), func(t *testing.T) {
			uses := make([]int, 400)
			for rank := range hosts {
				for _, place := range aperture(400, rank, hosts, 200) {
					uses[place]++
				}
			}
			least, most := 1000, 0
			for _, count := range uses {
				least, most = min(least, count), max(most, count)
			}
			assert.Assert(t, least > 0 && most-least <= 2, "from %d to %d", least, most)
		})
	}
	t.Run("uses all endpoints if there are few", func(t *testing.T) { assert.Equal(t, len(aperture(5, 1, 3, 64)), 5) })
}

func TestPrefix(t *testing.T) {
	tc := newTestCore(twoClasses(8, 16))
	prefixed := func(id int) *request {
		work := workOf(interactive, id)
		work.Prefix, work.InputTokens = 42, 500
		return tc.arrive(tc.now, work, nil, nil)
	}
	cached := prefixed(0).endpoint
	t.Run("prefers the endpoint that has the prefix while its load allows", func(t *testing.T) {
		for i := range 3 {
			assert.Equal(t, prefixed(i).endpoint, cached)
		}
	})
	t.Run("uses other endpoints when it is loaded", func(t *testing.T) {
		for i := range 40 {
			prefixed(i)
		}
		assert.Assert(t, cached.running < 16, "%d", cached.running)
	})
	t.Run("follows cache events", func(t *testing.T) {
		tc := newTestCore(twoClasses(8, 16))
		tc.observeCache(winch.CacheEvent{Endpoint: "engine-005", Prefix: 7})
		work := workOf(interactive, 1)
		work.Prefix, work.InputTokens = 7, 500
		assert.Equal(t, tc.arrive(tc.now, work, nil, nil).endpoint.spec.ID, winch.EndpointID("engine-005"))
		tc.observeCache(winch.CacheEvent{Endpoint: "engine-005", Prefix: 7, Evicted: true})
		assert.Equal(t, len(tc.prefixes), 0)
	})
}

func TestCheapSupply(t *testing.T) {
	configuration := twoClasses(4, 4)
	for _, id := range []winch.EndpointID{"engine-000", "engine-001", "engine-002"} {
		spec := configuration.Endpoints[id]
		spec.Supply = winch.SupplyCheap
		configuration.Endpoints[id] = spec
	}
	tc := newTestCore(configuration)
	t.Run("lower tiers use cheap endpoints first", func(t *testing.T) {
		assert.Equal(t, tc.request(background, 1).endpoint.spec.Supply, winch.SupplyCheap)
	})
	t.Run("the highest tier uses them while steady ones could take over", func(t *testing.T) {
		cheap := 0
		for i := range 8 {
			if tc.request(interactive, i).endpoint.cheap {
				cheap++
			}
			tc.refresh(tc.now)
		}
		assert.Equal(t, cheap, 4)
	})
}

func TestLongWork(t *testing.T) {
	tc := newTestCore(twoClasses(1, 8))
	for i := range 8 {
		work, p := workOf(background, i), &progress{}
		work.InputTokens = 10_000
		tc.arrive(tc.now, work, nil, p)
		t.Run("waits until the previous prompt has been processed", func(t *testing.T) {
			assert.Assert(t, tc.onlyEndpoint().lowerTierPrefill <= work.InputTokens)
		})
		p.first.Store(tc.now.UnixNano())
		tc.readAllProgress(tc.now, tc.onlyEndpoint())
		tc.fillAll(tc.now)
	}
	t.Run("is limited to its share of the slots", func(t *testing.T) { assert.Equal(t, tc.onlyEndpoint().running, 4) })
	t.Run("leaves room for short work", func(t *testing.T) {
		assert.Equal(t, tc.request(interactive, 20).state, requestRunning)
	})
}

func TestHandOver(t *testing.T) {
	tc := newTestCore(twoClasses(1, 1))
	tc.setHosts([]winch.Host{{ID: "h0", DataCentre: "a"}}, []winch.Host{{ID: "far", DataCentre: "b", PeerAddress: "127.0.0.1:9"}})
	tc.lanes[laneKey{class: interactive, group: group{model: chat}}].holdTime.Add(0.5, 1)
	applyFreeSlots := func() { tc.applyRemote(tc.now, "b", remoteStats{freeSlots: map[group]int{{model: chat}: 1}}) }
	tc.request(interactive, 1)
	t.Run("queues when no other data centre has capacity", func(t *testing.T) {
		assert.Equal(t, tc.request(interactive, 2).state, requestQueued)
	})
	tc.now = tc.now.Add(time.Millisecond)
	applyFreeSlots()
	t.Run("does not hand over local work", func(t *testing.T) {
		work := workOf(interactive, 3)
		work.LocalOnly = true
		assert.Assert(t, tc.arrive(tc.now, work, nil, nil).remote == nil)
	})
	t.Run("hands over as many requests as there is capacity for", func(t *testing.T) {
		r := tc.request(interactive, 4)
		assert.Assert(t, r.remote != nil)
		assert.Assert(t, tc.request(interactive, 5).remote == nil)
		tc.release(tc.now, r, winch.OutcomeUnsent)
	})
	t.Run("counts lower-tier requests that could be preempted as capacity", func(t *testing.T) {
		tc.now = tc.now.Add(time.Second + remoteBackoff)
		applyDigest := func(movable, queued int) {
			tc.now = tc.now.Add(time.Millisecond)
			tc.applyRemote(tc.now, "b", remoteStats{lanes: map[laneKey]laneStats{
				{class: background, group: group{model: chat}}: {Movable: movable}, {class: interactive, group: group{model: chat}}: {Queued: queued},
			}})
		}
		applyDigest(2, 1)
		r := tc.request(interactive, 7)
		assert.Assert(t, r.remote != nil)
		assert.Assert(t, tc.request(interactive, 8).remote == nil)
		applyDigest(2, 2)
		assert.Assert(t, tc.request(interactive, 9).remote == nil)
		tc.release(tc.now, r, winch.OutcomeUnsent)
	})
	t.Run("pauses after a failure", func(t *testing.T) {
		tc.now = tc.now.Add(time.Millisecond)
		applyFreeSlots()
		assert.Assert(t, tc.request(interactive, 6).remote == nil)
	})
}

// TestCoreInvariants checks counters, heaps and limits of the core under random events.
func TestCoreInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tc := newTestCore(twoClasses(rapid.IntRange(1, 4).Draw(t, "endpoints"), 3))
		open := map[*request]bool{}
		next := 0
		pick := func(state requestState) *request {
			for _, l := range tc.sortedLanes {
				if state == requestQueued && l.oldest != nil {
					return l.oldest
				}
			}
			for _, e := range tc.sortedEndpoints {
				for i := range e.tiers {
					if state == requestRunning && e.tiers[i].newest != nil {
						return e.tiers[i].newest
					}
				}
			}
			return nil
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				next++
				work := workOf(rapid.SampledFrom([]winch.ClassID{interactive, background}).Draw(t, "class"), next)
				work.Organisation = winch.OrganisationID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"))
				work.OutputDone = winch.Tokens(rapid.IntRange(0, 1).Draw(t, "done"))
				open[tc.arrive(tc.now, work, next, &progress{})] = true
			},
			"release": func(t *rapid.T) {
				if r := pick(requestRunning); r != nil {
					tc.release(tc.now, r, winch.Outcome(rapid.IntRange(0, 4).Draw(t, "outcome")))
				}
			},
			"cancel": func(*rapid.T) {
				if r := pick(requestQueued); r != nil {
					tc.cancel(tc.now, r)
				}
			},
			"tick": func(t *rapid.T) {
				tc.now = tc.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "pause")) * time.Millisecond)
				tc.tick(tc.now)
			},
			"": func(t *rapid.T) { tc.checkInvariants(t, open) },
		})
	})
}

func (tc *testCore) checkInvariants(t *rapid.T, open map[*request]bool) {
	queued, running := map[*lane]int{}, map[*endpoint]int{}
	for r := range open {
		switch r.state {
		case requestQueued:
			queued[r.lane]++
			if r.heapIndex < 0 || tc.expiry[r.heapIndex] != r {
				t.Fatalf("request %s is queued without an expiry", r.work.Request)
			}
		case requestRunning:
			running[r.endpoint]++
		}
	}
	for _, l := range tc.sortedLanes {
		if l.queued != queued[l] || l.running < 0 || l.preemptedRunning < 0 || l.movingRunning < 0 || l.floorRunning < 0 {
			t.Fatalf("lane %v: queued %d of %d, running %d, preempting %d, moving %d", l.key, l.queued, queued[l], l.running, l.preemptedRunning, l.movingRunning)
		}
		for i := 1; i < len(l.queueHeap); i++ {
			if l.heapLess(i, (i-1)/2) {
				t.Fatalf("lane %v: heap of accounts is out of order", l.key)
			}
		}
	}
	for _, e := range tc.sortedEndpoints {
		for _, list := range e.tiers {
			if list.movable < 0 || list.movable > list.count {
				t.Fatalf("endpoint %s tier %d: %d of %d movable", e.spec.ID, list.tier, list.movable, list.count)
			}
		}
		if e.running != running[e] || e.running > e.spec.SlotLimit {
			t.Fatalf("endpoint %s runs %d of %d, limit %d", e.spec.ID, e.running, running[e], e.spec.SlotLimit)
		}
	}
	for i := 1; i < len(tc.expiry); i++ {
		if tc.expiry.less(i, (i-1)/2) {
			t.Fatalf("heap of expiries is out of order")
		}
	}
	tc.effects = tc.effects[:0]
}
