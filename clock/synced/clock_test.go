package synced

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// fakeClock is a steady clock that only changes when a test moves it.
type fakeClock struct{ now time.Time }

func (f *fakeClock) Now() time.Time { return f.now }

// flatMembership is that of hosts which all report to the hub.
type flatMembership struct{ winch.Membership }

func (flatMembership) Self() winch.Host { return winch.Host{ID: "hub"} }

func (flatMembership) RelaysReports(time.Time) bool { return false }

// trueStart is the correct time of day at the start of a test.
var trueStart = time.Unix(1_700_000_000, 0)

// hostClock returns a clock whose wall clock deviates from the correct time by wallError.
func hostClock(steady *fakeClock, wallError *time.Duration) *Clock {
	return New(steady, func() time.Time { return trueStart.Add(steady.now.Sub(time.Unix(0, 0))).Add(*wallError) })
}

// exchange simulates one exchange between hosts. The first clock is the hub's.
func exchange(t *testing.T, steady *fakeClock, clocks []*Clock) {
	t.Helper()
	hub := clocks[0].Section(flatMembership{})
	for i, clock := range clocks[1:] {
		id := winch.HostID(rune('a' + i))
		assert.NilError(t, hub.Collect(steady.now, id, clock.Section(flatMembership{}).Report(steady.now)))
	}
	for _, clock := range clocks {
		assert.NilError(t, clock.Section(flatMembership{}).Apply(steady.now, steady.now, "hub", hub.Summary(steady.now, "")))
	}
}

func assertAccurate(t *testing.T, steady *fakeClock, clocks []*Clock) {
	t.Helper()
	want := trueStart.Add(steady.now.Sub(time.Unix(0, 0)))
	for i, clock := range clocks {
		deviation := clock.Now().Sub(want).Abs()
		assert.Assert(t, deviation < 10*time.Millisecond, "host %d is off by %s", i, deviation)
	}
}

func TestJumps(t *testing.T) {
	steady := &fakeClock{now: time.Unix(0, 0)}
	wallErrors := make([]time.Duration, 5)
	clocks := make([]*Clock, len(wallErrors))
	for i := range wallErrors {
		wallErrors[i] = time.Duration(i) * time.Millisecond
		clocks[i] = hostClock(steady, &wallErrors[i])
	}
	exchange(t, steady, clocks)
	t.Run("wall clocks differ by milliseconds", func(t *testing.T) { assertAccurate(t, steady, clocks) })
	t.Run("a minority of wall clocks jumps, including the hub's", func(t *testing.T) {
		wallErrors[0], wallErrors[1] = 2400*time.Millisecond, -3*time.Second
		steady.now = steady.now.Add(time.Second)
		assertAccurate(t, steady, clocks)
		exchange(t, steady, clocks)
		assertAccurate(t, steady, clocks)
	})
	t.Run("a host starts while its wall clock is wrong", func(t *testing.T) {
		started := hostClock(steady, &wallErrors[1])
		assert.Assert(t, started.Now().Sub(clocks[2].Now()).Abs() > time.Second)
		exchange(t, steady, append(clocks, started))
		assertAccurate(t, steady, append(clocks, started))
	})
}

func TestTooFewHosts(t *testing.T) {
	steady := &fakeClock{now: time.Unix(0, 0)}
	wallErrors := make([]time.Duration, 2)
	clocks := []*Clock{hostClock(steady, &wallErrors[0]), hostClock(steady, &wallErrors[1])}
	wallErrors[1] = 5 * time.Second
	exchange(t, steady, clocks)
	assertAccurate(t, steady, clocks)
}

func TestInvalid(t *testing.T) {
	steady := &fakeClock{now: time.Unix(0, 0)}
	wallError := time.Duration(0)
	section := hostClock(steady, &wallError).Section(flatMembership{})
	assert.ErrorIs(t, section.Collect(steady.now, "a", []byte("{")), winch.ErrInvalid)
	assert.ErrorIs(t, section.Apply(steady.now, steady.now, "a", []byte("[]")), winch.ErrInvalid)
}
