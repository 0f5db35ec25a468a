package planner

import (
	"math"
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
)

// reportedModels are the models that an engine last reported as loaded, and when.
type reportedModels struct {
	models []winch.LoadedModel
	at     time.Time
}

// maxReportAge is the age up to which an engine's report is used.
const maxReportAge = 30 * time.Second

// ObserveLoad records the models that an engine has loaded.
func (p *Planner) ObserveLoad(now time.Time, report winch.LoadReport) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.reported[report.Endpoint] = reportedModels{models: report.Models, at: now}
	for id, reported := range p.reported {
		// PlanEngines ignores reports from maxReportAge on, before they are deleted.
		if now.Sub(reported.at) > 2*maxReportAge {
			delete(p.reported, id)
		}
	}
}

// ObserveCache ignores cache events.
func (p *Planner) ObserveCache(time.Time, winch.CacheEvent) {}

// PlanEngines returns orders for the engines that have not loaded what their pool
// specifies: first those without the model, then those with another adapter or
// version. Only a share of a pool's engines is changed at a time, so that the
// others continue to serve. Engines in an evacuated data centre get none.
func (p *Planner) PlanEngines(now time.Time, centre winch.DataCentreID) []winch.EngineOrder {
	if p.options.Orders == nil {
		return nil
	}
	configuration := p.options.Configurations.Current()
	if _, evacuated := configuration.Evacuations[centre]; evacuated {
		return nil
	}
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
		// Nothing records which engines are changing. Sorting puts the same engines first
		// until they report the change.
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

// engineChange is an order for an engine that has to load something else.
type engineChange struct {
	order winch.EngineOrder
	// modelMissing means that the engine has not loaded the pool's model in any
	// version, so that it serves nothing.
	modelMissing bool
}

// compareChanges sorts engines without the model first, then by endpoint id.
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

// requiredChange compares what the engine has loaded with what its pool specifies,
// and reports whether they differ. A pool without a version or an adapter accepts any.
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
