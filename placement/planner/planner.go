// Package planner decides how many endpoints of each pool to order, and which
// model, adapter and version the engines of a pool load.
//
// Planner plans the pools of the configuration. PrefillPlanner plans models that have a Scaling,
// whose load is bound by prompt prefill; its type describes how. The rest of this text is
// about Planner.
//
// The demand for a model is its running and queued requests. Endpoints that the
// configuration lists serve part of it, pools the rest. Steady pools cover the
// demand of the highest tier, so that this tier is still served when every cheap
// endpoint is lost. All other demand goes to cheap pools first; endpoints that they
// lack are ordered from other pools. The number of endpoints rises at once and
// falls only after the demand has been lower for Settings.LowerAfter.
//
// # Usage
//
//	p, err := planner.New(planner.Options{
//		Configurations: configurations, Queues: dispatcher, Logger: logger,
//	})
//	if err != nil {
//		return err
//	}
//	orders := p.Plan(clock.Now(), centre, running)
//
// Demand and capacity are measured in slots, that is in concurrent requests. Plan
// returns an order for every pool of the data centre, and no errors. Nothing is ordered
// for an evacuated data centre, whose demand the others share.
package planner

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/arbutuswinch/winch"
)

// Settings tune the plan. A field that is zero has its default value.
type Settings struct {
	// Headroom is the capacity to keep beyond the demand, as a share of the demand.
	Headroom float64
	// LowerAfter is how long the demand must have been lower before a pool shrinks.
	LowerAfter time.Duration
	// DeliverWithin is the time within which the ordered endpoints of a pool must be listed as
	// starting or ready.
	DeliverWithin time.Duration
	// SkipFor is how long demand is allocated to other pools after a pool did not have the
	// ordered endpoints in time.
	SkipFor time.Duration
	// RollShare is the share of a pool's engines that may change their model at the same time.
	RollShare float64
}

const (
	defaultHeadroom      = 0.25
	defaultLowerAfter    = 2 * time.Minute
	defaultDeliverWithin = 20 * time.Second
	defaultSkipFor       = 2 * time.Minute
	defaultRollShare     = 0.1
)

func (s Settings) withDefaults() Settings {
	if s.Headroom == 0 {
		s.Headroom = defaultHeadroom
	}
	if s.LowerAfter == 0 {
		s.LowerAfter = defaultLowerAfter
	}
	if s.DeliverWithin == 0 {
		s.DeliverWithin = defaultDeliverWithin
	}
	if s.SkipFor == 0 {
		s.SkipFor = defaultSkipFor
	}
	if s.RollShare == 0 {
		s.RollShare = defaultRollShare
	}
	return s
}

// Options are the dependencies and settings of a planner.
type Options struct {
	Configurations winch.Configurations
	// Queues returns the demand. The dispatcher implements it.
	Queues winch.QueueSource
	// Orders lists the ordered endpoints. Only PlanEngines needs it.
	Orders   winch.OrderedEndpoints
	Logger   hclog.Logger
	Settings Settings
}

// Planner implements winch.PlacementPlanner, winch.EnginePlanner and winch.LoadObserver.
type Planner struct {
	options Options
	logger  hclog.Logger

	lock  sync.Mutex
	pools map[winch.PoolID]*poolState
	// reported holds the newest report of each engine.
	reported map[winch.EndpointID]reportedModels
}

// New returns a planner.
func New(options Options) (*Planner, error) {
	switch {
	case options.Configurations == nil:
		return nil, errors.New("create planner: Configurations is missing")
	case options.Queues == nil:
		return nil, errors.New("create planner: Queues is missing")
	}
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	options.Settings = options.Settings.withDefaults()
	return &Planner{
		options: options, logger: options.Logger.Named("planner"),
		pools: map[winch.PoolID]*poolState{}, reported: map[winch.EndpointID]reportedModels{},
	}, nil
}

// Plan returns the desired number of endpoints for the pools of the data centre. For an evacuated one it returns nothing.
func (p *Planner) Plan(now time.Time, centre winch.DataCentreID, running []winch.OrderedEndpoint) []winch.PoolOrder {
	configuration := p.options.Configurations.Current()
	queues := p.options.Queues.Queues(now)
	p.lock.Lock()
	defer p.lock.Unlock()
	if _, evacuated := configuration.Evacuations[centre]; evacuated {
		return nil
	}
	pools := p.updatePools(now, configuration, centre, running)
	demands := demandByModel(configuration, centre, queues, running)
	wanted := map[winch.PoolID]int{}
	for model, demand := range demands {
		allocate(demand, poolsByCost(pools, model), p.options.Settings.Headroom, wanted)
	}
	orders := make([]winch.PoolOrder, 0, len(pools))
	for _, state := range pools {
		orders = append(orders, p.planPool(now, state, wanted[state.pool.ID], demands[state.pool.Model]))
	}
	return orders
}

