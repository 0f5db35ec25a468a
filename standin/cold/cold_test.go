package cold

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1000, 0)

func TestMeter(t *testing.T) {
	overruns := func(m *Meter, from time.Time, count int, every time.Duration) bool {
		overrun := false
		for i := range count {
			overrun = m.Overrun(from.Add(time.Duration(i)*every)) || overrun
		}
		return overrun
	}
	t.Run("a warm endpoint is not overrun", func(t *testing.T) {
		assert.Assert(t, !overruns(New(Limit{PerSecond: 2, Duration: time.Second}), now, 100, 0))
	})
	t.Run("a cold one is, with one request too many in a second", func(t *testing.T) {
		m := New(Limit{PerSecond: 2, Duration: 5 * time.Second})
		m.Start(now)
		assert.Equal(t, m.Remaining(now.Add(time.Second)), 4*time.Second)
		assert.Assert(t, !overruns(m, now, 8, 500*time.Millisecond))
		assert.Equal(t, m.Most(), 2)
		assert.Assert(t, overruns(m, now.Add(4*time.Second), 3, 100*time.Millisecond))
	})
	t.Run("until it is warm", func(t *testing.T) {
		m := New(Limit{PerSecond: 2, Duration: time.Second})
		m.Start(now)
		assert.Assert(t, !overruns(m, now.Add(time.Second), 100, 0))
		assert.Equal(t, m.Remaining(now.Add(2*time.Second)), time.Duration(0))
	})
	t.Run("without a limit it is never cold", func(t *testing.T) {
		m := New(Limit{Duration: time.Hour})
		m.Start(now)
		assert.Assert(t, !overruns(m, now, 100, 0))
	})
}
