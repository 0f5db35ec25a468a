package planner

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

type fakeConfigurations struct {
	winch.Configurations
	configuration *winch.Configuration
}

func (f fakeConfigurations) Current() *winch.Configuration { return f.configuration }

type fakeQueues struct{ statuses []winch.QueueStatus }

func (f *fakeQueues) Queues(time.Time) []winch.QueueStatus { return f.statuses }

type fakeOrders struct {
	winch.OrderedEndpoints
	list []winch.OrderedEndpoint
}

func (f *fakeOrders) Current() []winch.OrderedEndpoint { return f.list }

// fixture is a planner with a steady and a cheap pool whose endpoints have 10 slots each.
type fixture struct {
	t       *testing.T
	planner *Planner
	queues  *fakeQueues
	orders  *fakeOrders
	running []winch.OrderedEndpoint
	now     time.Time
	// undelivered are the pools whose endpoints do not change, whatever is ordered.
	undelivered map[winch.PoolID]bool
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, queues: &fakeQueues{}, orders: &fakeOrders{}, now: time.Unix(1_000_000, 0), undelivered: map[winch.PoolID]bool{}}
	configuration := &winch.Configuration{
		Classes: map[winch.ClassID]winch.Class{
			"stall": {ID: "stall", Tier: 1, FirstTokenTarget: time.Second},
			"notes": {ID: "notes", Tier: 3, FirstTokenTarget: 20 * time.Second},
		},
		Pools: map[winch.PoolID]winch.Pool{
			"steady": {ID: "steady", DataCentre: "a", Model: "chat", Version: "2", Supply: winch.SupplySteady, Cost: 1000, Min: 1, Max: 10, SlotLimit: 10},
			"cheap":  {ID: "cheap", DataCentre: "a", Model: "chat", Version: "2", Supply: winch.SupplyCheap, Cost: 300, Max: 10, SlotLimit: 10},
			"other":  {ID: "other", DataCentre: "b", Model: "chat", Max: 10, SlotLimit: 10},
		},
	}
	planner, err := New(Options{Configurations: fakeConfigurations{configuration: configuration}, Queues: f.queues, Orders: f.orders})
	assert.NilError(t, err)
	f.planner = planner
	return f
}

// demand sets the demand of two classes: stall, of the highest tier, with a short first-token
// target, and notes, of a lower tier, with a long one.
func (f *fixture) demand(stall, notes, queuedNotes int) {
	f.queues.statuses = []winch.QueueStatus{
		{DataCentre: "a", Class: "stall", Model: "chat", Tier: 1, Running: stall},
		{DataCentre: "a", Class: "notes", Model: "chat", Tier: 3, Running: notes, Queued: queuedNotes},
		{DataCentre: "b", Class: "notes", Model: "chat", Tier: 3, Running: 1000},
	}
}

// plan advances the clock by 5 s, plans, and starts or removes endpoints as ordered,
// except in undelivered pools. It returns the ordered counts.
func (f *fixture) plan() map[winch.PoolID]int {
	f.now = f.now.Add(5 * time.Second)
	counts := map[winch.PoolID]int{}
	// An empty slice that shares no memory with f.running.
	kept := f.running[:0:0]
	for _, endpoint := range f.running {
		if f.undelivered[endpoint.Pool] {
			kept = append(kept, endpoint)
		}
	}
	for _, order := range f.planner.Plan(f.now, "a", f.running) {
		counts[order.Pool] = order.Count
		for i := range order.Count {
			if !f.undelivered[order.Pool] {
				id := winch.EndpointID(fmt.Sprintf("%s-%d", order.Pool, i))
				kept = append(kept, winch.OrderedEndpoint{ID: id, DataCentre: "a", Pool: order.Pool, Model: "chat", State: winch.EndpointReady})
			}
		}
	}
	f.running = kept
	return counts
}

