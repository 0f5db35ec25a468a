package planner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// TestColdEndpointsAreComing guards against plans that take cold endpoints for available or for lost.
func TestColdEndpointsAreComing(t *testing.T) {
	t.Run("all turn cold: nothing is ordered or given up", func(t *testing.T) {
		s := newSimulation(t, 8)
		s.rate = 400_000
		s.advance(20 * time.Second)
		cheap := s.count(winch.SupplyCheap)
		s.allColdUntil = s.now.Add(5 * time.Second)
		for range 20 {
			s.advance(500 * time.Millisecond)
			assert.Equal(t, s.count(winch.SupplyCheap), cheap)
			assert.Equal(t, s.count(winch.SupplySteady), 0)
		}
	})
	t.Run("steady endpoints serve until the cheap ones are warm", func(t *testing.T) {
		s := newSimulation(t, 8)
		s.coldTime = 3 * time.Second
		for _, centre := range centres {
			s.started[winch.ScalingPool(testModel, centre, winch.SupplySteady)] = make([]time.Time, 4)
		}
		s.rate = 300_000
		for range 60 {
			s.advance(500 * time.Millisecond)
			assert.Assert(t, s.warm() >= 11, "%d warm", s.warm())
		}
		assert.Equal(t, s.count(winch.SupplySteady), 0)
	})
	t.Run("a reclaim while the others are cold orders what their coming leaves open", func(t *testing.T) {
		s := newSimulation(t, 8)
		s.rate = 150_000
		s.advance(20 * time.Second)
		s.allColdUntil = s.now.Add(5 * time.Second)
		s.reclaim("a")
		s.advance(8 * time.Second)
		assert.Equal(t, s.count(winch.SupplySteady), 0)
	})
}

func TestIsCold(t *testing.T) {
	now, start := time.Unix(1000, 0), winch.ColdStart{Duration: 3 * time.Second, Rate: 11}
	for name, c := range map[string]struct {
		status winch.EndpointStatus
		want   bool
	}{
		"as it says":                    {winch.EndpointStatus{ColdStated: true, ColdUntil: now.Add(1)}, true},
		"not any more":                  {winch.EndpointStatus{ColdStated: true, ColdUntil: now}, false},
		"not, as it says":               {winch.EndpointStatus{ColdStated: true, StartedAt: now}, false},
		"after a start":                 {winch.EndpointStatus{StartedAt: now.Add(-2 * time.Second)}, true},
		"not long after a start":        {winch.EndpointStatus{StartedAt: now.Add(-3 * time.Second)}, false},
		"not known, thus not in a plan": {winch.EndpointStatus{}, false},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, isCold(now, start, c.status), c.want) })
	}
	assert.Assert(t, !isCold(now, winch.ColdStart{}, winch.EndpointStatus{ColdStated: true, ColdUntil: now.Add(1)}), "without a rate")
}
