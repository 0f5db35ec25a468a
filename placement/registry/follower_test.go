package registry

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// lister is a winch.EndpointLister that returns a list set by the test.
type lister struct {
	statuses []winch.EndpointStatus
	err      error
	calls    int
}

func (l *lister) ListEndpoints(context.Context, time.Time) ([]winch.EndpointStatus, error) {
	l.calls++
	return append([]winch.EndpointStatus{}, l.statuses...), l.err
}

type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func status(id winch.EndpointID, state winch.EndpointState) winch.EndpointStatus {
	return winch.EndpointStatus{State: state, Endpoint: winch.Endpoint{
		ID: id, DataCentre: "a", Kind: winch.EndpointEngine, Address: "10.1.0.9:80", Models: []winch.ModelID{"pool"},
		Supply: winch.SupplyCheap, SlotLimit: 64,
	}}
}

func newFollower(t *testing.T, l *lister, c *clock) *Follower {
	t.Helper()
	f, err := New(Options{Lister: l, Clock: c, Logger: hclog.NewNullLogger(), MaxRelayedAge: time.Second})
	assert.NilError(t, err)
	return f
}

func assertStates(t *testing.T, f *Follower, want ...winch.EndpointState) {
	t.Helper()
	var got []winch.EndpointState
	for _, each := range f.Endpoints() {
		got = append(got, each.State)
	}
	assert.DeepEqual(t, got, want)
}

func TestFollower(t *testing.T) {
	l, c := &lister{}, &clock{now: time.Unix(1000, 0)}
	f := newFollower(t, l, c)
	assert.Assert(t, f.OrderedEndpoints("a").Current() == nil, "nothing was read yet")
	l.statuses = []winch.EndpointStatus{status("b", winch.EndpointReady), status("a", winch.EndpointReady)}
	changed := f.Changed()
	f.Step(t.Context())
	<-changed
	assertStates(t, f, winch.EndpointReady, winch.EndpointReady)
	t.Run("the last list is used while none can be read", func(t *testing.T) {
		l.err = winch.ErrUnavailable
		f.Step(t.Context())
		assertStates(t, f, winch.EndpointReady, winch.EndpointReady)
		l.err = nil
	})
	t.Run("an endpoint that starts to leave", func(t *testing.T) {
		l.statuses[0].State, l.statuses[0].LeavesAt = winch.EndpointLeaving, c.now.Add(2*time.Second)
		f.Step(t.Context())
		assertStates(t, f, winch.EndpointReady, winch.EndpointLeaving)
	})
	t.Run("a small difference in the leave time is no change", func(t *testing.T) {
		changed := f.Changed()
		l.statuses[0].LeavesAt = l.statuses[0].LeavesAt.Add(100 * time.Millisecond)
		f.Step(t.Context())
		select {
		case <-changed:
			t.Fatal("Changed reported a change")
		default:
		}
	})
	t.Run("as ordered endpoints", func(t *testing.T) {
		ordered := f.OrderedEndpoints("a").Current()
		assert.Equal(t, len(ordered), 2)
		assert.Equal(t, ordered[0].Pool, winch.ScalingPool("pool", "a", winch.SupplyCheap))
		assert.Equal(t, len(f.OrderedEndpoints("b").Current()), 0)
	})
	t.Run("endpoints whose entries expired in an outage have time to register again", func(t *testing.T) {
		whole := l.statuses
		l.err = winch.ErrUnavailable
		f.Step(t.Context())
		c.now = c.now.Add(4 * time.Second)
		l.err, l.statuses = nil, whole[:1]
		f.Step(t.Context())
		assertStates(t, f, winch.EndpointReady, winch.EndpointLeaving)
		c.now = c.now.Add(time.Second)
		f.Step(t.Context())
		assertStates(t, f, winch.EndpointReady, winch.EndpointLeaving)
		c.now = c.now.Add(time.Second)
		f.Step(t.Context())
		assert.Equal(t, len(f.Endpoints()), 1, "an endpoint that is still missing is removed")
		l.statuses = whole
		f.Step(t.Context())
	})
	t.Run("an entry that was removed", func(t *testing.T) {
		l.statuses = l.statuses[1:]
		f.Step(t.Context())
		assertStates(t, f, winch.EndpointReady)
	})
}