// planPool updates the number of endpoints to order for the pool, and logs a change.
func (p *Planner) planPool(now time.Time, state *poolState, want int, demand demand) winch.PoolOrder {
	// The configuration may set Max below Min. Min then applies.
	want = min(max(want, state.pool.Min), max(state.pool.Max, state.pool.Min))
	before := state.count
	state.updateCount(now, want, p.options.Settings.LowerAfter)
	if state.count != before {
		p.logger.Info("pool planned", "Event", EventPoolPlanned, "Pool", string(state.pool.ID), "DataCentre", string(state.pool.DataCentre),
			"From", before, "To", state.count, "Running", state.running, "Demand", demand.total, "HighestTier", demand.highestTierSlots, "Static", demand.static)
	}
	return winch.PoolOrder{
		Pool: state.pool.ID, Model: state.pool.Model, Adapter: state.pool.Adapter, Version: state.pool.Version, Supply: state.pool.Supply, Count: state.count,
	}
}

// updatePools updates the state of the data centre's pools and returns it, sorted by pool id.
func (p *Planner) updatePools(now time.Time, configuration *winch.Configuration, centre winch.DataCentreID, running []winch.OrderedEndpoint) []*poolState {
	counts := map[winch.PoolID]int{}
	for _, endpoint := range running {
		if endpoint.State == winch.EndpointStarting || endpoint.State == winch.EndpointReady {
			counts[endpoint.Pool]++
		}
	}
	var pools []*poolState
	for id, pool := range configuration.Pools {
		if pool.DataCentre != centre {
			continue
		}
		state, found := p.pools[id]
		if !found {
			// After a change of the lease holder the count starts from the running endpoints.
			state = &poolState{count: max(counts[id], pool.Min)}
			p.pools[id] = state
		}
		state.pool, state.running = pool, counts[id]
		p.updateSkipped(now, state)
		pools = append(pools, state)
	}
	slices.SortFunc(pools, func(a, b *poolState) int {
		if a.pool.ID < b.pool.ID {
			return -1
		}
		return 1
	})
	return pools
}

// updateSkipped marks a pool as skipped, for the time SkipFor, once it has had too few
// endpoints for the time DeliverWithin. After that the pool has DeliverWithin again.
func (p *Planner) updateSkipped(now time.Time, state *poolState) {
	if state.running >= state.count {
		state.shortSince, state.skippedUntil = time.Time{}, time.Time{}
		return
	}
	if state.skipped(now) {
		return
	}
	if state.shortSince.IsZero() || !state.skippedUntil.IsZero() {
		state.shortSince, state.skippedUntil = now, time.Time{}
		return
	}
	if now.Sub(state.shortSince) >= p.options.Settings.DeliverWithin {
		state.skippedUntil = now.Add(p.options.Settings.SkipFor)
		p.logger.Warn("pool did not have the ordered endpoints in time", "Event", EventPoolSkipped, "Pool", string(state.pool.ID),
			"DataCentre", string(state.pool.DataCentre), "Ordered", state.count, "Running", state.running)
	}
}

// poolState is the planner's state of a pool. Times are zero when they do not apply.
type poolState struct {
	pool    winch.Pool
	count   int // ordered
	running int // starting or ready
	// lowSince is when the number wanted fell below count, and peakSinceLow the highest
	// number of endpoints wanted since then.
	lowSince     time.Time
	peakSinceLow int
	// shortSince is when running first was below count.
	shortSince time.Time
	// skippedUntil is the end of the time for which the pool is skipped. updateSkipped
	// resets it after that time, or earlier when all ordered endpoints run.
	skippedUntil time.Time
}

func (s *poolState) skipped(now time.Time) bool { return now.Before(s.skippedUntil) }

// updateCount raises the count at once. It lowers the count only when fewer endpoints have
// been wanted for the time lowerAfter, and then to the highest number wanted in that time.
func (s *poolState) updateCount(now time.Time, want int, lowerAfter time.Duration) {
	if want >= s.count {
		s.count, s.lowSince = want, time.Time{}
		return
	}
	if s.lowSince.IsZero() {
		s.lowSince, s.peakSinceLow = now, want
	}
	s.peakSinceLow = max(s.peakSinceLow, want)
	if now.Sub(s.lowSince) >= lowerAfter {
		s.count, s.lowSince = s.peakSinceLow, time.Time{}
	}
}

// maxCount returns the largest number of endpoints to plan for the pool. A skipped pool is
// limited to its running endpoints. updateSkipped must be called first, since it resets
// skippedUntil.
func (s *poolState) maxCount() int {
	if !s.skippedUntil.IsZero() {
		return min(s.running, s.pool.Max)
	}
	return s.pool.Max
}
