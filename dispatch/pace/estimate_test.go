package pace

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/arbutuswinch/winch"
)

var start = time.Unix(1000, 0)

func assertPace(t *testing.T, got, want, tolerance winch.Pace) {
	t.Helper()
	assert.Assert(t, math.Abs(float64(got-want)) <= float64(tolerance), "%.1f instead of %.1f", float64(got), float64(want))
}

// observe adds a stated pace every interval, and returns the time after the last.
func observe(e *Estimate, from time.Time, count int, interval time.Duration, stated func(i int) winch.Pace) time.Time {
	for i := range count {
		e.Observe(from, stated(i))
		from = from.Add(interval)
	}
	return from
}

func steady(p winch.Pace) func(int) winch.Pace { return func(int) winch.Pace { return p } }

func TestNothingStated(t *testing.T) {
	e := Estimate{}
	assert.Assert(t, !e.Known(start) && e.Tell(start) == 0 && e.Weight(start) == 0)
	assert.Equal(t, e.At(start), winch.UsualPace)
	e.Hear(start, 0)
	assert.Assert(t, !e.Known(start), "zero says nothing")
}

// TestSingleAnswer guards against hosts that take an endpoint for a fast one after one fast answer.
func TestSingleAnswer(t *testing.T) {
	e := Estimate{}
	e.Observe(start, 40)
	assert.Assert(t, e.Known(start))
	assert.Assert(t, e.At(start) > 60 && e.At(start) < winch.UsualPace)
	assert.Equal(t, e.Tell(start), winch.Pace(40))
}

// TestLoadThatChangesManyTimesASecond guards against an estimate that follows single figures, or that is late when an endpoint slows down.
func TestLoadThatChangesManyTimesASecond(t *testing.T) {
	e := Estimate{}
	now := observe(&e, start, 1200, 50*time.Millisecond, func(i int) winch.Pace { return winch.Pace(60 + 80*(i%2)) })
	assertPace(t, e.At(now), 100, 10)
	now = observe(&e, now, 40, 50*time.Millisecond, steady(200))
	assertPace(t, e.At(now), 200, 30)
	assertPace(t, e.Usual(now), 100, 20)
	t.Run("the present is over within seconds of the last answer", func(t *testing.T) {
		later := now.Add(6 * time.Second)
		assertPace(t, e.At(later), e.Usual(later), 5)
	})
}

// TestEndpointThatIsSlowForGood guards against a slow endpoint that counts as a usual one as soon as it was not used for a second.
func TestEndpointThatIsSlowForGood(t *testing.T) {
	e := Estimate{}
	now := observe(&e, start, 120, 500*time.Millisecond, steady(160))
	assertPace(t, e.At(now.Add(5*time.Second)), 160, 5)
	t.Run("as other hosts tell", func(t *testing.T) {
		told := Estimate{}
		for i := range 40 {
			told.Hear(start.Add(time.Duration(i)*500*time.Millisecond), e.Tell(now))
		}
		at := start.Add(20 * time.Second)
		assert.Assert(t, told.Known(at))
		assertPace(t, told.At(at), 160, 10)
		assert.Equal(t, told.Tell(at), winch.Pace(0), "hearsay is not passed on")
	})
	t.Run("until nothing was heard for long", func(t *testing.T) {
		assert.Assert(t, !e.Known(now.Add(maxAge)))
	})
}

func TestEstimateStaysWithinWhatWasSaid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, now := Estimate{}, start
		lowest, highest := winch.UsualPace, winch.UsualPace
		for range rapid.IntRange(1, 50).Draw(t, "samples") {
			now = now.Add(time.Duration(rapid.IntRange(-100, 5000).Draw(t, "pause")) * time.Millisecond)
			sample := winch.Pace(rapid.Float64Range(10, 1000).Draw(t, "pace"))
			lowest, highest = min(lowest, sample), max(highest, sample)
			if rapid.Bool().Draw(t, "told") {
				e.Hear(now, sample)
			} else {
				e.Observe(now, sample)
			}
			for _, got := range []winch.Pace{e.At(now), e.Usual(now)} {
				if got < lowest-1e-6 || got > highest+1e-6 {
					t.Fatalf("%f is outside %f to %f", float64(got), float64(lowest), float64(highest))
				}
			}
			if e.Weight(now) < 0 || e.Weight(now) > 1 {
				t.Fatalf("weight %f", e.Weight(now))
			}
		}
	})
}
