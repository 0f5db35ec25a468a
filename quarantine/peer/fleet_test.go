package peer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/quarantine"
)

const popular winch.PrefixHash = 0xcafe

// exchangeGuards lets each of the other guards exchange with the first one, which is the hub.
func exchangeGuards(t *testing.T, now time.Time, hub *Guard, others ...*Guard) {
	t.Helper()
	for _, other := range others {
		assert.NilError(t, hub.Collect(now, "other", other.Report(now)))
		assert.NilError(t, other.Apply(now, now, "hub", hub.Summary(now, "other")))
	}
}

func assertAdmits(t *testing.T, now time.Time, part winch.PrefixHash, guards ...*Guard) {
	t.Helper()
	for i, g := range guards {
		assert.Assert(t, g.Admit(now, request("r", part)), "guard %d at %s", i, now.Sub(start))
	}
}

func TestHostThatLosesItsEndpointsDoesNotHoldAPartForAllHosts(t *testing.T) {
	cutOff, _ := newGuard(t, true, winch.EndpointReady)
	hub, _ := newGuard(t, true, winch.EndpointReady)
	sound, _ := newGuard(t, true, winch.EndpointReady)
	for i := range 40 {
		at := start.Add(time.Duration(i) * 100 * time.Millisecond)
		hub.ObserveOutput(at, request(fmt.Sprintf("hub-%d", i), popular))
		sound.ObserveOutput(at, request(fmt.Sprintf("sound-%d", i), popular))
	}
	breakAttemptsWith(t, cutOff, popular)
	now := start.Add(4 * time.Second)
	exchangeGuards(t, now, hub, cutOff, sound)
	exchangeGuards(t, now.Add(500*time.Millisecond), hub, cutOff, sound)
	assertAdmits(t, now.Add(500*time.Millisecond), popular, hub, sound, cutOff)
}

func TestSimultaneousCrashesSeenByTwoHostsAccuseNobody(t *testing.T) {
	guards := []*Guard{}
	for range 2 {
		g, _ := newGuard(t, true, winch.EndpointReady)
		guards = append(guards, g)
	}
	for host, g := range guards {
		for i := range 3 {
			g.ObserveBreak(start, start.Add(-50*time.Millisecond), endpoint(i), request(fmt.Sprintf("r-%d-%d", host, i), popular))
		}
		waitForProbes(t, g)
	}
	// The message needs 200 ms, by which its ages are too small on arrival.
	message := guards[1].Report(start.Add(200 * time.Millisecond))
	assert.NilError(t, guards[0].Collect(start.Add(400*time.Millisecond), "other", message))
	later := start.Add(5 * time.Second)
	guards[0].update(func() []quarantine.Change { return guards[0].evidence.Decide(later) })
	assertAdmits(t, later, popular, guards[0])
}
