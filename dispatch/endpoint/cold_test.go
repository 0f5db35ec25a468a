package endpoint

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

var coldStart = winch.ColdStart{Duration: 3 * time.Second, Rate: 11}

// coldConfiguration is twoClasses for endpoints that are cold for some time.
func coldConfiguration() *winch.Configuration {
	configuration := twoClasses(0, 0)
	configuration.ColdStarts = map[winch.ModelID]winch.ColdStart{chat: coldStart}
	return configuration
}

// newColdCore returns a core with as many endpoints, which say nothing and have started long ago. They have many slots.
func newColdCore(policy Policy, count int) (*testCore, []winch.EndpointStatus) {
	tc := &testCore{core: newCore(winch.Host{ID: "h0", DataCentre: "a"}, policy, Settings{RampTime: time.Millisecond}, 1), now: time.Unix(1_000_000, 0)}
	statuses := versions(make([]winch.SoftwareVersion, count)...)
	for i := range statuses {
		statuses[i].StartedAt = tc.now.Add(-time.Hour)
		statuses[i].Endpoint.SlotLimit = 64
	}
	tc.configure(tc.now, coldConfiguration(), statuses)
	return tc, statuses
}

// coldState returns "cold", "warming" or "warm".
func (tc *testCore) coldState(id winch.EndpointID) string {
	switch e := tc.endpoints[id]; {
	case e.cold.cold:
		return "cold"
	case e.cold.warming:
		return "warming"
	}
	return "warm"
}

// list gives the core a list with the one endpoint.
func (tc *testCore) list(status winch.EndpointStatus) {
	status.State = winch.EndpointReady
	tc.configure(tc.now, coldConfiguration(), []winch.EndpointStatus{status})
}

// startedAgo returns the status of an endpoint that says nothing but when it has started.
func startedAgo(tc *testCore, ago time.Duration) winch.EndpointStatus {
	status := versions("")[0]
	status.StartedAt = tc.now.Add(-ago)
	return status
}

func TestEndpointIsCold(t *testing.T) {
	for _, c := range []struct {
		name   string
		status func(tc *testCore) winch.EndpointStatus
		cold   time.Duration
	}{
		{"as it says", func(tc *testCore) winch.EndpointStatus {
			status := startedAgo(tc, time.Hour)
			status.ColdStated, status.ColdUntil = true, tc.now.Add(5*time.Second)
			return status
		}, 5 * time.Second},
		{"not, as it says, although it has just started", func(tc *testCore) winch.EndpointStatus {
			status := startedAgo(tc, time.Second)
			status.ColdStated = true
			return status
		}, 0},
		{"after its start, if it says nothing", func(tc *testCore) winch.EndpointStatus { return startedAgo(tc, time.Second) }, 3 * time.Second},
		{"after it was listed, if nothing is known", func(tc *testCore) winch.EndpointStatus {
			status := startedAgo(tc, 0)
			status.StartedAt = time.Time{}
			return status
		}, 3 * time.Second},
		{"not, if it says nothing and has started long ago", func(tc *testCore) winch.EndpointStatus { return startedAgo(tc, time.Minute) }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			tc, _ := newColdCore(PolicyPrefill, 0)
			tc.list(c.status(tc))
			if c.cold == 0 {
				assert.Equal(t, tc.coldState("e0"), "warm")
				return
			}
			assert.Equal(t, tc.coldState("e0"), "cold")
			tc.advance(c.cold - 100*time.Millisecond)
			assert.Equal(t, tc.coldState("e0"), "cold")
			tc.advance(100 * time.Millisecond)
			assert.Equal(t, tc.coldState("e0"), "warming")
			tc.advance((warmSteps + 1) * warmStep)
			assert.Equal(t, tc.coldState("e0"), "warm")
		})
	}
}

