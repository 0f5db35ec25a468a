package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// scenario leads to a violation when its guard is taken out.
type scenario struct {
	name    string
	guard   guards
	centres int
	hosts   int
	roster  time.Duration
	play    func(t *testing.T, w *world)
}

func scenarios() []scenario {
	return []scenario{
		{name: "freshness", guard: guards{freshness: true}, centres: 1, hosts: 3, play: cutHost},
		{name: "majority", guard: guards{majority: true}, centres: 1, hosts: 3, play: cutHost},
		{name: "forget", guard: guards{forget: true}, centres: 1, hosts: 3, roster: 10 * time.Second, play: cutHost},
		{name: "settled", guard: guards{settled: true}, centres: 2, hosts: 3, play: cutCentre},
		{name: "newer", guard: guards{newer: true}, centres: 1, hosts: 3, play: oldReportAfterRestart},
		{name: "echo", guard: guards{echo: true}, centres: 1, hosts: 3, play: oldReportAfterSplit},
		{name: "learners", guard: guards{learners: true}, centres: 1, hosts: 3, play: restartOfHolders},
		{name: "roster", guard: guards{roster: true}, centres: 1, hosts: 3, play: newHostAlone},
	}
}

// cutHost cuts one host off from the others and from the platform.
func cutHost(_ *testing.T, w *world) {
	w.split(1, "0-0")
	w.commit(w.at("0-1"), true)
	w.rounds(30 * time.Second)
}

// cutCentre cuts a data centre off from the other one and from the platform.
func cutCentre(_ *testing.T, w *world) {
	w.split(1, "1-0", "1-1", "1-2")
	w.commit(w.at("0-1"), true)
	w.rounds(30 * time.Second)
}

// oldReportAfterRestart lets a report arrive that a host sent before its restart.
func oldReportAfterRestart(t *testing.T, w *world) {
	w.commit(w.at("0-0"), true)
	w.rounds(20 * time.Second)
	host, hub := w.at("0-2"), w.at("0-0")
	old := host.distributor.Section().Report(host.Now())
	w.boot(host)
	assert.NilError(t, hub.distributor.Section().Collect(hub.Now(), "0-2", old))
	summary := hub.distributor.Section().Summary(hub.Now(), "0-2")
	assert.NilError(t, host.distributor.Section().Apply(host.Now(), host.Now(), "0-0", summary))
}

// oldReportAfterSplit lets a report arrive after a commit that was sent before.
func oldReportAfterSplit(t *testing.T, w *world) {
	old := w.at("0-1").distributor.Section().Report(w.at("0-1").Now())
	cutHost(t, w)
	hub := w.at("0-0")
	assert.NilError(t, hub.distributor.Section().Collect(hub.Now(), "0-1", old))
}

// restartOfHolders restarts those that hold the revision, beside one that lacks it.
func restartOfHolders(t *testing.T, w *world) {
	cutHost(t, w)
	w.platform[0] = false
	w.split(1, "0-1", "0-2")
	w.boot(w.at("0-1"))
	w.boot(w.at("0-2"))
	w.rounds(10 * time.Second)
}

// newHostAlone replaces a host by one that cannot reach the others.
func newHostAlone(_ *testing.T, w *world) {
	w.split(1, "0-1", "0-2")
	w.boot(w.at("0-0"))
	w.commit(w.at("0-0"), true)
	w.rounds(30 * time.Second)
}

func (s scenario) violation(t *testing.T, guard guards) string {
	limits := defaultLimits()
	limits.unguarded = guard
	if s.roster > 0 {
		limits.roster = s.roster
	}
	w := newWorld(t, limits, s.centres, s.hosts)
	w.rounds(5 * time.Second)
	s.play(t, w)
	return w.violation()
}

// TestGuards shows that each rule is needed: without it a host serves a revision
// below the accepted one.
func TestGuards(t *testing.T) {
	for _, s := range scenarios() {
		t.Run(s.name, func(t *testing.T) {
			assert.Equal(t, s.violation(t, guards{}), "")
			assert.Assert(t, s.violation(t, s.guard) != "")
		})
	}
}

// accepted returns the time from a commit to its acceptance.
func accepted(w *world, by winch.HostID) time.Duration {
	began, revision := w.now, w.commit(w.at(by), true)
	for w.now-began < 20*time.Minute {
		if w.log.accepted >= revision {
			return w.now - began
		}
		w.round()
		w.now += 500 * time.Millisecond
	}
	return -1
}

