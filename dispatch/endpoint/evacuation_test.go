package endpoint

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

var centres = []winch.DataCentreID{"a", "b", "c"}

// evacuationCore is a core in data centre a, whose home it is, with endpoints in the data centres a, b and c.
type evacuationCore struct {
	*testCore
	statuses []winch.EndpointStatus
}

func newEvacuationCore(policy Policy, perCentre, slots int, software ...winch.SoftwareVersion) *evacuationCore {
	tc := &testCore{
		core: newCore(winch.Host{ID: "h0", DataCentre: "all"}, policy, Settings{RampTime: time.Second, RetryAfterMax: 5 * time.Second}, 1),
		now:  time.Unix(1_000_000, 0),
	}
	tc.home = "a"
	ec := &evacuationCore{testCore: tc}
	for i, centre := range centres {
		for k := range perCentre {
			spec := winch.Endpoint{
				ID: winch.EndpointID(fmt.Sprintf("%s-%d", centre, k)), DataCentre: centre, Kind: winch.EndpointEngine, Models: []winch.ModelID{chat}, SlotLimit: slots,
			}
			if len(software) > 0 {
				spec.Software = software[i]
			}
			ec.statuses = append(ec.statuses, winch.EndpointStatus{State: winch.EndpointReady, Endpoint: spec})
		}
	}
	ec.evacuate()
	tc.advance(2 * time.Second)
	return ec
}

// evacuate applies a list in which these data centres and no others are evacuated.
func (ec *evacuationCore) evacuate(evacuated ...winch.DataCentreID) {
	for i := range ec.statuses {
		ec.statuses[i].Evacuated = false
		for _, centre := range evacuated {
			ec.statuses[i].Evacuated = ec.statuses[i].Evacuated || ec.statuses[i].Endpoint.DataCentre == centre
		}
	}
	ec.configure(ec.now, twoClasses(0, 0), ec.statuses)
}

// runningIn counts the requests at the endpoints of the data centre.
func (ec *evacuationCore) runningIn(centre winch.DataCentreID) int {
	running := 0
	for _, e := range ec.sortedEndpoints {
		if e.spec.DataCentre == centre {
			running += e.running
		}
	}
	return running
}

// fillWith sends so many streams and lets them bring their first token.
func (ec *evacuationCore) fillWith(count int) []*request {
	streams := make([]*request, 0, count)
	for i := range count {
		streams = append(streams, ec.request(interactive, i))
	}
	ec.bringOutput(streams)
	return streams
}

func (ec *evacuationCore) bringOutput(streams []*request) {
	for _, r := range streams {
		r.progress.first.CompareAndSwap(0, ec.now.UnixNano())
		r.progress.last.Store(ec.now.UnixNano())
		r.progress.tokens.Add(1)
		if r.endpoint != nil {
			r.endpoint.lastHeard.Store(ec.now.UnixNano())
		}
	}
}

// advanceStreams lets time pass in which the streams bring output.
func (ec *evacuationCore) advanceStreams(streams []*request, length time.Duration) {
	for end := ec.now.Add(length); ec.now.Before(end); {
		ec.now = ec.now.Add(100 * time.Millisecond)
		ec.bringOutput(streams)
		ec.tick(ec.now)
	}
}

func TestEvacuatedEndpointsGetNoRequests(t *testing.T) {
	for _, policy := range []Policy{PolicyWinch, PolicyPrefill, PolicyRandom, PolicyLeastReported, PolicyRoundRobin} {
		t.Run(string(policy), func(t *testing.T) {
			ec := newEvacuationCore(policy, 3, 4)
			ec.evacuate("a")
			for i := range 24 {
				work := workOf(interactive, i)
				work.Parts = []winch.PromptPart{{ID: winch.PrefixHash(i % 5), Tokens: 5}, {ID: winch.PrefixHash(100 + i), Tokens: 5}}
				r := ec.arrive(ec.now, work, nil, &progress{})
				assert.Equal(t, r.state, requestRunning)
				assert.Assert(t, !r.endpoint.evacuated, "the home of the host does not matter")
			}
			waits := ec.request(interactive, 100)
			assert.Equal(t, waits.state, requestQueued)
			ec.advance(time.Second)
			assert.Equal(t, waits.state, requestQueued)
			assert.Equal(t, ec.runningIn("a"), 0)
		})
	}
}

func TestEvacuatedSlotsAreNoCapacity(t *testing.T) {
	// Requests would wait for slots that they never get, and orders would leave out what is missing.
	ec := newEvacuationCore(PolicyPrefill, 3, 4)
	ec.evacuate("a", "b")
	for _, status := range ec.queues(ec.now) {
		if status.Class == interactive {
			assert.Equal(t, status.Slots, 12)
		}
	}
	assert.Equal(t, ec.freeSlots(ec.now)[group{model: chat}], 12)
}

