package agreed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// fixed is a steady clock that tests move.
type fixed struct{ now time.Time }

func (f *fixed) Now() time.Time { return f.now }

// truth is the true time at the start of a test.
var truth = time.Unix(1_700_000_000, 0)

// hostClock returns a clock whose wall clock is off by the error.
func hostClock(steady *fixed, wrong *time.Duration) *Clock {
	return New(steady, func() time.Time { return truth.Add(steady.now.Sub(time.Unix(0, 0))).Add(*wrong) })
}

// agree plays one exchange of all hosts with the first.
func agree(t *testing.T, steady *fixed, clocks []*Clock) {
	t.Helper()
	hub := clocks[0].Section()
	for i, clock := range clocks[1:] {
		id := winch.HostID(rune('a' + i))
		assert.NilError(t, hub.Collect(steady.now, id, clock.Section().Report(steady.now)))
	}
	for _, clock := range clocks {
		assert.NilError(t, clock.Section().Apply(steady.now, steady.now, "hub", hub.Summary(steady.now, "")))
	}
}

func assertTrue(t *testing.T, steady *fixed, clocks []*Clock) {
	t.Helper()
	want := truth.Add(steady.now.Sub(time.Unix(0, 0)))
	for i, clock := range clocks {
		off := clock.Now().Sub(want).Abs()
		assert.Assert(t, off < 10*time.Millisecond, "host %d is off by %s", i, off)
	}
}

func TestJumps(t *testing.T) {
	steady := &fixed{now: time.Unix(0, 0)}
	wrong := make([]time.Duration, 5)
	clocks := make([]*Clock, len(wrong))
	for i := range wrong {
		wrong[i] = time.Duration(i) * time.Millisecond
		clocks[i] = hostClock(steady, &wrong[i])
	}
	agree(t, steady, clocks)
	t.Run("small differences", func(t *testing.T) { assertTrue(t, steady, clocks) })
	t.Run("a minority jumps, the hub among it", func(t *testing.T) {
		wrong[0], wrong[1] = 2400*time.Millisecond, -3*time.Second
		steady.now = steady.now.Add(time.Second)
		assertTrue(t, steady, clocks)
		agree(t, steady, clocks)
		assertTrue(t, steady, clocks)
	})
	t.Run("a host starts while its wall clock is off", func(t *testing.T) {
		started := hostClock(steady, &wrong[1])
		assert.Assert(t, started.Now().Sub(clocks[2].Now()).Abs() > time.Second)
		agree(t, steady, append(clocks, started))
		assertTrue(t, steady, append(clocks, started))
	})
}

func TestTooFewHosts(t *testing.T) {
	steady := &fixed{now: time.Unix(0, 0)}
	wrong := make([]time.Duration, 2)
	clocks := []*Clock{hostClock(steady, &wrong[0]), hostClock(steady, &wrong[1])}
	wrong[1] = 5 * time.Second
	agree(t, steady, clocks)
	assertTrue(t, steady, clocks)
}

func TestInvalid(t *testing.T) {
	steady := &fixed{now: time.Unix(0, 0)}
	wrong := time.Duration(0)
	section := hostClock(steady, &wrong).Section()
	assert.ErrorIs(t, section.Collect(steady.now, "a", []byte("{")), winch.ErrInvalid)
	assert.ErrorIs(t, section.Apply(steady.now, steady.now, "a", []byte("[]")), winch.ErrInvalid)
}
