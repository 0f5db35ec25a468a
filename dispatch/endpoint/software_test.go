package endpoint

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// versions returns the status of one endpoint for each version. Endpoints have one slot.
func versions(software ...winch.SoftwareVersion) []winch.EndpointStatus {
	statuses := make([]winch.EndpointStatus, 0, len(software))
	for i, version := range software {
		statuses = append(statuses, winch.EndpointStatus{State: winch.EndpointReady, Endpoint: winch.Endpoint{
			ID: winch.EndpointID(fmt.Sprintf("e%d", i)), DataCentre: "a", Kind: winch.EndpointEngine, Models: []winch.ModelID{chat}, SlotLimit: 1, Software: version,
		}})
	}
	return statuses
}

// newVersionCore returns a core with one endpoint for each version and its list.
func newVersionCore(policy Policy, software ...winch.SoftwareVersion) (*testCore, []winch.EndpointStatus) {
	tc := &testCore{core: newCore(winch.Host{ID: "h0", DataCentre: "a"}, policy, Settings{RampTime: time.Millisecond}, 1), now: time.Unix(1_000_000, 0)}
	statuses := versions(software...)
	tc.configure(tc.now, twoClasses(0, 0), statuses)
	return tc, statuses
}

// resume requests a slot for a stream that a version began.
func (tc *testCore) resume(id int, software winch.SoftwareVersion, excluded ...winch.EndpointID) *request {
	work := workOf(interactive, id)
	work.Software, work.OutputDone, work.Excluded, work.Deadline = software, 1, excluded, tc.now.Add(time.Minute)
	return tc.arrive(tc.now, work, nil, &progress{})
}

func (tc *testCore) lastRefusal() winch.RefusalReason {
	reason := winch.RefusalReason("")
	for _, e := range tc.effects {
		if e.kind == effectRefused {
			reason = e.refusal.Reason
		}
	}
	return reason
}

func assertRunsAt(t *testing.T, r *request, id winch.EndpointID) {
	t.Helper()
	assert.Equal(t, r.state, requestRunning)
	assert.Equal(t, r.endpoint.spec.ID, id)
}

func TestResumedStreamGetsItsSoftwareVersion(t *testing.T) {
	for _, policy := range []Policy{PolicyWinch, PolicyPrefill, PolicyRandom} {
		t.Run(string(policy), func(t *testing.T) {
			tc, _ := newVersionCore(policy, "v1", "v2", "v2", "v2")
			assertRunsAt(t, tc.resume(1, "v1"), "e0")
			waits := tc.resume(2, "v1")
			assert.Equal(t, waits.state, requestQueued)
			t.Run("one that waits does not hold up others", func(t *testing.T) {
				for i := range 3 {
					assert.Equal(t, tc.request(interactive, 10+i).state, requestRunning)
				}
			})
			t.Run("one that waits does not wait behind others", func(t *testing.T) {
				for i := range 3 {
					assert.Equal(t, tc.request(interactive, 20+i).state, requestQueued)
				}
				running := tc.endpoints["e0"].tiers[0].newest
				tc.release(tc.now, running, winch.OutcomeDone)
				assertRunsAt(t, waits, "e0")
			})
		})
	}
	t.Run("outside the host's aperture", func(t *testing.T) {
		outside := 0
		for only := range 10 {
			software := make([]winch.SoftwareVersion, 200)
			for i := range software {
				software[i] = "v2"
			}
			software[only] = "v1"
			tc, _ := newVersionCore(PolicyWinch, software...)
			tc.setHosts([]winch.Host{{ID: "h0"}, {ID: "h1"}, {ID: "h2"}, {ID: "h3"}}, nil)
			r := tc.resume(1, "v1")
			assertRunsAt(t, r, winch.EndpointID(fmt.Sprintf("e%d", only)))
			if !slices.Contains(r.lane.subset, r.endpoint) {
				outside++
			}
		}
		assert.Assert(t, outside > 0)
	})
	t.Run("an endpoint that failed is tried again only if no other of the version serves", func(t *testing.T) {
		tc, _ := newVersionCore(PolicyWinch, "v1", "v1", "v2")
		assertRunsAt(t, tc.resume(1, "v1", "e0"), "e1")
		assert.Equal(t, tc.resume(2, "v1", "e0").state, requestQueued, "the other endpoint of the version is occupied")
		assertRunsAt(t, tc.resume(3, "v1", "e0", "e1"), "e0")
	})
}

