package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// scenario makes a host accept keys by a revision older than the accepted one if its guard
// is disabled. scripts/faults.sh prints the names.
type scenario struct {
	name         string
	disabled     disabledGuards
	centres      int
	hosts        int
	rosterMemory time.Duration
	run          func(t *testing.T, sim *simulation)
}

func scenarios() []scenario {
	return []scenario{
		{name: "freshness", disabled: disabledGuards{proofExpiry: true}, centres: 1, hosts: 3, run: isolateHost},
		{name: "majority", disabled: disabledGuards{majority: true}, centres: 1, hosts: 3, run: isolateHost},
		{name: "forget", disabled: disabledGuards{rosterRetention: true}, centres: 1, hosts: 3, rosterMemory: 10 * time.Second, run: isolateHost},
		{name: "settled", disabled: disabledGuards{settlement: true}, centres: 2, hosts: 3, run: isolateCentre},
		{name: "newer", disabled: disabledGuards{proofRevision: true}, centres: 1, hosts: 3, run: staleReportAfterRestart},
		{name: "echo", disabled: disabledGuards{echoedToken: true}, centres: 1, hosts: 3, run: staleReportAfterPartition},
		{name: "learners", disabled: disabledGuards{learnerExclusion: true}, centres: 1, hosts: 3, run: restartUpdatedHosts},
		{name: "roster", disabled: disabledGuards{knownRoster: true}, centres: 1, hosts: 3, run: isolatedReplacement},
	}
}

// isolateHost disconnects the hub 0-0 from the other hosts and from the platform. Only
// group 0 reaches the platform.
func isolateHost(_ *testing.T, sim *simulation) {
	sim.setGroup(1, "0-0")
	sim.commit(sim.host("0-1"), true)
	sim.runFor(30 * time.Second)
}

// isolateCentre disconnects a data centre from the other one and from the platform.
func isolateCentre(_ *testing.T, sim *simulation) {
	sim.setGroup(1, "1-0", "1-1", "1-2")
	sim.commit(sim.host("0-1"), true)
	sim.runFor(30 * time.Second)
}

// staleReportAfterRestart delivers a report that a host sent before its restart.
func staleReportAfterRestart(t *testing.T, sim *simulation) {
	sim.commit(sim.host("0-0"), true)
	sim.runFor(20 * time.Second)
	host, hub := sim.host("0-2"), sim.host("0-0")
	old := host.distributor.Section().Report(host.Now())
	sim.restart(host)
	assert.NilError(t, hub.distributor.Section().Collect(hub.Now(), "0-2", old))
	summary := hub.distributor.Section().Summary(hub.Now(), "0-2")
	assert.NilError(t, host.distributor.Section().Apply(host.Now(), host.Now(), "0-0", summary))
}

// staleReportAfterPartition delivers a report to an isolated hub that was made before
// the isolation and a commit.
func staleReportAfterPartition(t *testing.T, sim *simulation) {
	old := sim.host("0-1").distributor.Section().Report(sim.host("0-1").Now())
	isolateHost(t, sim)
	hub := sim.host("0-0")
	assert.NilError(t, hub.distributor.Section().Collect(hub.Now(), "0-1", old))
}

// restartUpdatedHosts restarts the hosts that hold the newest revision while the platform
// is unavailable, and lets them form a majority with a host that lacks the revision.
func restartUpdatedHosts(t *testing.T, sim *simulation) {
	isolateHost(t, sim)
	sim.platformReachable[0] = false
	sim.setGroup(1, "0-1", "0-2")
	sim.restart(sim.host("0-1"))
	sim.restart(sim.host("0-2"))
	sim.runFor(10 * time.Second)
}

// isolatedReplacement restarts a host that can reach the platform but not the other
// hosts, and commits a note there.
func isolatedReplacement(_ *testing.T, sim *simulation) {
	sim.setGroup(1, "0-1", "0-2")
	sim.restart(sim.host("0-0"))
	sim.commit(sim.host("0-0"), true)
	sim.runFor(30 * time.Second)
}

func (s scenario) violation(t *testing.T, disabled disabledGuards) string {
	limits := defaultLimits()
	limits.disabled = disabled
	if s.rosterMemory > 0 {
		limits.rosterMemory = s.rosterMemory
	}
	sim := newSimulation(t, limits, s.centres, s.hosts)
	sim.runFor(5 * time.Second)
	s.run(t, sim)
	return sim.violation()
}

// TestGuards checks that no host accepts keys by a revision older than the accepted one,
// and that each guard is needed for that.
func TestGuards(t *testing.T) {
	for _, s := range scenarios() {
		t.Run(s.name, func(t *testing.T) {
			assert.Equal(t, s.violation(t, disabledGuards{}), "")
			assert.Assert(t, s.violation(t, s.disabled) != "")
		})
	}
}

// timeToAcceptance commits a note and returns the time until it is accepted, or -1 if
// it is not within 20 minutes.
func timeToAcceptance(sim *simulation, by winch.HostID) time.Duration {
	began, revision := sim.now, sim.commit(sim.host(by), true)
	for sim.now-began < 20*time.Minute {
		if sim.log.accepted >= revision {
			return sim.now - began
		}
		sim.round()
		sim.now += 500 * time.Millisecond
	}
	return -1
}

