// Package planner decides how many endpoints of each pool to order, and which
// model, adapter and version the engines of a pool hold.
//
// Demand is what runs and what waits, by model; endpoints of the configuration
// serve a part of it, pools the rest. Steady pools cover the demand of the highest
// tier, so that it survives the loss of every cheap endpoint; cheap pools come
// first for all else, and what they do not deliver is ordered from others. Counts rise at
// once and fall only after demand has been lower for a while.
//
// # Usage
//
//	p, err := planner.New(planner.Options{
//		Configurations: configurations, Queues: dispatcher, Clock: clock, Logger: logger,
//	})
//	if err != nil {
//		return err
//	}
//	orders := p.Plan(clock.Now(), centre, running)
//
// Demand and capacity are numbers of requests at once (slots). Plan returns no
// errors: a pool that it cannot judge is left as it is.
package planner

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/arbutuswinch/winch"
)

// Settings tune the plan. The zero value of a field stands for its default.
type Settings struct {
	// Headroom is the share of capacity kept beyond demand.
	Headroom float64
	// LowerAfter is how long demand must have been lower before a pool shrinks.
	LowerAfter time.Duration
	// DeliverWithin is how long a pool may take to deliver what was ordered.
	DeliverWithin time.Duration
	// PassOver is how long a pool that did not deliver is left out.
	PassOver time.Duration
	// RollShare is the share of a pool's engines that change their model at once.
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

// Options are what a planner needs.
type Options struct {
	Configurations winch.Configurations
	// Queues tells the demand; the dispatcher does.
	Queues winch.QueueSource
	// Orders is needed for PlanEngines only.
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
	// reported is what engines reported to hold.
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

// Plan returns the wanted end for the pools of the data centre.
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

// planPool settles the pool's count, and logs a change.
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

// updatePools returns the state of the data centre's pools, sorted by id.
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
			// A planner that takes over goes on from what runs.
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

// updateSkipped passes a pool over that has not delivered for too long.
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
		p.logger.Warn("pool does not deliver", "Event", EventPoolPassedOver, "Pool", string(s.pool.ID),
			"DataCentre", string(s.pool.DataCentre), "Ordered", s.count, "Running", s.running)
	}
}

// poolState is what the planner remembers of a pool.
type poolState struct {
	pool    winch.Pool
	count   int // ordered
	running int // starting or ready
	// lowSince is when demand fell below count, lowPeak the highest demand since.
	lowSince     time.Time
	peakSinceLow int
	shortSince   time.Time
	skippedUntil time.Time
}

func (s *poolState) skipped(now time.Time) bool { return now.Before(s.skippedUntil) }

// updateCount raises the count at once, and lowers it when demand was lower for long.
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

// maxCount is the most endpoints that the pool can be counted on for.
func (s *poolState) maxCount() int {
	if !s.skippedUntil.IsZero() {
		return min(s.running, s.pool.Max)
	}
	return s.pool.Max
}
