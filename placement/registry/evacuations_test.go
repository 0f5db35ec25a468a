package registry

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// evacuationLister is a winch.EvacuationLister that returns what the test sets.
type evacuationLister struct {
	evacuations winch.Evacuations
	err         error
	calls       int
}

func (l *evacuationLister) ListEvacuations(context.Context) (winch.Evacuations, error) {
	l.calls++
	return l.evacuations, l.err
}

// request changes which data centres are evacuated, as an operator does.
func (l *evacuationLister) request(centres ...winch.DataCentreID) {
	l.evacuations.DataCentres = centres
	l.evacuations.Version++
}

// evacuationTest is a hub and a host that read a store with an endpoint in each of the data centres a, b and c.
type evacuationTest struct {
	*testing.T
	clock          *clock
	list           *lister
	hubEvacuations *evacuationLister
	evacuations    *evacuationLister
	hub, host      *Follower
}

func newEvacuationTest(t *testing.T) *evacuationTest {
	t.Helper()
	e := &evacuationTest{
		T: t, clock: &clock{now: time.Unix(1000, 0)}, list: &lister{}, hubEvacuations: &evacuationLister{}, evacuations: &evacuationLister{},
	}
	for _, centre := range []winch.DataCentreID{"a", "b", "c"} {
		listed := status(winch.EndpointID("i-"+centre), winch.EndpointReady)
		listed.Endpoint.DataCentre = centre
		e.list.statuses = append(e.list.statuses, listed)
	}
	e.hubEvacuations.request()
	e.evacuations.request()
	e.hub, e.host = e.follower(e.hubEvacuations), e.follower(e.evacuations)
	return e
}

func (e *evacuationTest) follower(evacuations winch.EvacuationLister) *Follower {
	e.Helper()
	f, err := New(Options{Lister: e.list, Evacuations: evacuations, Clock: e.clock, Logger: hclog.NewNullLogger(), MaxRelayedAge: time.Second})
	assert.NilError(e, err)
	return f
}

// read lets time pass until the next reading of the follower that includes the evacuations.
func (e *evacuationTest) read(f *Follower) {
	e.Helper()
	e.clock.now = e.clock.now.Add(1200 * time.Millisecond)
	f.Step(e.Context())
}

// relay sends the hub's list to the host, in as many exchanges as that takes.
func (e *evacuationTest) relay() {
	e.Helper()
	for range 2 {
		assert.NilError(e, e.hub.Section().Collect(e.clock.now, "host", e.host.Section().Report(e.clock.now)))
		assert.NilError(e, e.host.Section().Apply(e.clock.now, e.clock.now, "hub", e.hub.Section().Summary(e.clock.now, "host")))
	}
}

// assertEvacuated checks which data centres the follower knows as evacuated, and that their endpoints and no others are marked.
func (e *evacuationTest) assertEvacuated(f *Follower, want ...winch.DataCentreID) {
	e.Helper()
	assert.Equal(e, fmt.Sprint(f.Evacuated()), fmt.Sprint(want))
	for _, each := range f.Endpoints() {
		assert.Equal(e, each.Evacuated, slices.Contains(want, each.Endpoint.DataCentre), string(each.Endpoint.ID))
	}
}

func TestEvacuationsAreReadWithTheList(t *testing.T) {
	e := newEvacuationTest(t)
	e.hub.Step(t.Context())
	e.assertEvacuated(e.hub)
	t.Run("one", func(t *testing.T) {
		changed := e.hub.Changed()
		e.hubEvacuations.request("b")
		e.read(e.hub)
		<-changed
		e.assertEvacuated(e.hub, "b")
	})
	t.Run("all", func(t *testing.T) {
		e.hubEvacuations.request("a", "b", "c")
		e.read(e.hub)
		e.assertEvacuated(e.hub, "a", "b", "c")
	})
	t.Run("an endpoint that registers during one", func(t *testing.T) {
		e.hubEvacuations.request("b")
		e.read(e.hub)
		e.list.statuses = append(e.list.statuses, status("i-new", winch.EndpointReady))
		e.list.statuses[3].Endpoint.DataCentre = "b"
		e.read(e.hub)
		e.assertEvacuated(e.hub, "b")
	})
	t.Run("withdrawn", func(t *testing.T) {
		e.hubEvacuations.request()
		e.read(e.hub)
		e.assertEvacuated(e.hub)
	})
}

