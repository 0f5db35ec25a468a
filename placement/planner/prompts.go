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
	models map[winch.ModelID]*promptsDemand
	pools  map[winch.PoolID]*promptsPool
}

// promptsDemand is what a model's requests ask for, in endpoints.
type promptsDemand struct {
	now    float64
	peak   float64
	peakAt time.Time
}

// promptsPool is what was planned for a pool.
type promptsPool struct {
	count int
	// high is the most endpoints that ran since the pool was last given fewer.
	high int
	// taken says that the endpoints were taken away and are not to be had.
	taken   bool
	takenAt time.Time
	// held is the most stand-ins that were needed in the last while.
	held   int
	heldAt time.Time
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
		models: map[winch.ModelID]*promptsDemand{}, pools: map[winch.PoolID]*promptsPool{},
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
		demand := p.demand(now, model, queues)
		orders = append(orders, p.planModel(now, centre, configuration.Scalings[model], demand, countModel(model, endpoints), running)...)
	}
	return orders
}

// demand takes the present demand for the model in.
func (p *Prompts) demand(now time.Time, model winch.ModelID, queues []winch.QueueStatus) *promptsDemand {
	d, found := p.models[model]
	if !found {
		d = &promptsDemand{}
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

// modelCount is what runs of a model.
type modelCount struct {
	// ready are the endpoints that take work, in all data centres.
	ready int
	// centres are the data centres in which the model has endpoints.
	centres int
}

func countModel(model winch.ModelID, endpoints []winch.EndpointStatus) modelCount {
	count, centres := modelCount{}, map[winch.DataCentreID]bool{}
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
	now time.Time, centre winch.DataCentreID, scaling winch.Scaling, demand *promptsDemand, all modelCount, running []winch.OrderedEndpoint,
) []winch.PoolOrder {
	cheapPool := winch.ScalingPool(scaling.Model, centre, winch.SupplyCheap)
	steadyPool := winch.ScalingPool(scaling.Model, centre, winch.SupplySteady)
	cheap, steady := countReady(running, cheapPool), countReady(running, steadyPool)
	centres := max(len(scaling.DataCentres), all.centres)
	want := wantedCheap(demand.peak, centres, scaling)
	base := p.baseSteady(demand.peak, centres, steady, scaling)
	taken := p.takenAway(now, cheapPool, cheap, scaling.StartTime)
	standIn := p.hold(now, steadyPool, standIns(demand.now*p.options.Settings.Use/standInUse, all.ready-steady))
	switch {
	case taken:
		// One cheap endpoint stays ordered: its start tells that there are some again.
		standIn = min(max(standIn, p.pool(steadyPool).count), scaling.Max-1)
	case cheap < want:
		// What runs already waits for the cheap ones as far as there is room beside them.
		standIn = min(steady, max(standIn, scaling.Max-want))
	default:
		standIn = min(steady, standIn)
	}
	standIn = max(standIn, base)
	want = min(want, scaling.Max-standIn)
	standIn = max(standIn, scaling.Min-want)
	p.note(cheapPool, want, demand)
	p.note(steadyPool, standIn, demand)
	return []winch.PoolOrder{
		{Pool: cheapPool, Model: scaling.Model, Supply: winch.SupplyCheap, Count: want},
		{Pool: steadyPool, Model: scaling.Model, Supply: winch.SupplySteady, Count: standIn},
	}
}

const (
	// leastCheap is the number of cheap endpoints in each data centre that bear the begin of a
	// burst, until others have started.
	leastCheap = 8
	// standInUse is the share of its time for which an endpoint may read prompts before
	// steady ones stand in: more than is planned for, since they are dear and a reclaim is short.
	standInUse = 0.7
)

// wantedCheap returns how many cheap endpoints each data centre has, so that the others
// carry the demand when one loses all of its.
func wantedCheap(demand float64, centres int, scaling winch.Scaling) int {
	want := int(math.Ceil(demand / float64(max(1, centres-1))))
	return min(max(want, scaling.Min, leastCheap), scaling.Max)
}

// baseSteady returns how many steady endpoints a data centre always has: none where others
// bear the loss of its cheap ones, and in the only one as many as carry the peak by themselves.
func (p *Prompts) baseSteady(peak float64, centres, steady int, scaling winch.Scaling) int {
	if centres > 1 {
		return 0
	}
	need := int(math.Ceil(peak * p.options.Settings.Use / standInUse))
	if peak == 0 {
		// Before any demand was seen, what runs stays.
		need = steady
	}
	return min(max(need, scaling.Min), scaling.Max-1)
}

// standIns returns how many steady endpoints the demand asks for beside the ready ones.
func standIns(demand float64, ready int) int { return max(0, int(math.Ceil(demand))-ready) }

// takenAway tells whether the pool's cheap endpoints were taken away and are not to be had:
// half of them went, and since then none could have started.
func (p *Prompts) takenAway(now time.Time, pool winch.PoolID, ready int, startTime time.Duration) bool {
	state := p.pool(pool)
	state.high = max(state.high, ready)
	switch {
	case state.taken && state.count > 0 && ready >= state.count && now.Sub(state.takenAt) > startTime:
		state.taken, state.high = false, ready
	case !state.taken && 2*ready <= state.high && state.high > 0 && state.count >= state.high:
		state.taken, state.takenAt = true, now
	case !state.taken && state.count < state.high:
		state.high = max(ready, state.count)
	}
	return state.taken
}

// hold returns the most that was needed in the last while, so that stand-ins do not come
// and go with each second's demand.
func (p *Prompts) hold(now time.Time, pool winch.PoolID, need int) int {
	state := p.pool(pool)
	if need >= state.held || now.Sub(state.heldAt) > p.options.Settings.StandIn {
		state.held, state.heldAt = need, now
	}
	return state.held
}

func (p *Prompts) pool(id winch.PoolID) *promptsPool {
	state, found := p.pools[id]
	if !found {
		state = &promptsPool{count: unplanned}
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

// note keeps the pool's count, and logs a change of it.
func (p *Prompts) note(pool winch.PoolID, count int, demand *promptsDemand) {
	state := p.pool(pool)
	if state.count == count {
		return
	}
	p.logger.Info("pool planned", "Event", EventPoolPlanned, "Pool", string(pool), "From", state.count, "To", count,
		"Demand", demand.now, "Peak", demand.peak, "TakenAway", state.taken)
	state.count = count
}