func assertWithin(t *testing.T, got, minimum, maximum time.Duration) {
	t.Helper()
	assert.Assert(t, got >= minimum && got <= maximum, "%v is not between %v and %v", got, minimum, maximum)
}

func TestTimeToAcceptance(t *testing.T) {
	limits := defaultLimits()
	ready := func() *simulation {
		sim := newSimulation(t, limits, 3, 3)
		sim.runFor(5 * time.Second)
		return sim
	}
	t.Run("all connected", func(t *testing.T) {
		assertWithin(t, timeToAcceptance(ready(), "0-1"), limits.freshness, 9*time.Second)
	})
	t.Run("one host disconnected", func(t *testing.T) {
		sim := ready()
		sim.setGroup(1, "1-2")
		assertWithin(t, timeToAcceptance(sim, "0-1"), limits.freshness, 9*time.Second)
	})
	t.Run("one data centre disconnected", func(t *testing.T) {
		sim := ready()
		sim.setGroup(1, "2-0", "2-1", "2-2")
		assertWithin(t, timeToAcceptance(sim, "0-1"), limits.grace, limits.grace+limits.freshness+5*time.Second)
		assert.Equal(t, sim.host("2-0").distributor.Authority(sim.host("2-0").Now()), winch.AuthorityOpen)
	})
	t.Run("one data centre without the platform is updated by the others", func(t *testing.T) {
		sim := ready()
		sim.withoutPlatform = "dc2"
		assertWithin(t, timeToAcceptance(sim, "0-1"), limits.freshness, 12*time.Second)
		assert.Equal(t, sim.host("2-2").distributor.Current().Revision, winch.Revision(1))
	})
}

func TestPlatformUnavailable(t *testing.T) {
	sim := newSimulation(t, defaultLimits(), 3, 3)
	sim.commit(sim.host("0-0"), true)
	sim.runFor(15 * time.Second)
	sim.platformReachable[0] = false
	t.Run("all hosts keep serving", func(t *testing.T) {
		sim.runFor(time.Hour)
		for _, s := range sim.hosts {
			assertKey(t, s.distributor, s.Now(), "1", nil)
			assert.Assert(t, s.distributor.state.hasFreshProof(s.Now()))
		}
	})
	t.Run("a disconnected data centre serves for the grace", func(t *testing.T) {
		sim.setGroup(1, "2-0", "2-1", "2-2")
		sim.runFor(defaultGrace)
		assertKey(t, sim.host("2-1").distributor, sim.host("2-1").Now(), "1", nil)
		assert.Assert(t, !sim.host("2-1").distributor.state.hasFreshProof(sim.host("2-1").Now()))
		sim.runFor(10 * time.Second)
		assertKey(t, sim.host("2-1").distributor, sim.host("2-1").Now(), "1", winch.ErrIsolated)
	})
	t.Run("the others keep serving", func(t *testing.T) {
		for _, id := range []winch.HostID{"0-0", "0-2", "1-1"} {
			assert.Assert(t, sim.host(id).distributor.state.hasFreshProof(sim.host(id).Now()))
		}
	})
	t.Run("the data centre is reconnected", func(t *testing.T) {
		sim.setGroup(0, "2-0", "2-1", "2-2")
		sim.runFor(3 * time.Second)
		assertKey(t, sim.host("2-1").distributor, sim.host("2-1").Now(), "1", nil)
	})
}

// TestCrashWhilePlatformUnavailable disconnects for good, like a crash, one of the two hosts
// of a data centre, which then has no majority. Proofs from the other two data centres must be enough for it.
func TestCrashWhilePlatformUnavailable(t *testing.T) {
	sim := newSimulation(t, defaultLimits(), 3, 2)
	sim.commit(sim.host("0-0"), true)
	sim.runFor(15 * time.Second)
	sim.platformReachable[0] = false
	// A group of its own.
	sim.setGroup(5, "2-0")
	sim.runFor(time.Hour)
	for _, id := range []winch.HostID{"0-0", "0-1", "1-1", "2-1"} {
		assert.Assert(t, sim.host(id).distributor.state.hasFreshProof(sim.host(id).Now()), "host %s", id)
	}
}

func TestStrictKeys(t *testing.T) {
	sim := newSimulation(t, defaultLimits(), 2, 1)
	sim.commit(sim.host("0-0"), true)
	strict := keyNote("strict")
	strict.Added.Organisations[0].StrictKeys = true
	_, err := sim.log.Commit(t.Context(), nil, strict)
	assert.NilError(t, err)
	sim.runFor(5 * time.Second)
	sim.setGroup(1, "1-0")
	sim.runFor(10 * time.Second)
	s := sim.host("1-0")
	assertKey(t, s.distributor, s.Now(), "1", nil)
	assertKey(t, s.distributor, s.Now(), "strict", winch.ErrIsolated)
}