func TestEvacuationsAreReadLessOftenThanTheList(t *testing.T) {
	// Each reading is a call to the store, which costs.
	e := newEvacuationTest(t)
	for range 20 {
		e.hub.Step(t.Context())
		e.clock.now = e.clock.now.Add(defaultPollEvery + 5*time.Millisecond)
	}
	assert.Equal(t, e.list.calls, 20)
	assert.Equal(t, e.hubEvacuations.calls, 10)
}

func TestDeploymentWithoutEvacuationsSendsWhatItSentBefore(t *testing.T) {
	// Messages of 77 hosts must not grow, nor change their hash, for what the deployment does not use.
	e := newEvacuationTest(t)
	f := e.follower(nil)
	f.Step(t.Context())
	summary := string(f.Section().Summary(e.clock.now, "host"))
	assert.Assert(t, !strings.Contains(summary, "Evacua") && !strings.Contains(summary, "Version"), summary)
	e.hub.Step(t.Context())
	assert.Equal(t, f.hash, e.hub.hash, "the hash is that of the list while nothing is evacuated")
	e.assertEvacuated(f)
}

func TestHostLearnsOfEvacuationsFromTheHub(t *testing.T) {
	e := newEvacuationTest(t)
	e.hub.Step(t.Context())
	e.relay()
	e.hubEvacuations.request("a", "c")
	e.read(e.hub)
	t.Run("requested", func(t *testing.T) {
		e.relay()
		e.assertEvacuated(e.host, "a", "c")
	})
	t.Run("the host needs no read of its own", func(t *testing.T) {
		e.host.Step(t.Context())
		assert.Equal(t, e.evacuations.calls, 0)
	})
	t.Run("unchanged, the message is short", func(t *testing.T) {
		assert.Assert(t, len(e.hub.Section().Summary(e.clock.now, "host")) < 100)
	})
	t.Run("a host that starts during one knows of it with its first list", func(t *testing.T) {
		started := e.follower(e.evacuations)
		assert.NilError(t, started.Section().Apply(e.clock.now, e.clock.now, "hub", e.hub.Section().Summary(e.clock.now, "new")))
		assert.Equal(t, len(started.Endpoints()), 3)
		e.assertEvacuated(started, "a", "c")
	})
	t.Run("withdrawn", func(t *testing.T) {
		e.hubEvacuations.request()
		e.read(e.hub)
		e.relay()
		e.assertEvacuated(e.host)
	})
}

func TestFirstListIsNotUsedWithoutTheEvacuations(t *testing.T) {
	// A host that has endpoints, but does not know which are evacuated, would send to those.
	t.Run("read by the host", func(t *testing.T) {
		e := newEvacuationTest(t)
		e.evacuations.request("a")
		e.evacuations.err = winch.ErrUnavailable
		e.host.Step(t.Context())
		assert.Equal(t, len(e.host.Endpoints()), 0)
		e.evacuations.err = nil
		e.host.Step(t.Context())
		e.assertEvacuated(e.host, "a")
	})
	t.Run("relayed by a hub that does not know them", func(t *testing.T) {
		e := newEvacuationTest(t)
		e.hub = e.follower(nil)
		e.hub.Step(t.Context())
		e.relay()
		assert.Equal(t, len(e.host.Endpoints()), 0)
		e.evacuations.request("a")
		e.host.Step(t.Context())
		e.assertEvacuated(e.host, "a")
		t.Run("which does not replace the host's own reads", func(t *testing.T) {
			e.evacuations.request()
			e.clock.now = e.clock.now.Add(1200 * time.Millisecond)
			e.hub.Step(t.Context())
			e.relay()
			e.assertEvacuated(e.host, "a")
			e.host.Step(t.Context())
			e.assertEvacuated(e.host)
		})
	})
}

