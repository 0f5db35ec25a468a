package planner

import (
	"cmp"
	"errors"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/arbutuswinch/winch"
)

// PromptsSettings tune a Prompts planner. The zero value of a field stands for its default.
type PromptsSettings struct {
	// Use is the share of its time for which an endpoint may read prompts: while it reads, the
	// streams that it serves are slow.
	Use float64
	// Peak is how long the highest demand counts.
	Peak time.Duration
	// Speed is how many tokens of prompts an endpoint reads in a second, until that is learnt.
	Speed float64
	// StandIn is how long steady endpoints stay that stand in for cheap ones, once there
	// are enough of those again.
	StandIn time.Duration
}

const (
	defaultUse     = 0.25
	defaultPeak    = time.Minute
	defaultSpeed   = 30_000
	defaultStandIn = 2 * time.Second
)

// PromptsOptions are what a Prompts planner needs.
type PromptsOptions struct {
	Configurations winch.Configurations
	// Queues tells the demand; the dispatcher does.
	Queues winch.QueueSource
	// Endpoints are those of all data centres.
	Endpoints winch.EndpointSource
	Logger    hclog.Logger
	Settings  PromptsSettings
}

// Prompts plans the endpoints of models that the configuration lets scale, for loads in
// which reading prompts binds. It implements winch.PlacementPlanner and is safe for
// concurrent use.
//
// Cheap endpoints carry all work. There are as many as the highest demand of late asks
// for when a whole data centre's are taken away, within the limits. Where they were taken
// away and the others are too few for the present demand, steady ones stand in until
// cheap ones are to be had again.
type Prompts struct {
	options PromptsOptions
	logger  hclog.Logger

	lock   sync.Mutex
	models map[winch.ModelID]*modelDemand
	pools  map[winch.PoolID]*poolPlan
}

// modelDemand is what a model's requests ask for, in endpoints.
type modelDemand struct {
	now    float64
	peak   float64
	peakAt time.Time
}

// poolPlan is what was planned for a pool.
type poolPlan struct {
	count int
	// maxReady is the most endpoints that ran since the pool was last given fewer.
	maxReady int
	// reclaimed says that the endpoints were taken away and are not to be had.
	reclaimed   bool
	reclaimedAt time.Time
	// fallback is the most stand-ins that were needed in the last while.
	fallback   int
	fallbackAt time.Time
}

// unplanned is the count of a pool before its first plan.
const unplanned = -1

var _ winch.PlacementPlanner = (*Prompts)(nil)

// NewPrompts returns a planner.
func NewPrompts(options PromptsOptions) (*Prompts, error) {
	if options.Configurations == nil || options.Queues == nil || options.Endpoints == nil || options.Logger == nil {
		return nil, errors.New("create planner: Configurations, Queues, Endpoints and Logger are needed")
	}
	settings := &options.Settings
	settings.Use = cmp.Or(settings.Use, defaultUse)
	settings.Peak = cmp.Or(settings.Peak, defaultPeak)
	settings.Speed = cmp.Or(settings.Speed, defaultSpeed)
	settings.StandIn = cmp.Or(settings.StandIn, defaultStandIn)
	return &Prompts{
		options: options, logger: options.Logger.Named("planner"),
		models: map[winch.ModelID]*modelDemand{}, pools: map[winch.PoolID]*poolPlan{},
	}, nil
}

// Plan returns the wanted end for the data centre's pools, the cheap ones first, so that
// their endpoints start before steady ones are given up.
func (p *Prompts) Plan(now time.Time, centre winch.DataCentreID, running []winch.OrderedEndpoint) []winch.PoolOrder {
	configuration := p.options.Configurations.Current()
	queues, endpoints := p.options.Queues.Queues(now), p.options.Endpoints.Endpoints()
	models := make([]winch.ModelID, 0, len(configuration.Scalings))
	for model, scaling := range configuration.Scalings {
		if len(scaling.DataCentres) == 0 || slices.Contains(scaling.DataCentres, centre) {
			models = append(models, model)
		}
	}
	slices.Sort(models)
	p.lock.Lock()
	defer p.lock.Unlock()
	orders := make([]winch.PoolOrder, 0, 2*len(models))
	for _, model := range models {
		demand := p.updateDemand(now, model, queues)
		orders = append(orders, p.planModel(now, centre, configuration.Scalings[model], demand, countEndpoints(model, endpoints), running)...)
	}
	return orders
}

// updateDemand takes the present demand for the model in.
func (p *Prompts) updateDemand(now time.Time, model winch.ModelID, queues []winch.QueueStatus) *modelDemand {
	d, found := p.models[model]
	if !found {
		d = &modelDemand{}
		p.models[model] = d
	}
	rate, speed := 0.0, p.options.Settings.Speed
	for _, status := range queues {
		if status.Model == model {
			rate += status.PromptRate
			if status.PromptSpeed > 0 {
				speed = status.PromptSpeed
			}
		}
	}
	d.now = rate / speed / p.options.Settings.Use
	if d.now >= d.peak || now.Sub(d.peakAt) > p.options.Settings.Peak {
		d.peak, d.peakAt = d.now, now
	}
	return d
}

// endpointCount is what runs of a model.
type endpointCount struct {
	// ready are the endpoints that take work, in all data centres.
	ready int
	// centres are the data centres in which the model has endpoints.
	centres int
}

func countEndpoints(model winch.ModelID, endpoints []winch.EndpointStatus) endpointCount {
	count, centres := endpointCount{}, map[winch.DataCentreID]bool{}
	for _, status := range endpoints {
		if !slices.Contains(status.Endpoint.Models, model) {
			continue
		}
		centres[status.Endpoint.DataCentre] = true
		if status.State == winch.EndpointReady {
			count.ready++
		}
	}
	count.centres = len(centres)
	return count
}

