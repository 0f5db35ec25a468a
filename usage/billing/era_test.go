package billing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/platform/platformtest"
	"github.com/arbutuswinch/winch/usage"
	"github.com/arbutuswinch/winch/usage/peer"
)

// eraSimulation runs one reporter at a time against a store that may come back from an older copy.
type eraSimulation struct {
	*simulation
	test     *testing.T
	platform *platformtest.Store
	reporter *Reporter
}

func newEraSimulation(t *testing.T, tells bool) *eraSimulation {
	t.Helper()
	e := &eraSimulation{simulation: newSimulation(t), test: t, platform: platformtest.NewStore()}
	if tells {
		e.platform.TellEra()
	}
	e.restartAll()
	return e
}

// restartAll ends all hosts at one moment. A new one is in charge, which knows nothing.
func (e *eraSimulation) restartAll() {
	e.sealed = toldAtOnce{peer.NewSealedWindows("host")}
	e.service = newClient(e.test, e.platform)
	e.reporter = e.takeOver()
}

func (e *eraSimulation) steps(length time.Duration) {
	for range int(length / time.Second) {
		e.now = e.now.Add(time.Second)
		e.reporter.Step(e.test.Context(), e.now)
	}
}

// countNow counts three requests in the present window, and returns it.
func (e *eraSimulation) countNow() usage.Window {
	window := usage.WindowOf(e.now, defaultWindow)
	e.count(e.test.Context(), window, "yard-1", 3)
	return window
}

func (e *eraSimulation) run(windows int) {
	for range windows {
		e.countNow()
		e.steps(defaultWindow)
	}
}

// loseWindows lets the store lose two reported windows while all hosts are killed, and stores other counts of them. It returns the number
// of reported windows.
func (e *eraSimulation) loseWindows() int {
	older := e.platform.Backup()
	first := usage.WindowOf(e.now, defaultWindow)
	e.run(2)
	e.steps(defaultGrace)
	reports := len(e.reported)
	e.platform.Return(older)
	e.restartAll()
	e.count(e.test.Context(), first, "yard-1", 1)
	e.count(e.test.Context(), usage.WindowOf(first.End(defaultWindow), defaultWindow), "yard-1", 2)
	return reports
}

// TestWindowsAreNotReportedAgainInALaterEra guards against a window that is reported with other counts if the store comes back from an older
// copy and no process is left that knows of the first report. The simulation fails on a second report with other counts.
func TestWindowsAreNotReportedAgainInALaterEra(t *testing.T) {
	cases := []struct {
		name string
		// before is the number of windows that are reported before the copy.
		before int
		// writes is the number of writes after which another host takes over, which knows nothing either, if it is not zero.
		writes int
	}{
		{"the copy has a head", 3, 0},
		{"the copy is empty", 0, 0},
		{"the host in charge ends before it has closed the windows", 3, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newEraSimulation(t, true)
			e.run(c.before)
			if c.before > 0 {
				e.steps(defaultWindow)
			}
			reports := e.loseWindows()
			e.writesUntilTakeOver = c.writes
			e.steps(time.Second)
			if c.writes > 0 {
				assert.Assert(t, e.writesUntilTakeOver <= 0)
				e.restartAll()
			}
			e.run(2)
			e.steps(defaultWindow)
			assert.Equal(t, len(e.reported), reports+2, "windows after the return are reported")
			assertNoLateCounts(t, e.reported)
		})
	}
}

// TestEndedWindowsAreReportedWithinOneEra guards against windows that are left unreported because all hosts were restarted before their
// seals, although the store has lost nothing.
func TestEndedWindowsAreReportedWithinOneEra(t *testing.T) {
	// assertReportedAfterRestart ends all hosts between the end of a window and its seal.
	assertReportedAfterRestart := func(t *testing.T, e *eraSimulation) {
		t.Helper()
		window := e.countNow()
		e.steps(defaultWindow + defaultGrace/2)
		e.restartAll()
		e.steps(defaultWindow)
		assert.Assert(t, len(e.reported[window.Start()]) == 1, "window %s has no report", window.Start())
	}
	t.Run("the store tells no era", func(t *testing.T) {
		assertReportedAfterRestart(t, newEraSimulation(t, false))
	})
	t.Run("the store tells its first era", func(t *testing.T) {
		assertReportedAfterRestart(t, newEraSimulation(t, true))
	})
	t.Run("the first window has ended before the first host is in charge", func(t *testing.T) {
		e := newEraSimulation(t, true)
		window := e.countNow()
		e.now = window.End(defaultWindow).Add(defaultGrace)
		e.steps(time.Second)
		assert.Equal(t, len(e.reported[window.Start()]), 1)
	})
	t.Run("a later era, whose windows were closed once", func(t *testing.T) {
		e := newEraSimulation(t, true)
		e.run(3)
		e.loseWindows()
		e.run(2)
		assertReportedAfterRestart(t, e)
	})
}

// TestTermThatGoesOnInALaterEraClosesNoWindow guards against a host that lives, and whose term goes on, but that leaves windows unreported
// which it has not sealed itself.
func TestTermThatGoesOnInALaterEraClosesNoWindow(t *testing.T) {
	e := newEraSimulation(t, true)
	e.run(3)
	window := e.countNow()
	e.steps(defaultWindow + defaultGrace/2)
	e.platform.Return(e.platform.Backup())
	e.steps(defaultWindow)
	assert.Equal(t, len(e.reported[window.Start()]), 1)
	assertNoLateCounts(t, e.reported)
}

// TestWindowsThatWereDueBeforeTheEraAreClosed guards against a window that is reported with other counts because the hosts that live know of
// an earlier lost seal alone, and against closing windows that were due after the era began.
func TestWindowsThatWereDueBeforeTheEraAreClosed(t *testing.T) {
	e := newEraSimulation(t, true)
	e.run(3)
	older := e.platform.Backup()
	first := usage.WindowOf(e.now, defaultWindow)
	e.run(2)
	e.steps(defaultGrace)
	reports := len(e.reported)
	e.platform.Return(older)
	e.restartAll()
	e.sealed.Note(e.now, 0, first.Start())
	second := usage.WindowOf(first.End(defaultWindow), defaultWindow)
	e.count(t.Context(), second, "yard-1", 2)
	e.reporter.options.Eras, e.reporter.options.Lease = seenEra{era: 2}, noTerm{}
	e.steps(time.Second)
	e.run(2)
	e.reporter.options.Lease = staleLeaseGuard{number: e.currentTerm}
	e.steps(defaultWindow)
	assert.Equal(t, len(e.reported), reports+2, "windows after the return are reported")
	assertNoLateCounts(t, e.reported)
}

// seenEra is a winch.EraSource that knows one era.
type seenEra struct{ era winch.Era }

func (s seenEra) Newest() winch.Era { return s.era }

// noTerm is a winch.LeaseGuard of a host that is not in charge.
type noTerm struct{ winch.LeaseGuard }

func (noTerm) Term(time.Time) (winch.Term, bool) { return winch.Term{}, false }