func TestEvacuationsHoldWhileTheStoreIsUnavailable(t *testing.T) {
	e := newEvacuationTest(t)
	e.hubEvacuations.request("b")
	e.hub.Step(t.Context())
	e.relay()
	t.Run("for all calls", func(t *testing.T) {
		e.list.err, e.hubEvacuations.err, e.evacuations.err = winch.ErrUnavailable, winch.ErrUnavailable, winch.ErrUnavailable
		for range 20 {
			e.read(e.hub)
			e.read(e.host)
			e.relay()
		}
		e.assertEvacuated(e.hub, "b")
		e.assertEvacuated(e.host, "b")
	})
	t.Run("for that of the evacuations: the list is used, and read again at once", func(t *testing.T) {
		e.list.err = nil
		e.list.statuses[0].State = winch.EndpointLeaving
		e.read(e.hub)
		assert.Equal(t, e.hub.Endpoints()[0].State, winch.EndpointLeaving)
		e.assertEvacuated(e.hub, "b")
		assert.Assert(t, e.hub.evacuationsDue(e.clock.now.Add(defaultPollEvery)))
	})
	t.Run("a host does not rely on a hub that cannot read them", func(t *testing.T) {
		e.relay()
		e.evacuations.err = nil
		e.evacuations.evacuations.Version = e.hubEvacuations.evacuations.Version
		e.evacuations.request("b", "c")
		e.host.Step(t.Context())
		e.assertEvacuated(e.host, "b", "c")
	})
	t.Run("the endpoints that expired in the outage come back evacuated", func(t *testing.T) {
		e.hubEvacuations.err, e.list.err = nil, winch.ErrUnavailable
		e.read(e.hub)
		e.list.err, e.list.statuses = nil, e.list.statuses[:1]
		e.clock.now = e.clock.now.Add(4 * time.Second)
		e.read(e.hub)
		assert.Equal(t, len(e.hub.Endpoints()), 3)
		e.assertEvacuated(e.hub, "b")
	})
}

func TestOlderEvacuationsDoNotReplaceNewerOnes(t *testing.T) {
	t.Run("withdrawn and requested again while the first still propagates", func(t *testing.T) {
		e := newEvacuationTest(t)
		e.hubEvacuations.request("a")
		e.hub.Step(t.Context())
		requested := e.hub.Section().Summary(e.clock.now, "host")
		e.hubEvacuations.request()
		e.read(e.hub)
		withdrawn := e.hub.Section().Summary(e.clock.now, "host")
		withdrawnAt := e.clock.now
		e.hubEvacuations.request("a")
		e.read(e.hub)
		e.relay()
		e.assertEvacuated(e.host, "a")
		// Messages whose answers took long arrive last.
		assert.NilError(t, e.host.Section().Apply(e.clock.now, withdrawnAt, "hub", withdrawn))
		e.assertEvacuated(e.host, "a")
		assert.NilError(t, e.host.Section().Apply(e.clock.now, withdrawnAt.Add(-1200*time.Millisecond), "hub", requested))
		e.assertEvacuated(e.host, "a")
	})
	t.Run("a newer list with older evacuations", func(t *testing.T) {
		e := newEvacuationTest(t)
		e.hub.Step(t.Context())
		e.clock.now = e.clock.now.Add(100 * time.Millisecond)
		e.evacuations.request("a")
		e.host.Step(t.Context())
		e.clock.now = e.clock.now.Add(500 * time.Millisecond)
		e.list.statuses[1].State = winch.EndpointLeaving
		e.hub.Step(t.Context())
		e.relay()
		assert.Equal(t, e.host.Endpoints()[1].State, winch.EndpointLeaving)
		e.assertEvacuated(e.host, "a")
	})
	t.Run("an older list with newer evacuations", func(t *testing.T) {
		e := newEvacuationTest(t)
		e.host.Step(t.Context())
		e.clock.now = e.clock.now.Add(10 * time.Millisecond)
		e.hubEvacuations.request("a")
		e.hub.Step(t.Context())
		e.clock.now = e.clock.now.Add(300 * time.Millisecond)
		e.list.statuses[1].State = winch.EndpointLeaving
		e.host.evacuations.at, e.host.readAt = e.host.evacuations.at.Add(-time.Second), e.clock.now
		e.relay()
		e.assertEvacuated(e.host, "a")
	})
	t.Run("a read that lasted longer than a later one", func(t *testing.T) {
		at := time.Unix(1000, 0)
		reading := func(after time.Duration, version winch.Version) evacuationReading {
			return evacuationReading{at: at.Add(after), Evacuations: winch.Evacuations{Version: version}}
		}
		assert.Assert(t, reading(0, 9).supersedes(reading(500*time.Millisecond, 8)))
		assert.Assert(t, !reading(500*time.Millisecond, 8).supersedes(reading(0, 9)))
		assert.Equal(t, reading(0, 9).after(reading(time.Second, 8)).at, at.Add(time.Second))
	})
	t.Run("but a store that was restored goes back", func(t *testing.T) {
		at := time.Unix(1000, 0)
		current := evacuationReading{at: at, Evacuations: winch.Evacuations{Version: 9}}
		restored := evacuationReading{at: at.Add(evacuationOrderWindow), Evacuations: winch.Evacuations{Version: 3}}
		assert.Assert(t, restored.supersedes(current))
	})
}

