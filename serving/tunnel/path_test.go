package tunnel

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

var start = time.Unix(1000, 0)

func after(milliseconds int) time.Time {
	return start.Add(time.Duration(milliseconds) * time.Millisecond)
}

var (
	both       = plan{direct: true, tunnel: true}
	directOnly = plan{direct: true}
	tunnelOnly = plan{tunnel: true}
)

// TestPlan guards against requests that wait for a link that is cut, and against tunnels that are not needed.
func TestPlan(t *testing.T) {
	t.Run("connects directly", func(t *testing.T) {
		p := newPaths()
		assert.Equal(t, p.plan(start, "i-1"), directOnly)
		p.observeDirect(start, "i-1", true)
		assert.Equal(t, p.plan(after(10), "i-1"), directOnly)
	})
	t.Run("tries both after two failures in a row", func(t *testing.T) {
		p := newPaths()
		p.observeDirect(start, "i-1", false)
		assert.Equal(t, p.plan(after(10), "i-1"), directOnly)
		p.observeDirect(after(20), "i-1", false)
		assert.Equal(t, p.plan(after(30), "i-1"), both)
		assert.Equal(t, p.plan(after(3100), "i-1"), directOnly)
	})
	t.Run("goes on with a detour while the link flaps", func(t *testing.T) {
		p := newPaths()
		p.observeDirect(start, "i-1", false)
		p.observeTunnel(start, start, "i-1", true)
		for i, reached := range []bool{true, false, true, false, true} {
			assert.Assert(t, !p.observeDirect(after(1000*i), "i-1", reached))
		}
		assert.Equal(t, p.detours(), int64(1))
	})
	t.Run("counts failures since the last success", func(t *testing.T) {
		p := newPaths()
		for i, reached := range []bool{false, true, false} {
			p.observeDirect(after(i), "i-1", reached)
		}
		assert.Equal(t, p.plan(after(10), "i-1"), directOnly)
	})
	t.Run("uses tunnels during a detour, with a direct connection once in a while", func(t *testing.T) {
		p := newPaths()
		p.observeDirect(start, "i-1", false)
		assert.Assert(t, p.observeTunnel(start, start, "i-1", true))
		assert.Equal(t, p.plan(after(999), "i-1"), tunnelOnly)
		assert.Equal(t, p.plan(after(1000), "i-1"), both)
		assert.Equal(t, p.plan(after(1001), "i-1"), tunnelOnly)
		assert.Assert(t, !p.observeTunnel(after(1001), after(1001), "i-1", true))
		assert.Assert(t, !p.observeDirect(after(2000), "i-1", true))
		assert.Equal(t, p.plan(after(2001), "i-1"), both)
		assert.Equal(t, p.plan(after(2002), "i-1"), tunnelOnly)
		assert.Assert(t, p.observeDirect(after(3001), "i-1", true))
		assert.Equal(t, p.plan(after(3002), "i-1"), directOnly)
	})
	t.Run("begins no detour if the direct connection was slow, as on a busy host", func(t *testing.T) {
		p := newPaths()
		p.observeDirect(after(130), "i-1", true)
		assert.Assert(t, !p.observeTunnel(after(140), start, "i-1", true))
		assert.Equal(t, p.plan(after(150), "i-1"), directOnly)
	})
	t.Run("uses no tunnel to an endpoint that others do not reach either", func(t *testing.T) {
		p := newPaths()
		p.observeDirect(start, "i-1", false)
		p.observeDirect(start, "i-1", false)
		p.observeTunnel(start, start, "i-1", false)
		assert.Equal(t, p.plan(after(999), "i-1"), directOnly)
		assert.Equal(t, p.plan(after(1000), "i-1"), both)
	})
}

// TestCutOff guards against a host that waits for each of its links in turn, and against one that takes a single endpoint for all.
func TestCutOff(t *testing.T) {
	observe := func(p *paths, now time.Time, reached bool, endpoints ...winch.EndpointID) {
		for _, endpoint := range endpoints {
			p.observeDirect(now, endpoint, reached)
		}
	}
	for _, c := range []struct {
		name           string
		reached, lost  []winch.EndpointID
		milliseconds   int
		cutOff         bool
		planForAnother plan
	}{
		{name: "one endpoint is lost", lost: []winch.EndpointID{"i-1"}, planForAnother: directOnly},
		{name: "two endpoints are lost", lost: []winch.EndpointID{"i-1", "i-2"}, cutOff: true, planForAnother: both},
		{name: "as many are reached", lost: []winch.EndpointID{"i-1", "i-2"}, reached: []winch.EndpointID{"i-3", "i-4"}, planForAnother: directOnly},
		{name: "most are lost", lost: []winch.EndpointID{"i-1", "i-2"}, reached: []winch.EndpointID{"i-3"}, cutOff: true, planForAnother: both},
		{name: "it is long ago", lost: []winch.EndpointID{"i-1", "i-2"}, milliseconds: 3001, planForAnother: directOnly},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPaths()
			observe(p, start, true, c.reached...)
			observe(p, start, false, c.lost...)
			now := after(c.milliseconds)
			assert.Equal(t, p.isCutOff(now), c.cutOff)
			assert.Equal(t, p.plan(now, "another"), c.planForAnother)
		})
	}
	t.Run("a direct connection is tried once in a while to each endpoint", func(t *testing.T) {
		p := newPaths()
		observe(p, start, false, "i-1", "i-2")
		assert.Equal(t, p.plan(start, "i-3"), both)
		assert.Equal(t, p.plan(start, "i-3"), tunnelOnly)
		observe(p, after(100), true, "i-1", "i-2")
		assert.Equal(t, p.plan(after(100), "i-3"), both, "the cut may come back")
		assert.Equal(t, p.plan(after(10_001), "i-3"), directOnly)
	})
}

func TestEndpointsThatAreNotListedAreForgotten(t *testing.T) {
	p := newPaths()
	for i := range 5 {
		p.observeTunnel(start, start, winch.EndpointID(fmt.Sprintf("i-%d", i)), true)
	}
	assert.Equal(t, p.detours(), int64(5))
	p.keep(func(endpoint winch.EndpointID) bool { return endpoint == "i-3" })
	assert.Equal(t, p.detours(), int64(1))
}