// planAndAssert plans once, which advances the clock, and compares the ordered counts.
func (f *fixture) planAndAssert(steady, cheap int) {
	f.t.Helper()
	assert.DeepEqual(f.t, f.plan(), map[winch.PoolID]int{"steady": steady, "cheap": cheap})
}

func TestPlan(t *testing.T) {
	t.Run("orders the minimum without demand", func(t *testing.T) {
		newFixture(t).planAndAssert(1, 0)
	})
	t.Run("covers the highest tier with steady endpoints and the rest with cheap ones", func(t *testing.T) {
		f := newFixture(t)
		f.demand(16, 40, 0)
		f.planAndAssert(2, 5)
	})
	t.Run("counts a queued request with a long target as part of a slot", func(t *testing.T) {
		f := newFixture(t)
		f.demand(0, 16, 40)
		f.planAndAssert(1, 2)
	})
	t.Run("raises the count at once and lowers it after LowerAfter", func(t *testing.T) {
		f := newFixture(t)
		f.demand(8, 40, 0)
		f.planAndAssert(1, 5)
		f.demand(8, 0, 0)
		for range 20 {
			f.planAndAssert(1, 5)
		}
		for range 10 {
			f.plan()
		}
		f.planAndAssert(1, 0)
	})
	t.Run("never exceeds the maximum", func(t *testing.T) {
		f := newFixture(t)
		f.demand(1000, 1000, 0)
		f.planAndAssert(10, 10)
	})
	t.Run("starts from the running endpoints after a takeover", func(t *testing.T) {
		f := newFixture(t)
		f.running = []winch.OrderedEndpoint{{Pool: "cheap", State: winch.EndpointReady}, {Pool: "cheap", State: winch.EndpointStarting}}
		f.planAndAssert(1, 2)
	})
}

func TestSkipFor(t *testing.T) {
	f := newFixture(t)
	f.undelivered["cheap"] = true
	f.demand(8, 40, 0)
	t.Run("waits DeliverWithin for a pool", func(t *testing.T) {
		for range 5 {
			f.planAndAssert(1, 5)
		}
	})
	t.Run("orders from other pools what a pool does not deliver", func(t *testing.T) {
		f.plan()
		assert.Equal(t, f.plan()["steady"], 6)
	})
	t.Run("tries the pool again after SkipFor", func(t *testing.T) {
		f.undelivered["cheap"] = false
		for range 80 {
			f.plan()
		}
		f.planAndAssert(1, 5)
	})
}

func TestPlanEngines(t *testing.T) {
	f := newFixture(t)
	for i, version := range []winch.ModelVersion{"1", "2", "1", ""} {
		id := winch.EndpointID(fmt.Sprintf("e%d", i))
		f.orders.list = append(f.orders.list, winch.OrderedEndpoint{ID: id, DataCentre: "a", Pool: "cheap", State: winch.EndpointReady})
		if version != "" {
			f.planner.ObserveLoad(f.now, winch.LoadReport{Endpoint: id, Models: []winch.LoadedModel{{Model: "chat", Version: version}}})
		}
	}
	t.Run("changes one engine of a small pool at a time", func(t *testing.T) {
		orders := f.planner.PlanEngines(f.now, "a")
		assert.Equal(t, len(orders), 1)
		assert.Equal(t, orders[0].Endpoint, winch.EndpointID("e0"))
		assert.DeepEqual(t, orders[0].Load, []winch.EngineLoad{{Model: "chat", Version: "2"}})
	})
	t.Run("changes engines without the model first", func(t *testing.T) {
		f.planner.ObserveLoad(f.now, winch.LoadReport{Endpoint: "e3"})
		assert.Equal(t, f.planner.PlanEngines(f.now, "a")[0].Endpoint, winch.EndpointID("e3"))
	})
	t.Run("ignores old reports", func(t *testing.T) {
		assert.Equal(t, len(f.planner.PlanEngines(f.now.Add(time.Minute), "a")), 0)
	})
}