func TestRequestsAtEvacuatedEndpointsHoldNoSlots(t *testing.T) {
	// Counted as holding slots that are left, they would make new requests seem hopeless, which are refused then.
	ec := newEvacuationCore(PolicyWinch, 2, 4)
	ec.fillWith(12)
	l := ec.lanes[laneKey{class: interactive, group: group{model: chat}}]
	l.holdTime.Add(10, 1)
	before := ec.runningIn("a")
	ec.evacuate("a")
	assert.Equal(t, l.running, 12)
	assert.Equal(t, l.holding(), 12-before)
	assert.Equal(t, ec.ownStats(ec.now, false).lanes[l.key].Running, 12-before)
	assert.Equal(t, ec.predictedWait(ec.now, l, nil), time.Duration(0))
}

func TestPromptsAtEvacuatedEndpointsAreNotAheadOfOthers(t *testing.T) {
	// Counted as pending at the endpoints that are left, they would hold requests back.
	ec := newEvacuationCore(PolicyPrefill, 2, 4)
	for i := range 12 {
		ec.request(interactive, i)
	}
	l := ec.lanes[laneKey{class: interactive, group: group{model: chat}}]
	before, there := l.pendingAhead(), winch.Tokens(10*ec.runningIn("a"))
	assert.Assert(t, there > 0)
	ec.evacuate("a")
	assert.Equal(t, l.pendingAhead(), before-there)
}

func TestAllEndpointsEvacuated(t *testing.T) {
	for _, policy := range []Policy{PolicyWinch, PolicyPrefill} {
		t.Run(string(policy), func(t *testing.T) {
			ec := newEvacuationCore(policy, 1, 1)
			for i := range 3 {
				ec.request(interactive, i)
			}
			queued, bound := ec.request(interactive, 3), ec.resume(4, "")
			ec.evacuate(centres...)
			t.Run("queued requests are refused at once", func(t *testing.T) {
				assert.Equal(t, queued.state, requestInactive)
				assert.Equal(t, bound.state, requestInactive)
				assert.Equal(t, ec.lastRefusal(), winch.RefusedEvacuated)
			})
			t.Run("new ones too, with the longest retry time", func(t *testing.T) {
				assert.Equal(t, ec.request(interactive, 5).state, requestInactive)
				last := ec.effects[len(ec.effects)-1]
				assert.Equal(t, last.refusal, winch.Refusal{Reason: winch.RefusedEvacuated, RetryAfter: 5 * time.Second})
			})
			t.Run("streams that cannot go on elsewhere run to their end", func(t *testing.T) {
				ec.advance(time.Second)
				assert.Equal(t, ec.count(effectMoved), 0)
			})
		})
	}
}

func TestHostThatStartsDuringAnEvacuation(t *testing.T) {
	ec := newEvacuationCore(PolicyPrefill, 1, 1)
	started := newCore(winch.Host{ID: "h1", DataCentre: "all"}, PolicyPrefill, Settings{}, 1)
	started.home = "b"
	for i := range ec.statuses {
		ec.statuses[i].Evacuated = true
	}
	started.configure(ec.now, twoClasses(0, 0), ec.statuses)
	assert.Equal(t, started.arrive(ec.now, workOf(interactive, 1), nil, &progress{}).state, requestInactive)
	assert.Equal(t, started.effects[len(started.effects)-1].refusal.Reason, winch.RefusedEvacuated)
}

func TestEvacuationOfTheConfiguration(t *testing.T) {
	tc := newTestCore(twoClasses(1, 4))
	configuration := twoClasses(1, 4)
	configuration.Evacuations = map[winch.DataCentreID]winch.Evacuation{"a": {DataCentre: "a"}}
	tc.setHosts(nil, []winch.Host{{ID: "far", DataCentre: "b"}})
	tc.configure(tc.now, configuration, nil)
	t.Run("requests are handed over to another data centre", func(t *testing.T) {
		tc.applyRemote(tc.now, "b", remoteStats{freeSlots: map[group]int{{model: chat}: 4}})
		r := tc.request(interactive, 1)
		assert.Equal(t, r.state, requestRunning)
		assert.Equal(t, r.remote.dataCentre, winch.DataCentreID("b"))
	})
	t.Run("but not to one that is evacuated", func(t *testing.T) {
		configuration.Evacuations["b"] = winch.Evacuation{DataCentre: "b"}
		tc.configure(tc.now, configuration, nil)
		assert.Equal(t, tc.request(interactive, 2).state, requestInactive)
		assert.Equal(t, tc.lastRefusal(), winch.RefusedEvacuated)
	})
	t.Run("what another host hands over is refused", func(t *testing.T) {
		work := workOf(interactive, 3)
		work.LocalOnly = true
		assert.Equal(t, tc.arrive(tc.now, work, nil, &progress{}).state, requestInactive)
	})
}

