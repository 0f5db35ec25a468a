package planner

import (
	"math"
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
)

// reportedModels are the models of an engine, and when it told of them.
type reportedModels struct {
	models []winch.LoadedModel
	at     time.Time
}

// maxReportAge is how long an engine's report is believed.
const maxReportAge = 30 * time.Second

// ObserveLoad notes what an engine holds.
func (p *Planner) ObserveLoad(now time.Time, report winch.LoadReport) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.reported[report.Endpoint] = reportedModels{models: report.Models, at: now}
	for id, reported := range p.reported {
		if now.Sub(reported.at) > 2*maxReportAge {
			delete(p.reported, id)
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
	sizes, pending := map[winch.PoolID]int{}, map[winch.PoolID][]engineChange{}
	for _, endpoint := range p.options.Orders.Current() {
		pool, found := configuration.Pools[endpoint.Pool]
		if !found || endpoint.DataCentre != centre || endpoint.State != winch.EndpointReady {
			continue
		}
		sizes[pool.ID]++
		reported, found := p.reported[endpoint.ID]
		if !found || now.Sub(reported.at) > maxReportAge {
			continue
		}
		if change, isNeeded := requiredChange(pool, endpoint, reported.models); isNeeded {
			pending[pool.ID] = append(pending[pool.ID], change)
		}
	}
	var changes []engineChange
	for id, candidates := range pending {
		limit := max(1, int(math.Floor(float64(sizes[id])*p.options.Settings.RollShare)))
		slices.SortFunc(candidates, compareChanges)
		changes = append(changes, candidates[:min(limit, len(candidates))]...)
	}
	slices.SortFunc(changes, compareChanges)
	orders := make([]winch.EngineOrder, 0, len(changes))
	for _, change := range changes {
		orders = append(orders, change.order)
	}
	return orders
}

// engineChange is an engine that should hold something else.
type engineChange struct {
	order winch.EngineOrder
	// modelMissing says that the engine does not hold the model at all, so that it serves nothing.
	modelMissing bool
}

func compareChanges(a, b engineChange) int {
	switch {
	case a.modelMissing != b.modelMissing && a.modelMissing:
		return -1
	case a.modelMissing != b.modelMissing:
		return 1
	case a.order.Endpoint < b.order.Endpoint:
		return -1
	}
	return 1
}

// requiredChange compares what the engine holds with what its pool says. A pool without
// version or adapter takes any.
func requiredChange(pool winch.Pool, endpoint winch.OrderedEndpoint, reported []winch.LoadedModel) (engineChange, bool) {
	modelMissing := true
	for _, loaded := range reported {
		if loaded.Model != pool.Model {
			continue
		}
		modelMissing = false
		if (pool.Version == "" || loaded.Version == pool.Version) && (pool.Adapter == "" || loaded.Adapter == pool.Adapter) {
			return engineChange{}, false
		}
	}
	wanted := winch.EngineLoad{Model: pool.Model, Adapter: pool.Adapter, Version: pool.Version}
	order := winch.EngineOrder{Endpoint: endpoint.ID, Address: endpoint.Address, Load: []winch.EngineLoad{wanted}}
	return engineChange{order: order, modelMissing: modelMissing}, true
}