func TestEndpointTurnsCold(t *testing.T) {
	t.Run("when it is listed later than others, whatever its clock says", func(t *testing.T) {
		tc, statuses := newColdCore(PolicyPrefill, 2)
		tc.advance(time.Second)
		statuses[1].StartedAt = tc.now.Add(-time.Minute)
		tc.configure(tc.now, coldConfiguration(), statuses)
		assert.Equal(t, tc.coldState("e0"), "warm")
		assert.Equal(t, tc.coldState("e1"), "cold")
	})
	t.Run("again, and the newest statement counts", func(t *testing.T) {
		tc, _ := newColdCore(PolicyPrefill, 0)
		status := startedAgo(tc, time.Hour)
		status.ColdStated = true
		for _, remaining := range []time.Duration{5 * time.Second, time.Second} {
			status.ColdUntil = tc.now.Add(remaining)
			tc.list(status)
		}
		tc.advance(time.Second)
		assert.Equal(t, tc.coldState("e0"), "warming")
		status.ColdUntil = tc.now.Add(time.Second)
		tc.list(status)
		assert.Equal(t, tc.coldState("e0"), "cold")
	})
	t.Run("not for longer than after a start, if it says nothing any more", func(t *testing.T) {
		tc, _ := newColdCore(PolicyPrefill, 0)
		status := startedAgo(tc, time.Hour)
		status.ColdStated, status.ColdUntil = true, tc.now.Add(time.Hour)
		tc.list(status)
		tc.advance(time.Second)
		status.ColdStated, status.ColdUntil = false, time.Time{}
		tc.list(status)
		tc.advance(2 * time.Second)
		tc.list(status)
		assert.Equal(t, tc.coldState("e0"), "cold")
		tc.advance(time.Second)
		assert.Equal(t, tc.coldState("e0"), "warming")
	})
	t.Run("never, if the configuration names no rate", func(t *testing.T) {
		tc, _ := newColdCore(PolicyPrefill, 0)
		status := startedAgo(tc, time.Second)
		status.ColdStated, status.ColdUntil = true, tc.now.Add(time.Minute)
		tc.configure(tc.now, twoClasses(0, 0), []winch.EndpointStatus{status})
		assert.Equal(t, tc.coldState("e0"), "warm")
		assert.Assert(t, !tc.endpoints["e0"].cold.share.Limited())
	})
	t.Run("for some time after it has come back into service", func(t *testing.T) {
		tc, statuses := newColdCore(PolicyPrefill, 1)
		statuses[0].State = winch.EndpointLeaving
		tc.advance(time.Second)
		tc.configure(tc.now, coldConfiguration(), statuses)
		tc.advance(time.Second)
		statuses[0].State = winch.EndpointReady
		tc.configure(tc.now, coldConfiguration(), statuses)
		assert.Equal(t, tc.coldState("e0"), "cold")
		tc.advance(coldKnownAfter)
		assert.Equal(t, tc.coldState("e0"), "warming")
	})
}

// turnCold makes the first endpoints of the list cold.
func turnCold(tc *testCore, statuses []winch.EndpointStatus, count int) {
	for i := range count {
		statuses[i].ColdStated, statuses[i].ColdUntil = true, tc.now.Add(10*time.Second)
	}
	tc.configure(tc.now, coldConfiguration(), statuses)
}