func TestStreamsAreMovedAFewAtATime(t *testing.T) {
	// All at once, they would flood the endpoints that are left with prompts.
	t.Run("at most the rate for each endpoint left", func(t *testing.T) {
		ec := newEvacuationCore(PolicyPrefill, 4, 30)
		streams := ec.fillWith(80)
		running := ec.runningIn("a")
		assert.Assert(t, running > 10)
		ec.evacuate("a")
		ec.advanceStreams(streams, 2*time.Second)
		moved := ec.count(effectMoved)
		// Eight endpoints are left, for which the rate is 0.5 a second.
		assert.Assert(t, moved >= 7 && moved <= 9, "%d of %d", moved, running)
	})
	t.Run("of all hosts together", func(t *testing.T) {
		ec := newEvacuationCore(PolicyPrefill, 4, 30)
		var hosts []winch.Host
		for i := range 8 {
			hosts = append(hosts, winch.Host{ID: winch.HostID(fmt.Sprintf("h%d", i)), DataCentre: "all"})
		}
		ec.setHosts(hosts, nil)
		streams := ec.fillWith(80)
		ec.evacuate("a")
		ec.advanceStreams(streams, 4*time.Second)
		moved := ec.count(effectMoved)
		assert.Assert(t, moved >= 1 && moved <= 3, "%d", moved)
	})
	t.Run("not while the endpoints left have no room", func(t *testing.T) {
		ec := newEvacuationCore(PolicyPrefill, 1, 4)
		streams := ec.fillWith(12)
		ec.evacuate("a")
		ec.advanceStreams(streams, 2*time.Second)
		assert.Equal(t, ec.count(effectMoved), 0)
	})
	t.Run("not if the server keeps them", func(t *testing.T) {
		ec := newEvacuationCore(PolicyPrefill, 4, 30)
		ec.settings.KeepEvacuatedStreams = true
		streams := ec.fillWith(80)
		ec.evacuate("a")
		ec.advanceStreams(streams, 2*time.Second)
		assert.Equal(t, ec.count(effectMoved), 0)
	})
	t.Run("not if they cannot be resumed", func(t *testing.T) {
		ec := newEvacuationCore(PolicyPrefill, 1, 4)
		work := workOf(interactive, 1)
		work.NotResumable = true
		r := ec.arrive(ec.now, work, nil, &progress{})
		ec.evacuate(r.endpoint.spec.DataCentre)
		ec.advanceStreams([]*request{r}, 5*time.Second)
		assert.Equal(t, ec.count(effectMoved), 0)
	})
	t.Run("not if no endpoint of their software version is left", func(t *testing.T) {
		ec := newEvacuationCore(PolicyPrefill, 1, 4, "v1", "v2", "v2")
		streams := ec.fillWith(6)
		alone := ec.endpoints["a-0"].running
		assert.Assert(t, alone > 0)
		ec.evacuate("a")
		ec.advanceStreams(streams, 5*time.Second)
		assert.Equal(t, ec.count(effectMoved), 0)
		t.Run("also when the others have one version", func(t *testing.T) {
			l := ec.lanes[laneKey{class: interactive, group: group{model: chat}}]
			assert.Assert(t, l.mixedSoftware)
		})
	})
}

func TestLoadReturnsGraduallyAfterAnEvacuation(t *testing.T) {
	ec := newEvacuationCore(PolicyWinch, 1, 16)
	ec.evacuate("a")
	ec.advance(10 * time.Second)
	assert.Equal(t, ec.endpoints["b-0"].cap, 16)
	ec.evacuate()
	assert.Equal(t, ec.endpoints["a-0"].cap, 4)
	ec.advance(2 * time.Second)
	assert.Equal(t, ec.endpoints["a-0"].cap, 16)
	assert.Equal(t, ec.count(effectEvacuated), 1)
	assert.Equal(t, ec.count(effectEvacuationEnded), 1)
}

func TestRequestIsHeldBackIfItsEndpointIsEvacuatedAfterTheGrant(t *testing.T) {
	ec := newEvacuationCore(PolicyPrefill, 1, 4)
	r := ec.request(interactive, 1)
	assert.Assert(t, !ec.holdBack(ec.now, r))
	ec.evacuate(r.endpoint.spec.DataCentre)
	assert.Assert(t, ec.holdBack(ec.now, r))
	assert.Equal(t, ec.count(effectHeldBack), 1)
	t.Run("also if the endpoint has started again since", func(t *testing.T) {
		for i := range ec.statuses {
			ec.statuses[i].StartedAt = ec.now
		}
		ec.evacuate(r.endpoint.spec.DataCentre)
		assert.Assert(t, ec.holdBack(ec.now, r))
	})
	t.Run("its next slot is elsewhere", func(t *testing.T) {
		ec.release(ec.now, r, winch.OutcomeCancelled)
		again := ec.request(interactive, 1)
		assert.Assert(t, !again.endpoint.evacuated)
	})
	t.Run("not if the evacuation was withdrawn", func(t *testing.T) {
		ec.evacuate()
		assert.Assert(t, !ec.holdBack(ec.now, ec.request(interactive, 2)))
	})
}
