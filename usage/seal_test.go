package usage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const minute = time.Minute

var start = time.Unix(6000, 0).UTC()

// assertNextToSeal checks the result of NextToSeal with a grace of 10 s. A want of zero means
// that no window is due.
func assertNextToSeal(t *testing.T, now time.Time, last Window, totals, accounted Totals, want Window) {
	t.Helper()
	got, due := NextToSeal(now, minute, 10*time.Second, last, totals, accounted)
	assert.Equal(t, due, want != 0)
	if due {
		assert.Equal(t, got, want)
	}
}

func totalsOf(windows ...Window) Totals {
	totals := Totals{}
	for _, window := range windows {
		totals.Add(Source{Window: window, DataCentre: "yard-1"}, "dealer", Counts{Requests: 1, OutputTokens: 10})
	}
	return totals
}

func TestNextToSeal(t *testing.T) {
	t.Run("not before the grace is over", func(t *testing.T) {
		assertNextToSeal(t, start.Add(69*time.Second), 0, totalsOf(6000), nil, 0)
		assertNextToSeal(t, start.Add(70*time.Second), 0, totalsOf(6000), nil, 6000)
	})
	t.Run("oldest first", func(t *testing.T) {
		assertNextToSeal(t, start.Add(10*minute), 0, totalsOf(6060, 6000), nil, 6000)
	})
	t.Run("nothing without counts", func(t *testing.T) {
		assertNextToSeal(t, start.Add(10*minute), 6000, totalsOf(6000), totalsOf(6000), 0)
	})
	t.Run("late counts go into the newest closed window", func(t *testing.T) {
		assertNextToSeal(t, start.Add(3*minute+10*time.Second), 6000, totalsOf(6000), nil, 6120)
	})
}

func TestSeal(t *testing.T) {
	totals := totalsOf(6000, 6060, 6120)
	accounted := totalsOf(6000)
	totals.Add(Source{Window: 6000, DataCentre: "yard-2"}, "dealer", Counts{Requests: 2})
	figures, increments := Seal(6060, totals, accounted)
	assert.DeepEqual(t, figures, []Figure{
		{Organisation: "dealer", Counts: Counts{Requests: 1, OutputTokens: 10}},
		{Organisation: "dealer", Counts: Counts{Requests: 2}, Adjustment: true},
	})
	accounted.AddAll(increments)
	again, _ := Seal(6060, totals, accounted)
	assert.Equal(t, len(again), 0)
}