func TestMalformedEvacuationsAreRejected(t *testing.T) {
	e := newEvacuationTest(t)
	many := `"c"` + strings.Repeat(`,"c"`, maxEvacuated)
	for _, text := range []string{
		`{"Hash":7,"AgeMS":1,"EvacuationsAgeMS":1,"Evacuated":[""]}`,
		`{"Hash":7,"AgeMS":1,"EvacuationsAgeMS":1,"Evacuated":["` + strings.Repeat("c", maxCentreLength+1) + `"]}`,
		`{"Hash":7,"AgeMS":1,"EvacuationsAgeMS":1,"Evacuated":[` + many + `]}`,
		`{"Hash":7,"AgeMS":1,"EvacuationsAgeMS":-1}`,
		`{"Hash":7,"AgeMS":1,"Evacuated":["a"]}`,
	} {
		assert.ErrorIs(t, e.host.Section().Apply(e.clock.now, e.clock.now, "hub", []byte(text)), winch.ErrInvalid, text[:20])
	}
	t.Run("a list whose hash does not cover them is not used", func(t *testing.T) {
		e.hub.Step(t.Context())
		summary := strings.Replace(string(e.hub.Section().Summary(e.clock.now, "host")), `"Endpoints"`, `"Evacuated":["a"],"Endpoints"`, 1)
		assert.NilError(t, e.host.Section().Apply(e.clock.now, e.clock.now, "hub", []byte(summary)))
		assert.Equal(t, len(e.host.Endpoints()), 0)
	})
}

// slowEvacuations is a lister whose reads take longer than the first timeout.
type slowEvacuations struct {
	evacuationLister
	takes time.Duration
}

func (l *slowEvacuations) ListEvacuations(ctx context.Context) (winch.Evacuations, error) {
	select {
	case <-ctx.Done():
		return winch.Evacuations{}, ctx.Err()
	case <-time.After(l.takes):
		return l.evacuationLister.ListEvacuations(ctx)
	}
}

func TestEvacuationsOfASlowStoreAreRead(t *testing.T) {
	// One call after the other would take longer than a read may.
	synctest.Test(t, func(t *testing.T) {
		const takes = 1200 * time.Millisecond
		l := &slowStore{lister: lister{statuses: []winch.EndpointStatus{status("a", winch.EndpointReady)}}, takes: takes}
		e := &slowEvacuations{takes: takes}
		e.request("a")
		f, err := New(Options{Lister: l, Evacuations: e, Clock: wallClock{}, Logger: hclog.NewNullLogger(), MaxRelayedAge: time.Second})
		assert.NilError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_ = f.Run(ctx)
		assert.Equal(t, len(f.Endpoints()), 1)
		assert.Assert(t, f.Endpoints()[0].Evacuated)
	})
}

func TestReadingThatEndsAfterTheSettingChangesNothing(t *testing.T) {
	e := newEvacuationTest(t)
	e.hub.Step(t.Context())
	e.hub.SetEvacuations(nil)
	late := evacuationReading{at: e.clock.now, Evacuations: winch.Evacuations{DataCentres: []winch.DataCentreID{"a"}, Version: 99}}
	e.hub.update(reading{at: e.clock.now, received: e.clock.now, from: ownReading, evacuations: late}, slices.Clone(e.list.statuses))
	e.assertEvacuated(e.hub)
}

func TestEvacuationsEndWithTheSetting(t *testing.T) {
	e := newEvacuationTest(t)
	e.hubEvacuations.request("a")
	e.hub.Step(t.Context())
	e.hub.SetEvacuations(nil)
	e.assertEvacuated(e.hub)
	calls := e.hubEvacuations.calls
	e.read(e.hub)
	assert.Equal(t, e.hubEvacuations.calls, calls)
	e.hub.SetEvacuations(e.hubEvacuations)
	e.read(e.hub)
	e.assertEvacuated(e.hub, "a")
}
