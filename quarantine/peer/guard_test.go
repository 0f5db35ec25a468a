package peer

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/quarantine"
)

var start = time.Unix(1000, 0)

// fakeDependencies is a membership of one host, the list of endpoints, the prober and the clock of a guard.
type fakeDependencies struct {
	winch.Membership
	endpoints []winch.EndpointStatus
	refuses   bool
	probes    atomic.Int64
}

func (f *fakeDependencies) Self() winch.Host { return winch.Host{ID: "h"} }

func (f *fakeDependencies) Candidate(time.Time, winch.Duty, winch.DataCentreID) bool { return true }

func (f *fakeDependencies) RelaysReports(time.Time) bool { return false }

func (f *fakeDependencies) Rank(time.Time, winch.Duty, winch.DataCentreID) int { return 0 }

func (f *fakeDependencies) Endpoints() []winch.EndpointStatus { return f.endpoints }

func (f *fakeDependencies) ReadAt() time.Time        { return time.Time{} }
func (f *fakeDependencies) Changed() <-chan struct{} { return nil }

func (f *fakeDependencies) Refuses(context.Context, string) bool {
	f.probes.Add(1)
	return f.refuses
}

func (f *fakeDependencies) Now() time.Time { return start.Add(time.Second) }

func newGuard(t *testing.T, refuses bool, state winch.EndpointState) (*Guard, *fakeDependencies) {
	t.Helper()
	f := &fakeDependencies{refuses: refuses}
	for i := range 5 {
		f.endpoints = append(f.endpoints, winch.EndpointStatus{Endpoint: endpoint(i), State: state})
	}
	g, err := New(Options{Membership: f, Endpoints: f, Prober: f, Clock: f, Logger: hclog.NewNullLogger()})
	assert.NilError(t, err)
	return g, f
}

func endpoint(number int) winch.Endpoint {
	return winch.Endpoint{ID: winch.EndpointID(fmt.Sprintf("e%d", number)), Address: "127.0.0.1:1"}
}

func request(id string, parts ...winch.PrefixHash) *winch.ForwardRequest {
	r := &winch.ForwardRequest{ID: winch.RequestID(id)}
	for _, part := range append(parts, 999) {
		r.Parts = append(r.Parts, winch.PromptPart{ID: part, Tokens: 10})
	}
	return r
}

const deadly winch.PrefixHash = 0xdead

// breakAttempts breaks an attempt with the deadly part at each endpoint, one second after the other, and waits for the probes.
func breakAttempts(t *testing.T, g *Guard) {
	t.Helper()
	breakAttemptsWith(t, g, deadly)
}

func breakAttemptsWith(t *testing.T, g *Guard, part winch.PrefixHash) {
	t.Helper()
	for i := range 4 {
		at := start.Add(time.Duration(i) * time.Second)
		g.ObserveBreak(at, at.Add(-100*time.Millisecond), endpoint(i), request(fmt.Sprintf("r%d", i), part))
	}
	waitForProbes(t, g)
}

func waitForProbes(t *testing.T, g *Guard) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		g.mu.Lock()
		defer g.mu.Unlock()
		if len(g.waiting) == 0 {
			return poll.Success()
		}
		return poll.Continue("endpoints are probed")
	}, poll.WithDelay(5*time.Millisecond))
}

func TestGuardHoldsPartsOnlyForCrashes(t *testing.T) {
	for name, c := range map[string]struct {
		refuses bool
		state   winch.EndpointState
		held    bool
	}{
		"endpoints that crashed":               {refuses: true, state: winch.EndpointReady, held: true},
		"answers or links that were cut":       {refuses: false, state: winch.EndpointReady, held: false},
		"endpoints that left as they had said": {refuses: true, state: winch.EndpointLeaving, held: false},
	} {
		t.Run(name, func(t *testing.T) {
			g, _ := newGuard(t, c.refuses, c.state)
			breakAttempts(t, g)
			now := start.Add(5 * time.Second)
			assert.Equal(t, !g.Admit(now, request("r", deadly)), c.held)
			assert.Assert(t, g.Admit(now, request("r", 1)))
			assert.Assert(t, g.Admit(now, request("r")), "a part that only one request has")
		})
	}
}