func TestResumedStreamWithoutEndpointOfItsVersion(t *testing.T) {
	t.Run("waits for one that comes back", func(t *testing.T) {
		tc, statuses := newVersionCore(PolicyPrefill, "v1", "v2")
		tc.configure(tc.now, twoClasses(0, 0), statuses[1:])
		r := tc.resume(1, "v1")
		assert.Equal(t, r.state, requestQueued)
		tc.advance(time.Second)
		tc.configure(tc.now, twoClasses(0, 0), statuses)
		assertRunsAt(t, r, "e0")
	})
	t.Run("is refused when none has come back", func(t *testing.T) {
		tc, statuses := newVersionCore(PolicyPrefill, "v1", "v2")
		tc.configure(tc.now, twoClasses(0, 0), statuses[1:])
		r := tc.resume(1, "v1")
		tc.advance(softwareReturnTime)
		assert.Equal(t, r.state, requestQueued)
		tc.advance(300 * time.Millisecond)
		assert.Equal(t, r.state, requestInactive)
		assert.Equal(t, tc.lastRefusal(), winch.RefusedSoftware)
		assert.Equal(t, tc.boundQueued, 0)
	})
	t.Run("a new try of the caller waits no longer than its class allows", func(t *testing.T) {
		tc, _ := newVersionCore(PolicyWinch, "v1", "v2")
		tc.resume(1, "v1")
		work := workOf(interactive, 2)
		work.Software = "v1"
		tc.arrive(tc.now, work, nil, &progress{})
		tc.advance(3200 * time.Millisecond)
		assert.Equal(t, tc.lastRefusal(), winch.RefusedWait)
	})
	t.Run("cancelled while it waits", func(t *testing.T) {
		tc, _ := newVersionCore(PolicyWinch, "v1", "v2")
		tc.resume(1, "v1")
		r := tc.resume(2, "v1")
		assert.Assert(t, tc.cancel(tc.now, r))
		assert.Equal(t, tc.boundQueued, 0)
		tc.advance(time.Second)
		assert.Equal(t, tc.count(effectRefused), 0)
	})
	t.Run("the queue is bounded", func(t *testing.T) {
		tc, _ := newVersionCore(PolicyWinch, "v1", "v2")
		tc.resume(1, "v1")
		for i := range 101 {
			work := workOf(interactive, 10+i)
			work.Software = "v1"
			tc.arrive(tc.now, work, nil, &progress{})
		}
		assert.Equal(t, tc.boundQueued, 100)
		assert.Equal(t, tc.lastRefusal(), winch.RefusedQueueFull)
	})
}

func TestStreamThatBeganAtAnUnknownVersion(t *testing.T) {
	t.Run("is refused if there are several", func(t *testing.T) {
		tc, _ := newVersionCore(PolicyWinch, "v1", "v2")
		assert.Equal(t, tc.resume(1, "").state, requestInactive)
		assert.Equal(t, tc.lastRefusal(), winch.RefusedSoftware)
	})
	t.Run("goes on if there is one", func(t *testing.T) {
		tc, _ := newVersionCore(PolicyWinch, "v1", "v1")
		assert.Equal(t, tc.resume(1, "").state, requestRunning)
	})
	t.Run("an endpoint whose version is not known counts", func(t *testing.T) {
		tc, _ := newVersionCore(PolicyWinch, "v1", "")
		assert.Equal(t, tc.resume(1, "").state, requestInactive)
	})
}

// A restart under the same ID shows first as a lost connection, and in the list only later.
func TestVersionIsUnknownAfterALostConnection(t *testing.T) {
	for _, outcome := range []winch.Outcome{winch.OutcomeFailed, winch.OutcomeUnsent} {
		tc, statuses := newVersionCore(PolicyWinch, "v1", "v2")
		tc.listReadAt = tc.now
		e := tc.endpoints["e0"]
		tc.release(tc.now, tc.resume(1, "v1"), outcome)
		assert.Equal(t, tc.knownSoftware(tc.now, e), winch.SoftwareVersion(""))
		t.Run("while the list is old, however much time passes", func(t *testing.T) {
			assert.Equal(t, tc.knownSoftware(tc.now.Add(time.Hour), e), winch.SoftwareVersion(""))
		})
		t.Run("until the list was read late enough", func(t *testing.T) {
			tc.listReadAt = tc.now.Add(softwareSettleTime)
			assert.Equal(t, tc.knownSoftware(tc.now, e), winch.SoftwareVersion("v1"))
		})
		t.Run("until the endpoint has registered again", func(t *testing.T) {
			e.recordLostConnection(tc.now.Add(time.Minute))
			statuses[0].StartedAt, statuses[0].Endpoint.Software = time.Unix(5, 0), "v3"
			tc.configure(tc.now, twoClasses(0, 0), statuses)
			assert.Equal(t, tc.knownSoftware(tc.now, tc.endpoints["e0"]), winch.SoftwareVersion("v3"))
		})
	}
}

