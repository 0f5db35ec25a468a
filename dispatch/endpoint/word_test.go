package endpoint

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// newRestCore returns a core with one endpoint of one slot for each start time, all of one version.
func newRestCore(policy Policy, startedAt ...int64) (*testCore, []winch.EndpointStatus) {
	software := make([]winch.SoftwareVersion, len(startedAt))
	tc, statuses := newVersionCore(policy, software...)
	for i, milliseconds := range startedAt {
		statuses[i].StartedAt = time.UnixMilli(milliseconds)
	}
	tc.configure(tc.now, twoClasses(0, 0), statuses)
	return tc, statuses
}

func (tc *testCore) says(id winch.EndpointID, leaving bool, restsFor time.Duration) {
	tc.observeWord(tc.now, tc.endpoints[id].startedAt, winch.EndpointWord{Endpoint: id, Request: "r", Leaving: leaving, RestsFor: restsFor})
}

func assertUsable(t *testing.T, tc *testCore, id winch.EndpointID, want bool) {
	t.Helper()
	assert.Equal(t, tc.endpoints[id].usable(tc.now), want, string(id))
}

func TestEndpointThatSaysThatItLeaves(t *testing.T) {
	for _, policy := range []Policy{PolicyWinch, PolicyPrefill} {
		t.Run(string(policy), func(t *testing.T) {
			tc, statuses := newRestCore(policy, 1, 2)
			running := tc.request(interactive, 1)
			tc.says("e0", true, 0)
			assertUsable(t, tc, "e0", false)
			t.Run("gets no requests, although the list says that it is ready", func(t *testing.T) {
				tc.configure(tc.now, twoClasses(0, 0), statuses)
				tc.advance(5 * time.Second)
				assertUsable(t, tc, "e0", false)
				for i := range 3 {
					if r := tc.request(interactive, 10+i); r.state == requestRunning {
						assert.Equal(t, r.endpoint.spec.ID, winch.EndpointID("e1"))
					}
				}
			})
			t.Run("keeps its streams while it may", func(t *testing.T) {
				assert.Assert(t, !running.preempted || running.endpoint.spec.ID != "e0")
			})
			t.Run("a late word of an earlier run counts for nothing", func(t *testing.T) {
				tc.observeWord(tc.now, time.UnixMilli(77), winch.EndpointWord{Endpoint: "e1", Leaving: true, RestsFor: time.Minute})
				assert.Equal(t, tc.endpoints["e1"].saysLeaving, false)
				assert.Assert(t, tc.endpoints["e1"].restsUntil.IsZero())
			})
			t.Run("is used again once it has started again", func(t *testing.T) {
				statuses[0].StartedAt = time.UnixMilli(3)
				tc.configure(tc.now, twoClasses(0, 0), statuses)
				assertUsable(t, tc, "e0", true)
			})
			t.Run("is used again once its entry went and came", func(t *testing.T) {
				tc.says("e0", true, 0)
				tc.configure(tc.now, twoClasses(0, 0), statuses[1:])
				tc.configure(tc.now, twoClasses(0, 0), statuses)
				assertUsable(t, tc, "e0", true)
			})
		})
	}
}

func TestEndpointThatWantsNoRequests(t *testing.T) {
	t.Run("gets none until the time is over", func(t *testing.T) {
		tc, _ := newRestCore(PolicyPrefill, 1)
		tc.says("e0", false, 2*time.Second)
		tc.says("e0", false, time.Second)
		waits := tc.request(background, 1)
		assert.Equal(t, waits.state, requestQueued, "it is worth waiting within its class's limits")
		tc.advance(1900 * time.Millisecond)
		assert.Equal(t, waits.state, requestQueued)
		tc.advance(200 * time.Millisecond)
		assert.Equal(t, waits.state, requestRunning)
		assert.Equal(t, tc.count(effectRests), 1)
		assert.Equal(t, tc.count(effectRested), 1)
	})
	t.Run("requests go to the others meanwhile", func(t *testing.T) {
		tc, _ := newRestCore(PolicyPrefill, 1, 2)
		tc.says("e0", false, 2*time.Second)
		assertRunsAt(t, tc.request(interactive, 1), "e1")
	})
	t.Run("callers are told when the first takes requests again", func(t *testing.T) {
		tc, _ := newRestCore(PolicyPrefill, 1, 2)
		tc.says("e0", false, 8*time.Second)
		tc.says("e1", false, 12*time.Second)
		longest, shortest := time.Duration(0), time.Hour
		for i := range 50 {
			assert.Equal(t, tc.request(interactive, i).state, requestInactive)
			after := tc.effects[len(tc.effects)-1].refusal.RetryAfter
			longest, shortest = max(longest, after), min(shortest, after)
		}
		assert.Assert(t, shortest >= 8*time.Second && longest <= 10*time.Second, "%s to %s", shortest, longest)
		assert.Assert(t, longest-shortest > time.Second, "they are spread")
	})
	t.Run("its load comes back gradually", func(t *testing.T) {
		tc, statuses := newRestCore(PolicyPrefill, 1)
		tc.settings.RampTime = 4 * time.Second
		statuses[0].Endpoint.SlotLimit = 8
		tc.configure(tc.now, twoClasses(0, 0), statuses)
		tc.endpoints["e0"].limit.Value = 8
		tc.says("e0", false, time.Second)
		tc.advance(1100 * time.Millisecond)
		assert.Equal(t, tc.endpoints["e0"].cap, 2)
		tc.advance(4 * time.Second)
		assert.Equal(t, tc.endpoints["e0"].cap, 8)
	})
	t.Run("a huge time is bounded, and a new start ends it", func(t *testing.T) {
		tc, statuses := newRestCore(PolicyPrefill, 1)
		tc.says("e0", false, 1<<62)
		assert.Equal(t, tc.endpoints["e0"].restsUntil, tc.now.Add(maxRest))
		statuses[0].StartedAt = time.UnixMilli(2)
		tc.configure(tc.now, twoClasses(0, 0), statuses)
		assertUsable(t, tc, "e0", true)
	})
	t.Run("zero and negative times are none", func(t *testing.T) {
		tc, _ := newRestCore(PolicyPrefill, 1)
		tc.says("e0", false, 0)
		tc.says("e0", false, -time.Second)
		assertUsable(t, tc, "e0", true)
	})
}