func TestGuardProbesEachCrashOnce(t *testing.T) {
	g, f := newGuard(t, true, winch.EndpointReady)
	g.mu.Lock()
	g.waiting["e0"] = []winch.EndpointCrash{{Request: "probed"}}
	g.mu.Unlock()
	for i := range 1000 {
		g.ObserveBreak(start, start, endpoint(0), request(fmt.Sprint(i), deadly))
	}
	assert.Equal(t, f.probes.Load(), int64(0))
	g.mu.Lock()
	defer g.mu.Unlock()
	assert.Equal(t, len(g.waiting["e0"]), maxWaitingPerEndpoint)
}

func TestPolicy(t *testing.T) {
	g, _ := newGuard(t, true, winch.EndpointReady)
	breakAttempts(t, g)
	now := start.Add(5 * time.Second)
	for name, c := range map[string]struct {
		policy  Policy
		admits  bool
		retries bool
	}{
		"default":  {Policy{}, false, true},
		"exempt":   {Policy{Exempt: []winch.PrefixHash{deadly}}, true, true},
		"disabled": {Policy{Disabled: true}, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			g.SetPolicy(c.policy)
			assert.Equal(t, g.Admit(now, request("r", deadly)), c.admits)
			assert.Equal(t, g.MayRetry(request("r", deadly)), c.retries)
		})
	}
}

func TestHostLearnsFromMessages(t *testing.T) {
	seen, _ := newGuard(t, true, winch.EndpointReady)
	breakAttempts(t, seen)
	told, _ := newGuard(t, true, winch.EndpointReady)
	now := start.Add(5 * time.Second)
	assert.Assert(t, told.Report(now) == nil, "nothing is sent without a crash")
	assert.NilError(t, told.Collect(now, "h2", seen.Report(now)))
	assert.Assert(t, !told.Admit(now, request("r", deadly)))
	assert.Equal(t, len(told.Holds()), 1)
	assert.Equal(t, told.Holds()[0].Part, deadly)

	told.ObserveOutput(now, request("r", deadly))
	assert.NilError(t, seen.Apply(now, now, "h2", told.Summary(now, "h")))
	assert.Assert(t, seen.Admit(now, request("r", deadly)))
}

func TestMalformedMessages(t *testing.T) {
	for _, message := range []string{
		"{", `{"Crashes":[{"Request":""}]}`, `{"Crashes":[{"Request":"r","Parts":["xyz"]}]}`, `{"Outputs":[{"Part":"-1"}]}`, `{"Holds":[{"Part":""}]}`,
	} {
		g, _ := newGuard(t, true, winch.EndpointReady)
		assert.ErrorIs(t, g.Apply(start, start, "h", []byte(message)), winch.ErrInvalid, "%s", message)
	}
}

func FuzzDecodeState(f *testing.F) {
	f.Add([]byte(`{"Crashes":[{"Request":"r","Endpoint":"e","Parts":["a"],"SentAge":2,"Age":1}],"Outputs":[{"Part":"a","Age":1}],"Holds":[{"Part":"b","CrashAge":1,"Left":-1,"Term":3}],"Explained":[{"Endpoint":"e","Age":1}],"Refuted":[{"Request":"r","Age":1}]}`))
	f.Add([]byte(`{"Crashes":[{"Request":"r","Parts":["a"],"Started":7}],"Holds":[{"Part":"b","Grounds":[{"Request":"r","Endpoint":"e"}]}]}`))
	f.Fuzz(func(t *testing.T, message []byte) {
		received, err := decodeState(start, message)
		if err != nil {
			assert.ErrorIs(t, err, winch.ErrInvalid)
			return
		}
		evidence := quarantine.New(quarantine.Settings{})
		evidence.Merge(start, received)
		_, err = decodeState(start, encodeState(start, evidence.State()))
		assert.NilError(t, err)
	})
}