func TestResumableStreamsPreferEndpointsOfKnownVersions(t *testing.T) {
	chosen := func(mutate func(work *winch.Work)) winch.EndpointID {
		tc, statuses := newVersionCore(PolicyPrefill, "v1", "v2")
		// With one class no endpoint is reserved.
		configuration := twoClasses(0, 0)
		delete(configuration.Classes, background)
		tc.configure(tc.now, configuration, statuses)
		tc.listReadAt = tc.now
		tc.endpoints["e0"].recordLostConnection(tc.now)
		tc.endpoints["e1"].prefill.pending = 1000
		work := workOf(interactive, 1)
		mutate(&work)
		return tc.arrive(tc.now, work, nil, &progress{}).endpoint.spec.ID
	}
	assert.Equal(t, chosen(func(*winch.Work) {}), winch.EndpointID("e1"))
	assert.Equal(t, chosen(func(work *winch.Work) { work.NotResumable = true }), winch.EndpointID("e0"))
}

func TestOutputOnAnOlderConnectionShowsThatTheEndpointHasNotStartedAgain(t *testing.T) {
	statuses := versions("v1", "v2")
	statuses[0].Endpoint.SlotLimit = 3
	tc, _ := newVersionCore(PolicyWinch)
	tc.configure(tc.now, twoClasses(0, 0), statuses)
	tc.listReadAt = tc.now
	older, broken := tc.resume(1, "v1"), tc.resume(2, "v1")
	e := older.endpoint
	tc.now = tc.now.Add(time.Second)
	tc.release(tc.now, broken, winch.OutcomeFailed)
	output := func(delay time.Duration, tokens int64) {
		older.progress.first.CompareAndSwap(0, tc.now.UnixNano())
		older.progress.last.Store(tc.now.Add(delay).UnixNano())
		older.progress.tokens.Store(tokens)
		tc.readProgress(tc.now.Add(delay), older)
	}
	output(bufferedOutputTime, 1)
	assert.Equal(t, tc.knownSoftware(tc.now, e), winch.SoftwareVersion(""), "it may have been sent before")
	output(bufferedOutputTime+time.Millisecond, 2)
	assert.Equal(t, tc.knownSoftware(tc.now, e), winch.SoftwareVersion("v1"))
}

func TestLostConnectionsDoNotHoldUpStreamsOfTheOnlyVersion(t *testing.T) {
	tc, _ := newVersionCore(PolicyPrefill, "v1", "v1", "v1")
	tc.listReadAt = tc.now
	for _, e := range tc.sortedEndpoints {
		e.recordLostConnection(tc.now)
	}
	assert.Equal(t, tc.resume(1, "v1").state, requestRunning)
}

func TestLeavingEndpointKeepsStreamsThatCannotGoOnElsewhere(t *testing.T) {
	moved := func(software ...winch.SoftwareVersion) int {
		tc, statuses := newVersionCore(PolicyWinch, software...)
		r := tc.resume(1, software[0], "e1")
		assertRunsAt(t, r, "e0")
		statuses[0].State, statuses[0].LeavesAt = winch.EndpointLeaving, tc.now.Add(time.Second)
		tc.configure(tc.now, twoClasses(0, 0), statuses)
		tc.advance(200 * time.Millisecond)
		return tc.count(effectMoved)
	}
	assert.Equal(t, moved("v1", "v2"), 0, "no other endpoint of the version")
	assert.Equal(t, moved("v1", "v1", "v2"), 1, "another one serves")
	assert.Equal(t, moved("v1", "v1"), 1, "there is one version only")
}

func TestStreamThatCannotGoOnElsewhereIsNotPreempted(t *testing.T) {
	preempted := func(software ...winch.SoftwareVersion) int {
		tc, _ := newVersionCore(PolicyWinch, software...)
		for i := range software {
			assert.Equal(t, tc.request(background, i).state, requestRunning)
		}
		tc.tick(tc.now)
		tc.request(interactive, 100)
		tc.advance(time.Second)
		return tc.count(effectPreempted)
	}
	assert.Equal(t, preempted("v1", "v2"), 0)
	assert.Equal(t, preempted("v1", "v1"), 1)
}
