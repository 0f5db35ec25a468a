package registry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

func coldStatus(id winch.EndpointID, until time.Time) winch.EndpointStatus {
	cold := status(id, winch.EndpointReady)
	cold.ColdStated, cold.ColdUntil = true, until
	return cold
}

func assertUnchanged(t *testing.T, changed <-chan struct{}, want bool) {
	t.Helper()
	select {
	case <-changed:
		assert.Assert(t, !want, "a change was reported")
	default:
		assert.Assert(t, want, "no change was reported")
	}
}

// TestColdEndsOfReadings guards against a list that changes with each reading because the remaining time counts down.
func TestColdEndsOfReadings(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	end := c.now.Add(3 * time.Second)
	l := &lister{statuses: []winch.EndpointStatus{coldStatus("a", end), coldStatus("b", time.Time{})}}
	f := newFollower(t, l, c)
	f.Step(t.Context())
	hash := f.hash
	read := func(until time.Time) <-chan struct{} {
		changed := f.Changed()
		c.now = c.now.Add(600 * time.Millisecond)
		l.statuses[0].ColdUntil = until
		f.Step(t.Context())
		return changed
	}
	t.Run("small differences are no change, and do not add up", func(t *testing.T) {
		for i := range 3 {
			assertUnchanged(t, read(end.Add(time.Duration(i)*200*time.Millisecond)), true)
			assert.Equal(t, f.hash, hash)
			assert.Equal(t, f.Endpoints()[0].ColdUntil, end)
		}
		assertUnchanged(t, read(end.Add(coldTolerance)), false)
	})
	t.Run("another end is a change", func(t *testing.T) {
		hash = f.hash
		assertUnchanged(t, read(end.Add(5*time.Second)), false)
		assert.Assert(t, f.hash != hash)
	})
	t.Run("a shorter time takes precedence if it is newer", func(t *testing.T) {
		assertUnchanged(t, read(end.Add(time.Second)), false)
		assert.Equal(t, f.Endpoints()[0].ColdUntil, end.Add(time.Second))
	})
	t.Run("without a cold endpoint the hash is the one of hosts that know of none", func(t *testing.T) {
		assertUnchanged(t, read(time.Time{}), false)
		assert.Equal(t, f.hash, hashOf(f.Endpoints(), nil))
	})
}

// TestColdEndsAreRelayed guards against a host that takes a cold endpoint for a warm one, since the hash of the list stays the same.
func TestColdEndsAreRelayed(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	hubList, hostList := &lister{statuses: []winch.EndpointStatus{coldStatus("a", time.Time{})}}, &lister{}
	hub, host := newFollower(t, hubList, c), newFollower(t, hostList, c)
	relay := func() {
		hub.Step(t.Context())
		c.now = c.now.Add(100 * time.Millisecond)
		assert.NilError(t, hub.Section().Collect(c.now, "host", host.Section().Report(c.now)))
		assert.NilError(t, host.Section().Apply(c.now, c.now.Add(-50*time.Millisecond), "hub", hub.Section().Summary(c.now, "host")))
	}
	relay()
	assert.Assert(t, host.Endpoints()[0].ColdStated && host.Endpoints()[0].ColdUntil.IsZero())
	for _, end := range []time.Duration{3 * time.Second, 8 * time.Second, 2 * time.Second, 0} {
		t.Run(end.String(), func(t *testing.T) {
			hubList.statuses[0].ColdUntil = time.Time{}
			if end > 0 {
				hubList.statuses[0].ColdUntil = c.now.Add(end)
			}
			relay()
			assert.Equal(t, host.Endpoints()[0].ColdUntil, hubList.statuses[0].ColdUntil)
			assert.Equal(t, host.hash, hub.hash)
			changed := host.Changed()
			relay()
			assertUnchanged(t, changed, true)
			wire := string(hub.Section().Summary(c.now, "host"))
			assert.Assert(t, len(wire) < 100, "the list is sent once: %s", wire)
		})
	}
	assert.Equal(t, hostList.calls, 0)
}