// TestColdEndpoint guards against requests that reach a cold endpoint beside its rate.
func TestColdEndpoint(t *testing.T) {
	for _, policy := range []Policy{PolicyWinch, PolicyPrefill, PolicyRandom, PolicyRoundRobin, PolicyLeastReported} {
		t.Run(fmt.Sprintf("gets requests within its rate, %s", policy), func(t *testing.T) {
			tc, statuses := newColdCore(policy, 1)
			turnCold(tc, statuses, 1)
			granted := 0
			for i := range 100 {
				r := tc.request(interactive, i)
				tc.advance(100 * time.Millisecond)
				if r.state == requestRunning {
					granted++
					tc.release(tc.now, r, winch.OutcomeDone)
				}
			}
			assert.Assert(t, granted > 10 && granted <= 112, "%d in 10 s", granted)
		})
	}
	t.Run("has the slots that its rate fills, and callers are told when to come back", func(t *testing.T) {
		tc, statuses := newColdCore(PolicyPrefill, 1)
		l := tc.onlyEndpoint().lanes[0]
		l.holdTime.Add(0.5, 1)
		turnCold(tc, statuses, 1)
		tc.request(interactive, 1)
		assert.Equal(t, l.slots, float64(coldConfiguration().ColdStarts[chat].Rate)*0.5)
		assert.Assert(t, l.restWait(tc.now) > 0)
		assert.Assert(t, tc.retryAfter(tc.now, l, 0) >= l.restWait(tc.now))
	})
	t.Run("is counted, with the requests that it holds back", func(t *testing.T) {
		tc, statuses := newColdCore(PolicyPrefill, 2)
		tc.request(interactive, 1)
		assert.Equal(t, tc.coldFigures(), coldFigures{})
		turnCold(tc, statuses, 2)
		figures := tc.coldFigures()
		assert.Equal(t, figures.cold, 2)
		assert.Assert(t, figures.budget > 21 && figures.budget < 23, "%g", figures.budget)
		for i := range 5 {
			tc.request(interactive, 2+i)
		}
		assert.Assert(t, tc.coldFigures().heldBack >= 3, "%d", tc.coldFigures().heldBack)
		tc.advance(10 * time.Second)
		figures = tc.coldFigures()
		assert.Assert(t, figures.cold == 0 && figures.warming == 2)
	})
	t.Run("is used when the others are loaded, for prompts with shared parts too", func(t *testing.T) {
		tc, statuses := newColdCore(PolicyPrefill, 8)
		turnCold(tc, statuses, 4)
		assert.Assert(t, !tc.request(interactive, 1).endpoint.cold.cold)
		for _, e := range tc.sortedEndpoints[4:] {
			e.prefill.others = 10 * coldCost
		}
		assert.Assert(t, tc.request(interactive, 2).endpoint.cold.cold)
		tc.advance(2 * time.Second)
		parts := []winch.PromptPart{{ID: 1, Tokens: 5000}, {ID: 99, Tokens: 10}}
		work := workOf(interactive, 3)
		work.InputTokens, work.Parts = 5010, parts
		assert.Assert(t, tc.arrive(tc.now, work, nil, &progress{}).endpoint.cold.cold)
	})
	t.Run("is not the preferred endpoint of a prompt until it warms up", func(t *testing.T) {
		tc, statuses := newColdCore(PolicyPrefill, 8)
		l := tc.endpoints["e0"].lanes[0]
		r := &request{work: winch.Work{Parts: []winch.PromptPart{{ID: 1, Tokens: 1000}, {ID: 99, Tokens: 10}}}}
		preferred := func() winch.EndpointID { return tc.preferredEndpoint(tc.now, l, r).spec.ID }
		first := preferred()
		at := slices.IndexFunc(statuses, func(status winch.EndpointStatus) bool { return status.Endpoint.ID == first })
		statuses[at].ColdStated, statuses[at].ColdUntil = true, tc.now.Add(10*time.Second)
		tc.configure(tc.now, coldConfiguration(), statuses)
		assert.Assert(t, preferred() != first)
		tc.advance(10 * time.Second)
		assert.Equal(t, tc.coldState(first), "warming")
		assert.Equal(t, preferred(), first)
	})
}

// TestColdEndpointThat guards against requests that the choice of an endpoint for new requests does not cover.
func TestColdEndpointThat(t *testing.T) {
	t.Run("names a rate as well gets the lower one", func(t *testing.T) {
		tc, statuses := newColdCore(PolicyPrefill, 1)
		turnCold(tc, statuses, 1)
		tc.names("e0", 0.5)
		tc.release(tc.now, tc.request(interactive, 1), winch.OutcomeDone)
		tc.now = tc.now.Add(time.Second)
		assertUsable(t, tc, "e0", false)
		tc.now = tc.now.Add(time.Second)
		assertUsable(t, tc, "e0", true)
	})
	t.Run("has room for a resumed stream gets it within its rate as well", func(t *testing.T) {
		tc, statuses := newColdCore(PolicyPrefill, 1)
		turnCold(tc, statuses, 1)
		tc.request(interactive, 1)
		assert.Equal(t, tc.resume(2, "").state, requestQueued)
	})
	t.Run("was unreachable is probed in turn, since it may have started again", func(t *testing.T) {
		tc, _ := newColdCore(PolicyPrefill, 1)
		hosts := make([]winch.Host, 77)
		for i := range hosts {
			hosts[i] = winch.Host{ID: winch.HostID(fmt.Sprintf("h%d", i))}
		}
		tc.setHosts(hosts, nil)
		perSecond := map[int]int{}
		for _, host := range hosts {
			tc.self = host
			tc.eject(tc.now, tc.onlyEndpoint(), "failures", true)
			perSecond[int(tc.onlyEndpoint().health.ejectedUntil.Sub(tc.now)/time.Second)]++
			tc.onlyEndpoint().health = health{}
		}
		for second, count := range perSecond {
			assert.Assert(t, count <= 11, "%d in second %d", count, second)
		}
	})
}

