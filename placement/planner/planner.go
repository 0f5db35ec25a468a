// Package planner decides how many endpoints of each pool to order, and which
// model, adapter and version the engines of a pool load.
//
// The demand for a model is its running and queued requests. Endpoints that the
// configuration lists serve part of it, pools the rest. Steady pools cover the
// demand of the highest tier, so that this tier is still served when every cheap
// endpoint is lost. All other demand goes to cheap pools first; what they do not
// deliver is ordered from other pools. The number of endpoints rises at once and
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
// returns no errors; a pool for which it cannot decide is left unchanged.
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
	// DeliverWithin is the time within which a pool must deliver the ordered endpoints.
	DeliverWithin time.Duration
	// PassOver is how long a pool that did not deliver in time gets no further endpoints.
	PassOver time.Duration
	// RollShare is the share of a pool's engines that may change their model at the same time.
	RollShare float64
}

const (
	defaultHeadroom      = 0.25
	defaultLowerAfter    = 2 * time.Minute
	defaultDeliverWithin = 20 * time.Second
	defaultPassOver      = 2 * time.Minute
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
	if s.PassOver == 0 {
		s.PassOver = defaultPassOver
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

// Plan returns the desired number of endpoints for the pools of the data centre.
func (p *Planner) Plan(now time.Time, centre winch.DataCentreID, running []winch.OrderedEndpoint) []winch.PoolOrder {
	configuration := p.options.Configurations.Current()
	queues := p.options.Queues.Queues(now)
	p.lock.Lock()
	defer p.lock.Unlock()
	pools := p.updatePools(now, configuration, centre, running)
	demands := demandByModel(configuration, centre, queues, running)
	wanted := map[winch.PoolID]int{}
	for model, demand := range demands {
		allocate(demand, poolsByCost(pools, model), p.options.Settings.Headroom, wanted)
	}
	orders := make([]winch.PoolOrder, 0, len(pools))
	for _, s := range pools {
		orders = append(orders, p.planPool(now, s, wanted[s.pool.ID], demands[s.pool.Model]))
	}
	return orders
}

// planPool updates the number of endpoints to order for the pool, and logs a change.
func (p *Planner) planPool(now time.Time, s *poolState, want int, demand demand) winch.PoolOrder {
	want = min(max(want, s.pool.Min), max(s.pool.Max, s.pool.Min))
	before := s.count
	s.updateCount(now, want, p.options.Settings.LowerAfter)
	if s.count != before {
		p.logger.Info("pool planned", "Event", EventPoolPlanned, "Pool", string(s.pool.ID), "DataCentre", string(s.pool.DataCentre),
			"From", before, "To", s.count, "Running", s.running, "Demand", demand.total, "HighestTier", demand.highestTier, "Static", demand.static)
	}
	return winch.PoolOrder{
		Pool: s.pool.ID, Model: s.pool.Model, Adapter: s.pool.Adapter, Version: s.pool.Version, Supply: s.pool.Supply, Count: s.count,
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
		s, found := p.pools[id]
		if !found {
			// After a change of the process in charge the count starts from the running endpoints.
			s = &poolState{count: max(counts[id], pool.Min)}
			p.pools[id] = s
		}
		s.pool, s.running = pool, counts[id]
		p.updateSkipped(now, s)
		pools = append(pools, s)
	}
	slices.SortFunc(pools, func(a, b *poolState) int {
		if a.pool.ID < b.pool.ID {
			return -1
		}
		return 1
	})
	return pools
}

// updateSkipped excludes a pool for PassOver when it has had fewer endpoints than
// ordered for DeliverWithin.
func (p *Planner) updateSkipped(now time.Time, s *poolState) {
	if s.running >= s.count {
		s.shortSince, s.skippedUntil = time.Time{}, time.Time{}
		return
	}
	if s.skipped(now) {
		return
	}
	if s.shortSince.IsZero() || !s.skippedUntil.IsZero() {
		s.shortSince, s.skippedUntil = now, time.Time{}
		return
	}
	if now.Sub(s.shortSince) >= p.options.Settings.DeliverWithin {
		s.skippedUntil = now.Add(p.options.Settings.PassOver)
		p.logger.Warn("pool did not deliver ordered endpoints in time", "Event", EventPoolPassedOver, "Pool", string(s.pool.ID),
			"DataCentre", string(s.pool.DataCentre), "Ordered", s.count, "Running", s.running)
	}
}

// poolState is the planner's state of a pool. Times are zero when they do not apply.
type poolState struct {
	pool    winch.Pool
	count   int // ordered
	running int // starting or ready
	// lowSince is when the demand fell below count, and peakSinceLow the highest
	// number of endpoints wanted since then.
	lowSince     time.Time
	peakSinceLow int
	// shortSince is when running first was below count.
	shortSince time.Time
	// skippedUntil is when a pool that did not deliver is tried again. It remains set
	// until then, or until the pool delivers.
	skippedUntil time.Time
}

func (s *poolState) skipped(now time.Time) bool { return now.Before(s.skippedUntil) }

// updateCount raises the count at once, and lowers it to the highest number wanted
// in the last lowerAfter, once the number wanted was below the count all that time.
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

// maxCount returns the number of endpoints up to which demand is allocated to the
// pool: for a skipped pool, no more than are running.
func (s *poolState) maxCount() int {
	if !s.skippedUntil.IsZero() {
		return min(s.running, s.pool.Max)
	}
	return s.pool.Max
}
