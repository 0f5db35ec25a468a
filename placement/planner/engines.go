package planner

import (
	"math"
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
)

// heldModels are the models of an engine, and when it told of them.
type heldModels struct {
	models []winch.LoadedModel
	at     time.Time
}

// heldRetention is how long an engine's report is believed.
const heldRetention = 30 * time.Second

// ObserveLoad notes what an engine holds.
func (p *Planner) ObserveLoad(now time.Time, report winch.LoadReport) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.held[report.Endpoint] = heldModels{models: report.Models, at: now}
	for id, held := range p.held {
		if now.Sub(held.at) > 2*heldRetention {
			delete(p.held, id)
		}
	}
}

// ObserveCache ignores cache events.
func (p *Planner) ObserveCache(time.Time, winch.CacheEvent) {}

// PlanEngines returns the engines that do not hold what their pool says: those
// that lack the model first, then those with another adapter or version. A pool's engines change a few
// at a time, so that the others go on serving.
func (p *Planner) PlanEngines(now time.Time, centre winch.DataCentreID) []winch.EngineOrder {
	if p.options.Orders == nil {
		return nil
	}
	configuration := p.options.Configurations.Current()
	p.lock.Lock()
	defer p.lock.Unlock()
	sizes, lacking := map[winch.PoolID]int{}, map[winch.PoolID][]engineNeed{}
	for _, endpoint := range p.options.Orders.Current() {
		pool, found := configuration.Pools[endpoint.Pool]
		if !found || endpoint.DataCentre != centre || endpoint.State != winch.EndpointReady {
			continue
		}
		sizes[pool.ID]++
		held, found := p.held[endpoint.ID]
		if !found || now.Sub(held.at) > heldRetention {
			continue
		}
		if need, lacks := needOf(pool, endpoint, held.models); lacks {
			lacking[pool.ID] = append(lacking[pool.ID], need)
		}
	}
	var needs []engineNeed
	for id, of := range lacking {
		few := max(1, int(math.Floor(float64(sizes[id])*p.options.Settings.RollShare)))
		slices.SortFunc(of, compareNeeds)
		needs = append(needs, of[:min(few, len(of))]...)
	}
	slices.SortFunc(needs, compareNeeds)
	orders := make([]winch.EngineOrder, 0, len(needs))
	for _, need := range needs {
		orders = append(orders, need.order)
	}
	return orders
}

// engineNeed is an engine that should hold something else.
type engineNeed struct {
	order winch.EngineOrder
	// idle says that the engine does not hold the model at all, so that it serves nothing.
	idle bool
}

func compareNeeds(a, b engineNeed) int {
	switch {
	case a.idle != b.idle && a.idle:
		return -1
	case a.idle != b.idle:
		return 1
	case a.order.Endpoint < b.order.Endpoint:
		return -1
	}
	return 1
}

// needOf compares what the engine holds with what its pool says. A pool without
// version or adapter takes any.
func needOf(pool winch.Pool, endpoint winch.OrderedEndpoint, held []winch.LoadedModel) (engineNeed, bool) {
	idle := true
	for _, loaded := range held {
		if loaded.Model != pool.Model {
			continue
		}
		idle = false
		if (pool.Version == "" || loaded.Version == pool.Version) && (pool.Adapter == "" || loaded.Adapter == pool.Adapter) {
			return engineNeed{}, false
		}
	}
	wanted := winch.EngineLoad{Model: pool.Model, Adapter: pool.Adapter, Version: pool.Version}
	order := winch.EngineOrder{Endpoint: endpoint.ID, Address: endpoint.Address, Load: []winch.EngineLoad{wanted}}
	return engineNeed{order: order, idle: idle}, true
}
