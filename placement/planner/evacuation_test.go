package planner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// evacuated implements winch.EvacuationSource.
type evacuated []winch.DataCentreID

func (e evacuated) Evacuated() []winch.DataCentreID { return e }

// evacuate makes these data centres and no others evacuated.
func (s *simulation) evacuate(centres ...winch.DataCentreID) {
	s.planner.evacuations.source = evacuated(centres)
}

func (s *simulation) cheapIn(centre winch.DataCentreID) int {
	return len(s.started[winch.ScalingPool(testModel, centre, winch.SupplyCheap)])
}

func TestCapacityOfAnEvacuatedDataCentreIsOrderedElsewhere(t *testing.T) {
	s := newSimulation(t, 100)
	s.rate = 400_000 // 40 endpoints
	s.advance(20 * time.Second)
	// One data centre may be lost, so that each has half.
	assert.Equal(t, s.cheapIn("a"), 20)
	s.evacuate("b")
	t.Run("nothing is ordered there", func(t *testing.T) {
		assert.Equal(t, len(s.planner.Plan(s.now, "b", s.endpointsIn("b"))), 0)
		s.advance(20 * time.Second)
		assert.Equal(t, s.cheapIn("b"), 20)
	})
	t.Run("the others share it", func(t *testing.T) {
		assert.Equal(t, s.cheapIn("a"), 30)
		assert.Equal(t, s.cheapIn("c"), 30)
	})
	t.Run("they keep it for a while after the evacuation", func(t *testing.T) {
		s.evacuate()
		s.advance(evacuationHold)
		assert.Equal(t, s.cheapIn("a"), 30)
		s.advance(2 * time.Second)
		assert.Equal(t, s.cheapIn("a"), 20)
		assert.Equal(t, s.cheapIn("b"), 20)
	})
}

func TestEvacuationsOfSeveralDataCentres(t *testing.T) {
	t.Run("one is left, which has the limits that it always has", func(t *testing.T) {
		s := newSimulation(t, 50)
		s.rate = 400_000
		s.advance(20 * time.Second)
		s.evacuate("a", "b")
		s.advance(20 * time.Second)
		assert.Equal(t, len(s.endpointsIn("c")), 50)
	})
	t.Run("none is left", func(t *testing.T) {
		s := newSimulation(t, 50)
		s.rate = 400_000
		s.advance(20 * time.Second)
		s.evacuate(centres...)
		s.advance(20 * time.Second)
		assert.Equal(t, s.count(winch.SupplyCheap), 60)
	})
}

func TestEvacuatedEndpointsAreNoFallback(t *testing.T) {
	// Counted as ready, they would hide that the others cannot carry the demand.
	s := newSimulation(t, 6)
	s.rate = 400_000
	s.advance(20 * time.Second)
	s.evacuate("a")
	s.reclaim("b")
	s.advance(6 * time.Second)
	assert.Assert(t, len(s.started[winch.ScalingPool(testModel, "b", winch.SupplySteady)]) > 0)
}

func TestPoolsOfAnEvacuatedDataCentre(t *testing.T) {
	f := newFixture(t)
	configuration := f.planner.options.Configurations.Current()
	configuration.Evacuations = map[winch.DataCentreID]winch.Evacuation{"a": {DataCentre: "a"}}
	f.queues.statuses = []winch.QueueStatus{{DataCentre: "a", Model: "chat", Class: "stall", Tier: 1, Running: 40}}
	t.Run("are not ordered", func(t *testing.T) {
		assert.Equal(t, len(f.planner.Plan(f.now, "a", nil)), 0)
	})
	t.Run("are replaced by those of the others", func(t *testing.T) {
		orders := f.planner.Plan(f.now, "b", nil)
		assert.Equal(t, len(orders), 1)
		assert.Equal(t, orders[0].Pool, winch.PoolID("other"))
		assert.Equal(t, orders[0].Count, 5)
	})
}