func (p *Prompts) planModel(
	now time.Time, centre winch.DataCentreID, scaling winch.Scaling, demand *modelDemand, counts endpointCount, running []winch.OrderedEndpoint,
) []winch.PoolOrder {
	cheapPool := winch.ScalingPool(scaling.Model, centre, winch.SupplyCheap)
	steadyPool := winch.ScalingPool(scaling.Model, centre, winch.SupplySteady)
	cheap, steady := countReady(running, cheapPool), countReady(running, steadyPool)
	centres := max(len(scaling.DataCentres), counts.centres)
	cheapCount := wantedCheap(demand.peak, centres, scaling)
	permanent := p.minSteady(demand.peak, centres, steady, scaling)
	reclaimed := p.updateReclaimed(now, cheapPool, cheap, scaling.StartTime)
	fallbackCount := p.smoothFallback(now, steadyPool, fallbackNeeded(demand.now*p.options.Settings.Use/fallbackUse, counts.ready-steady))
	switch {
	case reclaimed:
		// One cheap endpoint stays ordered: its start tells that there are some again.
		fallbackCount = min(max(fallbackCount, p.pool(steadyPool).count), scaling.Max-1)
	case cheap < cheapCount:
		// What runs already waits for the cheap ones as far as there is room beside them.
		fallbackCount = min(steady, max(fallbackCount, scaling.Max-cheapCount))
	default:
		fallbackCount = min(steady, fallbackCount)
	}
	fallbackCount = max(fallbackCount, permanent)
	cheapCount = min(cheapCount, scaling.Max-fallbackCount)
	fallbackCount = max(fallbackCount, scaling.Min-cheapCount)
	p.recordPlan(cheapPool, cheapCount, demand)
	p.recordPlan(steadyPool, fallbackCount, demand)
	return []winch.PoolOrder{
		{Pool: cheapPool, Model: scaling.Model, Supply: winch.SupplyCheap, Count: cheapCount},
		{Pool: steadyPool, Model: scaling.Model, Supply: winch.SupplySteady, Count: fallbackCount},
	}
}

const (
	// minCheap is the number of cheap endpoints in each data centre that bear the begin of a
	// burst, until others have started.
	minCheap = 8
	// fallbackUse is the share of its time for which an endpoint may read prompts before
	// steady ones stand in: more than is planned for, since they are dear and a reclaim is short.
	fallbackUse = 0.7
)

// wantedCheap returns how many cheap endpoints each data centre has, so that the others
// carry the demand when one loses all of its.
func wantedCheap(demand float64, centres int, scaling winch.Scaling) int {
	cheapCount := int(math.Ceil(demand / float64(max(1, centres-1))))
	return min(max(cheapCount, scaling.Min, minCheap), scaling.Max)
}

// minSteady returns how many steady endpoints a data centre always has: none where others
// bear the loss of its cheap ones, and in the only one as many as carry the peak by themselves.
func (p *Prompts) minSteady(peak float64, centres, steady int, scaling winch.Scaling) int {
	if centres > 1 {
		return 0
	}
	need := int(math.Ceil(peak * p.options.Settings.Use / fallbackUse))
	if peak == 0 {
		// Before any demand was seen, what runs stays.
		need = steady
	}
	return min(max(need, scaling.Min), scaling.Max-1)
}

// fallbackNeeded returns how many steady endpoints the demand asks for beside the ready ones.
func fallbackNeeded(demand float64, ready int) int { return max(0, int(math.Ceil(demand))-ready) }

// updateReclaimed tells whether the pool's cheap endpoints were taken away and are not to be had:
// half of them went, and since then none could have started.
func (p *Prompts) updateReclaimed(now time.Time, pool winch.PoolID, ready int, startTime time.Duration) bool {
	state := p.pool(pool)
	state.maxReady = max(state.maxReady, ready)
	switch {
	case state.reclaimed && state.count > 0 && ready >= state.count && now.Sub(state.reclaimedAt) > startTime:
		state.reclaimed, state.maxReady = false, ready
	case !state.reclaimed && 2*ready <= state.maxReady && state.maxReady > 0 && state.count >= state.maxReady:
		state.reclaimed, state.reclaimedAt = true, now
	case !state.reclaimed && state.count < state.maxReady:
		state.maxReady = max(ready, state.count)
	}
	return state.reclaimed
}

// smoothFallback returns the most that was needed in the last while, so that stand-ins do not come
// and go with each second's demand.
func (p *Prompts) smoothFallback(now time.Time, pool winch.PoolID, need int) int {
	state := p.pool(pool)
	if need >= state.fallback || now.Sub(state.fallbackAt) > p.options.Settings.StandIn {
		state.fallback, state.fallbackAt = need, now
	}
	return state.fallback
}

func (p *Prompts) pool(id winch.PoolID) *poolPlan {
	state, found := p.pools[id]
	if !found {
		state = &poolPlan{count: unplanned}
		p.pools[id] = state
	}
	return state
}

func countReady(running []winch.OrderedEndpoint, pool winch.PoolID) int {
	count := 0
	for _, endpoint := range running {
		if endpoint.Pool == pool && endpoint.State == winch.EndpointReady {
			count++
		}
	}
	return count
}

// recordPlan keeps the pool's count, and logs a change of it.
func (p *Prompts) recordPlan(pool winch.PoolID, count int, demand *modelDemand) {
	state := p.pool(pool)
	if state.count == count {
		return
	}
	p.logger.Info("pool planned", "Event", EventPoolPlanned, "Pool", string(pool), "From", state.count, "To", count,
		"Demand", demand.now, "Peak", demand.peak, "TakenAway", state.reclaimed)
	state.count = count
}
