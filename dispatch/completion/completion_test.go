package completion

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func TestInTime(t *testing.T) {
	deadline := start.Add(5 * time.Second)
	assert.Assert(t, InTime(start, time.Time{}, longest), "a request without a deadline ends in time")
	assert.Assert(t, InTime(start, deadline, 5*time.Second-margin) && !InTime(start, deadline, 5*time.Second))
	assert.Assert(t, LatestStart(deadline, time.Second).Equal(start.Add(4*time.Second-margin)))
}

// TestIntervals guards against estimates from too few responses, from a single stall, and from a calm endpoint's speed where others are
// saturated.
func TestIntervals(t *testing.T) {
	m := Intervals{}
	t.Run("are not known at first, nor from few outputs", func(t *testing.T) {
		m.Observe(start, 1, 10, 9)
		_, known := m.Interval(start, 1)
		assert.Assert(t, !known)
	})
	for range 40 {
		m.Observe(start, 0.1, 0.1, 5)
		m.Observe(start, 0.99, 1.5, 5)
	}
	t.Run("rise with the share of the time in which endpoints prefill", func(t *testing.T) {
		calm, _ := m.Interval(start, 0.2)
		saturated, _ := m.Interval(start, 1)
		assert.Assert(t, calm < 0.03 && saturated > 0.25, "%f, %f", calm, saturated)
	})
	t.Run("of a lower share stand for an unknown range", func(t *testing.T) {
		between, known := m.Interval(start, 0.75)
		assert.Assert(t, known && between < 0.03)
	})
	t.Run("change little with one stall", func(t *testing.T) {
		m.Observe(start, 0.1, 1000, 1)
		calm, _ := m.Interval(start, 0.1)
		assert.Assert(t, calm < 0.04, "%f", calm)
	})
	t.Run("are forgotten", func(t *testing.T) {
		_, known := m.Interval(start.Add(5*modelTime), 1)
		assert.Assert(t, !known)
	})
}

func TestRecent(t *testing.T) {
	r := Recent{}
	assert.Equal(t, r.Correct(start, 0.1), 0.1)
	r.Observe(start, maxSample, 1)
	assert.Assert(t, r.Correct(start, 0.1) < 0.17, "one slow sample is no reason")
	for range 50 {
		r.Observe(start, maxSample, 1)
	}
	assert.Equal(t, r.Correct(start, 0.1), correctionMax*0.1)
	assert.Assert(t, r.Correct(start.Add(time.Minute), 0.1) < 0.101, "it is forgotten")
}

func TestLoad(t *testing.T) {
	l := Load{}
	for i := range 200 {
		l.Observe(start.Add(time.Duration(i)*100*time.Millisecond), i%2 == 0)
	}
	assert.Assert(t, l.Busy() > 0.4 && l.Busy() < 0.6, "%f", l.Busy())
}

func TestShare(t *testing.T) {
	s, now := Share{}, start
	run := func(late bool, busy float64) (share float64) {
		for range 400 {
			now = now.Add(100 * time.Millisecond)
			s.Ended(now, late)
			share = s.Update(now, s.Late(now), busy)
		}
		return share
	}
	s.Ended(now, true)
	assert.Assert(t, !s.Late(now), "one late response is no reason")
	assert.Equal(t, run(true, 1), MinShare)
	assert.Equal(t, run(false, 1), 1.0)
	assert.Equal(t, run(true, MinBusy), 1.0, "endpoints that are idle for half of the time are not idled more")
}

func TestEstimatesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, r, s, l, now := Intervals{}, Recent{}, Share{}, Load{}, start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-10, 3000).Draw(t, "ms")) * time.Millisecond)
			busy, seconds := rapid.Float64Range(0, 1).Draw(t, "busy"), rapid.Float64Range(-1, 1e9).Draw(t, "seconds")
			count := rapid.Float64Range(-1, 100).Draw(t, "count")
			m.Observe(now, busy, seconds, count)
			r.Observe(now, seconds, count)
			l.Observe(now, rapid.Bool().Draw(t, "pending"))
			s.Ended(now, rapid.Bool().Draw(t, "late"))
			share := s.Update(now, s.Late(now), busy)
			assert.Assert(t, share >= MinShare && share <= 1, "%f", share)
			assert.Assert(t, l.Busy() >= 0 && l.Busy() <= 1)
			interval, known := m.Interval(now, busy)
			assert.Assert(t, !known || interval >= 0 && interval <= maxSample*1e3, "%f", interval)
			corrected := r.Correct(now, interval)
			assert.Assert(t, corrected >= correctionMin*interval && corrected <= correctionMax*interval)
			duration := Duration(time.Second, count, corrected)
			assert.Assert(t, duration >= 0 && duration <= longest)
		}
	})
}