func TestRelay(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	leaving := status("b", winch.EndpointLeaving)
	leaving.LeavesAt, leaving.StartedAt = c.now.Add(3*time.Second), time.UnixMilli(5)
	hubList, hostList := &lister{statuses: []winch.EndpointStatus{status("a", winch.EndpointReady), leaving}}, &lister{err: winch.ErrUnavailable}
	hub, host := newFollower(t, hubList, c), newFollower(t, hostList, c)
	exchange := func() []byte {
		assert.NilError(t, hub.Section().Collect(c.now, "host", host.Section().Report(c.now)))
		summary := hub.Section().Summary(c.now, "host")
		assert.NilError(t, host.Section().Apply(c.now, c.now, "hub", summary))
		return summary
	}
	hub.Step(t.Context())
	t.Run("the host uses the hub's list unchanged", func(t *testing.T) {
		host.Section().Report(c.now)
		summary := hub.Section().Summary(c.now, "host")
		assert.NilError(t, host.Section().Apply(c.now, c.now, "hub", summary))
		assert.DeepEqual(t, host.Endpoints(), hub.Endpoints())
	})
	t.Run("the list is sent only once", func(t *testing.T) {
		exchange()
		// Without the list the summary is short.
		assert.Assert(t, len(exchange()) < 60)
	})
	t.Run("a recent list from the hub replaces a read", func(t *testing.T) {
		c.now = c.now.Add(500 * time.Millisecond)
		host.Step(t.Context())
		assert.Equal(t, hostList.calls, 0)
		c.now = c.now.Add(600 * time.Millisecond)
		host.Step(t.Context())
		assert.Equal(t, hostList.calls, 1)
	})
	t.Run("an older list does not replace a newer one", func(t *testing.T) {
		hostList.err, hostList.statuses = nil, []winch.EndpointStatus{status("c", winch.EndpointReady)}
		host.Step(t.Context())
		exchange()
		assertStates(t, host, winch.EndpointReady)
	})
	t.Run("endpoints in their grace time at the hub are not sent to others", func(t *testing.T) {
		hubList.err = winch.ErrUnavailable
		hub.Step(t.Context())
		hubList.err = nil
		c.now = c.now.Add(4 * time.Second)
		hubList.statuses = []winch.EndpointStatus{status("a", winch.EndpointReady)}
		hub.Step(t.Context())
		assertStates(t, hub, winch.EndpointReady, winch.EndpointLeaving)
		hostList.statuses = hubList.statuses
		// The host has had no outage, so that it has no grace time itself.
		host.readAt = c.now.Add(-100 * time.Millisecond)
		exchange()
		assertStates(t, host, winch.EndpointReady)
	})
	t.Run("a change of the software version alone is relayed", func(t *testing.T) {
		changed := status("a", winch.EndpointReady)
		changed.Endpoint.Software = "v2"
		c.now = c.now.Add(4 * time.Second)
		hubList.statuses = []winch.EndpointStatus{changed}
		hub.Step(t.Context())
		exchange()
		exchange()
		assert.Equal(t, host.Endpoints()[0].Endpoint.Software, winch.SoftwareVersion("v2"))
	})
	t.Run("the list of a host that does not know of versions is not used", func(t *testing.T) {
		// Its hash does not cover the versions. The receiver reads the list itself.
		summary := []byte(`{"Hash":77,"AgeMS":1,"Endpoints":[{"ID":"a","DataCentre":"a","Kind":"Engine","Address":"10.1.0.9:80","Models":["pool"],"Supply":"Cheap","SlotLimit":64,"State":"Ready"}]}`)
		c.now = c.now.Add(time.Second)
		assert.NilError(t, host.Section().Apply(c.now, c.now, "hub", summary))
		assert.Equal(t, host.Endpoints()[0].Endpoint.Software, winch.SoftwareVersion("v2"))
	})
	t.Run("malformed messages are rejected", func(t *testing.T) {
		assert.ErrorIs(t, host.Section().Apply(c.now, c.now, "hub", []byte("{")), winch.ErrInvalid)
		assert.ErrorIs(t, hub.Section().Collect(c.now, "host", []byte("{")), winch.ErrInvalid)
	})
}

func TestHostThatReadsInStepWithTheHubUsesTheHubsList(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	hubList, hostList := &lister{statuses: []winch.EndpointStatus{status("a", winch.EndpointReady)}}, &lister{statuses: []winch.EndpointStatus{status("a", winch.EndpointReady)}}
	hub, host := newFollower(t, hubList, c), newFollower(t, hostList, c)
	for range 10 {
		hub.Step(t.Context())
		c.now = c.now.Add(5 * time.Millisecond)
		host.Step(t.Context())
		c.now = c.now.Add(300 * time.Millisecond)
		assert.NilError(t, hub.Section().Collect(c.now, "host", host.Section().Report(c.now)))
		assert.NilError(t, host.Section().Apply(c.now, c.now, "hub", hub.Section().Summary(c.now, "host")))
		c.now = c.now.Add(295 * time.Millisecond)
	}
	assert.Equal(t, hostList.calls, 1)
}