func assertWithin(t *testing.T, got, least, most time.Duration) {
	t.Helper()
	assert.Assert(t, got >= least && got <= most, "%v is not between %v and %v", got, least, most)
}

func TestTimeToAcceptance(t *testing.T) {
	limits := defaultLimits()
	ready := func() *world {
		w := newWorld(t, limits, 3, 3)
		w.rounds(5 * time.Second)
		return w
	}
	t.Run("all connected", func(t *testing.T) {
		assertWithin(t, accepted(ready(), "0-1"), limits.freshness, 9*time.Second)
	})
	t.Run("one host cut off", func(t *testing.T) {
		w := ready()
		w.split(1, "1-2")
		assertWithin(t, accepted(w, "0-1"), limits.freshness, 9*time.Second)
	})
	t.Run("one data centre cut off", func(t *testing.T) {
		w := ready()
		w.split(1, "2-0", "2-1", "2-2")
		assertWithin(t, accepted(w, "0-1"), limits.grace, limits.grace+limits.freshness+5*time.Second)
		assert.Equal(t, w.at("2-0").distributor.Authority(w.at("2-0").Now()), winch.AuthorityOpen)
	})
	t.Run("one data centre without the platform learns from peers", func(t *testing.T) {
		w := ready()
		w.hubless = "dc2"
		assertWithin(t, accepted(w, "0-1"), limits.freshness, 12*time.Second)
		assert.Equal(t, w.at("2-2").distributor.Current().Revision, winch.Revision(1))
	})
}

func TestPlatformAway(t *testing.T) {
	w := newWorld(t, defaultLimits(), 3, 3)
	w.commit(w.at("0-0"), true)
	w.rounds(15 * time.Second)
	w.platform[0] = false
	t.Run("serving goes on", func(t *testing.T) {
		w.rounds(time.Hour)
		for _, s := range w.hosts {
			assertKey(t, s.distributor, s.Now(), "1", nil)
			assert.Assert(t, s.distributor.state.fresh(s.Now()))
		}
	})
	t.Run("a data centre that is cut off too has the grace", func(t *testing.T) {
		w.split(1, "2-0", "2-1", "2-2")
		w.rounds(defaultGrace)
		assertKey(t, w.at("2-1").distributor, w.at("2-1").Now(), "1", nil)
		assert.Assert(t, !w.at("2-1").distributor.state.fresh(w.at("2-1").Now()))
		w.rounds(10 * time.Second)
		assertKey(t, w.at("2-1").distributor, w.at("2-1").Now(), "1", winch.ErrIsolated)
	})
	t.Run("the others go on", func(t *testing.T) {
		for _, id := range []winch.HostID{"0-0", "0-2", "1-1"} {
			assert.Assert(t, w.at(id).distributor.state.fresh(w.at(id).Now()))
		}
	})
	t.Run("it comes back", func(t *testing.T) {
		w.split(0, "2-0", "2-1", "2-2")
		w.rounds(3 * time.Second)
		assertKey(t, w.at("2-1").distributor, w.at("2-1").Now(), "1", nil)
	})
}

// TestCrashWhilePlatformAway takes the majority from a data centre of two hosts.
func TestCrashWhilePlatformAway(t *testing.T) {
	w := newWorld(t, defaultLimits(), 3, 2)
	w.commit(w.at("0-0"), true)
	w.rounds(15 * time.Second)
	w.platform[0] = false
	w.split(5, "2-0")
	w.rounds(time.Hour)
	for _, id := range []winch.HostID{"0-0", "0-1", "1-1", "2-1"} {
		assert.Assert(t, w.at(id).distributor.state.fresh(w.at(id).Now()), "host %s", id)
	}
}

func TestStrictKeys(t *testing.T) {
	w := newWorld(t, defaultLimits(), 2, 1)
	w.commit(w.at("0-0"), true)
	strict := keyNote("strict")
	strict.Added.Organisations[0].StrictKeys = true
	_, err := w.log.Commit(t.Context(), nil, strict)
	assert.NilError(t, err)
	w.rounds(5 * time.Second)
	w.split(1, "1-0")
	w.rounds(10 * time.Second)
	s := w.at("1-0")
	assertKey(t, s.distributor, s.Now(), "1", nil)
	assertKey(t, s.distributor, s.Now(), "strict", winch.ErrIsolated)
}