func TestWarmingUp(t *testing.T) {
	warming := func() *testCore {
		tc, statuses := newColdCore(PolicyPrefill, 1)
		statuses[0].ColdStated, statuses[0].ColdUntil = true, tc.now.Add(time.Second)
		tc.configure(tc.now, coldConfiguration(), statuses)
		tc.advance(time.Second)
		assert.Equal(t, tc.coldState("e0"), "warming")
		return tc
	}
	rate := func(tc *testCore) winch.RequestRate {
		all, _ := tc.onlyEndpoint().cold.share.Rate()
		return all
	}
	t.Run("raises the rate step by step", func(t *testing.T) {
		tc := warming()
		for want := coldStart.Rate; tc.coldState("e0") == "warming"; want *= warmFactor {
			assert.Equal(t, rate(tc), want)
			tc.advance(warmStep)
		}
		assert.Equal(t, rate(tc), winch.RequestRate(0))
	})
	for _, outcome := range []winch.Outcome{winch.OutcomeFailed, winch.OutcomeRejected, winch.OutcomeUnsent} {
		t.Run("begins anew after "+outcomeName(outcome), func(t *testing.T) {
			tc := warming()
			tc.advance(2 * warmStep)
			assert.Assert(t, rate(tc) > coldStart.Rate)
			tc.release(tc.now, tc.request(interactive, 1), outcome)
			tc.advance(warmStep)
			assert.Equal(t, rate(tc), coldStart.Rate)
		})
	}
	t.Run("waits while the endpoint has a queue", func(t *testing.T) {
		tc := warming()
		tc.observeLoad(tc.now, winch.LoadReport{Endpoint: "e0", AsOf: tc.now, Running: 2, Waiting: 3, State: winch.EndpointReady})
		tc.advance(2 * warmStep)
		assert.Equal(t, rate(tc), coldStart.Rate)
		tc.observeLoad(tc.now, winch.LoadReport{Endpoint: "e0", AsOf: tc.now, Running: 2, Waiting: 0, State: winch.EndpointReady})
		tc.advance(2 * warmStep)
		assert.Assert(t, rate(tc) > coldStart.Rate)
	})
}

// TestEndpointThatTurnsColdWhileItWarmsUp guards against a cold endpoint that keeps the higher rate of its slow start.
func TestEndpointThatTurnsColdWhileItWarmsUp(t *testing.T) {
	s, now := coldState{stated: true}, time.Unix(1000, 0)
	s.statedUntil = now.Add(time.Second)
	assert.Equal(t, s.advance(now, time.Time{}, coldStart), coldStart.Rate)
	for range 2 * int(warmStep/(100*time.Millisecond)) {
		now = now.Add(100 * time.Millisecond)
		s.advance(now.Add(time.Second), time.Time{}, coldStart)
	}
	assert.Assert(t, s.step > 0)
	now = now.Add(time.Second)
	s.statedUntil = now.Add(time.Second)
	assert.Equal(t, s.advance(now, time.Time{}, coldStart), coldStart.Rate)
}

// TestDemandIsExchanged guards against a column that is lost, or that breaks the messages of hosts which do not know it.
func TestDemandIsExchanged(t *testing.T) {
	stats := newStats()
	stats.endpoints["e0"] = endpointStats{Running: 1, Limit: 2}
	t.Run("not without endpoints that may turn cold", func(t *testing.T) {
		assert.Equal(t, string(encodeStats(stats)), `{"Endpoints":["e0"],"Running":[1],"Limits":[20]}`)
	})
	stats.endpoints["e1"] = endpointStats{Demand: 3.5}
	t.Run("for each endpoint", func(t *testing.T) {
		decoded, err := decodeStats(encodeStats(stats))
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded.endpoints, stats.endpoints)
		decoded.add(stats)
		assert.Equal(t, decoded.endpoints["e1"].Demand, 7.0)
	})
	t.Run("and a column that does not fit is tolerated", func(t *testing.T) {
		for _, column := range []string{`[]`, `[1]`, `[-1,-1]`, `[1,2,3]`} {
			decoded, err := decodeStats([]byte(`{"Endpoints":["e0","e1"],"Running":[1,0],"Limits":[20,0],"Demand":` + column + `}`))
			assert.NilError(t, err)
			assert.Assert(t, decoded.endpoints["e1"].Demand >= 0)
		}
	})
}
