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

// PrefillSettings tune a PrefillPlanner. A field that is zero has its default value.
type PrefillSettings struct {
	// PrefillShare is the share of time that an endpoint may spend on prompt prefill. During
	// prefill, the streams that the endpoint serves are slow.
	PrefillShare float64
	// PeakWindow is how long the highest demand is remembered.
	PeakWindow time.Duration
	// PrefillRate is the assumed prefill rate of an endpoint in prompt tokens per second,
	// until a measured rate is known.
	PrefillRate float64
	// FallbackRetention is how long steady fallback endpoints are kept after they are no longer needed.
	FallbackRetention time.Duration
}

const (
	defaultPrefillShare      = 0.25
	defaultPeakWindow        = time.Minute
	defaultPrefillRate       = 30_000
	defaultFallbackRetention = 2 * time.Second
)

// PrefillOptions are the dependencies and settings of a PrefillPlanner.
type PrefillOptions struct {
	Configurations winch.Configurations
	// Queues returns the demand. The dispatcher implements it.
	Queues winch.QueueSource
	// Endpoints returns the endpoints of all data centres.
	Endpoints winch.EndpointSource
	// Evacuations returns the evacuated data centres. It may be nil: then there are none.
	Evacuations winch.EvacuationSource
	Logger      hclog.Logger
	Settings    PrefillSettings
}

// PrefillPlanner plans the endpoints of models that have a Scaling in the configuration, for
// loads that are bound by prompt prefill. It implements winch.PlacementPlanner and is
// safe for concurrent use.
//
// Cheap endpoints normally serve all requests. Within the limits of the Scaling, their
// number covers the recent peak demand even when one data centre loses all of its cheap
// endpoints. When a data centre's cheap endpoints were reclaimed and the remaining
// endpoints cannot carry the current demand, steady endpoints are used as a fallback
// until cheap ones are available again. Until the demand is known, the endpoints that run at the
// first plan count as the need.
type PrefillPlanner struct {
	options PrefillOptions
	logger  hclog.Logger

	lock        sync.Mutex
	models      map[winch.ModelID]*modelDemand
	pools       map[winch.PoolID]*poolPlan
	evacuations evacuations
}

// poolPlan is what PrefillPlanner remembers of a pool.
type poolPlan struct {
	// count is the number of endpoints that were last ordered.
	count int
	// initial is the number of endpoints of this pool and of the model's other one at the first plan.
	initial int
	// maxReady is the highest number of ready endpoints since the count was last lowered.
	maxReady int
	// reclaimed means that endpoints were reclaimed and no new ones are available.
	reclaimed   bool
	reclaimedAt time.Time
	// fallbackNeed is the number of fallback endpoints needed, after smoothing, and
	// fallbackNeedAt when that many were last needed.
	fallbackNeed   int
	fallbackNeedAt time.Time
}

// unplanned is the count of a pool, and its initial one, before its first plan.
const unplanned = -1

var _ winch.PlacementPlanner = (*PrefillPlanner)(nil)

// NewPrefillPlanner returns a planner.
func NewPrefillPlanner(options PrefillOptions) (*PrefillPlanner, error) {
	if options.Configurations == nil || options.Queues == nil || options.Endpoints == nil || options.Logger == nil {
		return nil, errors.New("create planner: Configurations, Queues, Endpoints and Logger are required")
	}
	settings := &options.Settings
	settings.PrefillShare = cmp.Or(settings.PrefillShare, defaultPrefillShare)
	settings.PeakWindow = cmp.Or(settings.PeakWindow, defaultPeakWindow)
	settings.PrefillRate = cmp.Or(settings.PrefillRate, defaultPrefillRate)
	settings.FallbackRetention = cmp.Or(settings.FallbackRetention, defaultFallbackRetention)
	return &PrefillPlanner{
		options: options, logger: options.Logger.Named("planner"),
		models: map[winch.ModelID]*modelDemand{}, pools: map[winch.PoolID]*poolPlan{},
		evacuations: evacuations{source: options.Evacuations, seenAt: map[winch.DataCentreID]time.Time{}},
	}, nil
}

// Plan returns the desired number of endpoints for the data centre's pools. Each cheap
// pool precedes the steady one, so that cheap endpoints are ordered before steady ones
// are released. For an evacuated data centre it returns nothing.
func (p *PrefillPlanner) Plan(now time.Time, centre winch.DataCentreID, running []winch.OrderedEndpoint) []winch.PoolOrder {
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
	if slices.Contains(p.evacuations.update(now), centre) {
		return nil
	}
	orders := make([]winch.PoolOrder, 0, 2*len(models))
	for _, model := range models {
		counts := countEndpoints(now, configuration.ColdStarts[model], model, endpoints)
		demand := p.updateDemand(now, model, queues, counts)
		orders = append(orders, p.planModel(now, centre, configuration.Scalings[model], demand, counts, running)...)
	}
	return orders
}

// planModel returns the orders for the model's cheap and steady pool in the data centre.
func (p *PrefillPlanner) planModel(
	now time.Time, centre winch.DataCentreID, scaling winch.Scaling, demand *modelDemand, counts endpointCount, running []winch.OrderedEndpoint,
) []winch.PoolOrder {
	cheapPool := winch.ScalingPool(scaling.Model, centre, winch.SupplyCheap)
	steadyPool := winch.ScalingPool(scaling.Model, centre, winch.SupplySteady)
	cheap, steady := countReady(running, cheapPool), countReady(running, steadyPool)
	// A cold endpoint counts as running, so that nothing is ordered or given up because of it, but serves nothing yet.
	warmCheap, warmSteady := cheap-counts.coldIn(running, cheapPool), steady-counts.coldIn(running, steadyPool)
	centres := p.sitesOf(scaling, counts)
	cheapCount := min(centres.spread(wantedCheap(demand.peak, centres.all, scaling)), scaling.Max)
	steadyMin := p.minSteady(demand.peak, centres.left(), steady, scaling)
	reclaimed := p.updateReclaimed(now, cheapPool, cheap, warmCheap, scaling.StartTime)
	// demand.now is in endpoints at PrefillSettings.PrefillShare. Fewer are needed at fallbackUse.
	steadyCount := p.smoothFallback(now, steadyPool, fallbackNeeded(demand.now*p.options.Settings.PrefillShare/fallbackUse, counts.ready-steady))
	// While endpoints are cold, running steady ones stay in their place.
	kept := max(steadyCount, fallbackNeeded(demand.now*p.options.Settings.PrefillShare/fallbackUse, counts.ready-len(counts.cold)-warmSteady))
	if !demand.known(now) {
		cheapCount = max(cheapCount, min(p.initialCount(cheapPool, running, steadyPool), scaling.Max))
	}
	switch {
	case reclaimed:
		// The steady count is not lowered in a reclaim. It is capped so that one cheap endpoint
		// stays ordered: its start shows that cheap endpoints are available again.
		steadyCount = min(max(steadyCount, p.pool(steadyPool).count), scaling.Max-1)
	case warmCheap < cheapCount:
		// Running steady endpoints are kept until the cheap ones are ready, as far as
		// the maximum permits.
		steadyCount = min(steady, max(kept, scaling.Max-cheapCount))
	default:
		// All wanted cheap endpoints are ready. Steady ones are removed when they are not needed,
		// but none are added.
		steadyCount = min(steady, kept)
	}
	// Steady endpoints go before cheap ones within scaling.Max, and make up what cheap ones
	// lack to scaling.Min.
	steadyCount = max(steadyCount, steadyMin)
	cheapCount = min(cheapCount, scaling.Max-steadyCount)
	steadyCount = max(steadyCount, scaling.Min-cheapCount)
	p.recordPlan(cheapPool, cheapCount, demand)
	p.recordPlan(steadyPool, steadyCount, demand)
	return []winch.PoolOrder{
		{Pool: cheapPool, Model: scaling.Model, Supply: winch.SupplyCheap, Count: cheapCount},
		{Pool: steadyPool, Model: scaling.Model, Supply: winch.SupplySteady, Count: steadyCount},
	}
}

const (
	// minCheap is the number of cheap endpoints to keep in each data centre, to absorb
	// the start of a burst until more endpoints have started, as far as Scaling.Max permits.
	minCheap = 8
	// fallbackUse is the share of time that an endpoint may spend on prompt prefill
	// before steady endpoints are added as a fallback. It is higher than
	// PrefillSettings.PrefillShare, since steady endpoints are expensive and a reclaim is short.
	fallbackUse = 0.7
)

// wantedCheap returns the number of cheap endpoints for each data centre. It is high
// enough that the other data centres carry the demand when one loses all of its own.
func wantedCheap(demand float64, centres int, scaling winch.Scaling) int {
	cheapCount := int(math.Ceil(demand / float64(max(1, centres-1))))
	return min(max(cheapCount, scaling.Min, minCheap), scaling.Max)
}

// minSteady returns the number of steady endpoints that a data centre always has. With
// several data centres it is 0, since the others compensate for the loss of its cheap
// endpoints. With only one, steady endpoints must carry the peak by themselves.
func (p *PrefillPlanner) minSteady(peak float64, centres, steady int, scaling winch.Scaling) int {
	if centres > 1 {
		return 0
	}
	need := int(math.Ceil(peak * p.options.Settings.PrefillShare / fallbackUse))
	if peak == 0 {
		// Before the first demand, the running steady endpoints are kept.
		need = steady
	}
	return min(max(need, scaling.Min), scaling.Max-1)
}

// fallbackNeeded returns how many steady endpoints the demand needs in addition to the
// other ready endpoints.
func fallbackNeeded(demand float64, other int) int { return max(0, int(math.Ceil(demand))-other) }

// updateReclaimed reports whether the pool's cheap endpoints were reclaimed and no new
// ones are available. This state begins when at most half of the highest number of
// ready endpoints is left although the ordered count was not lowered. It ends when all
// ordered endpoints are ready again and warm, and not before startTime has passed.
func (p *PrefillPlanner) updateReclaimed(now time.Time, id winch.PoolID, ready, warm int, startTime time.Duration) bool {
	state := p.pool(id)
	state.maxReady = max(state.maxReady, ready)
	switch {
	case state.reclaimed && state.count > 0 && warm >= state.count && now.Sub(state.reclaimedAt) > startTime:
		state.reclaimed, state.maxReady = false, ready
	case !state.reclaimed && 2*ready <= state.maxReady && state.maxReady > 0 && state.count >= state.maxReady:
		state.reclaimed, state.reclaimedAt = true, now
	case !state.reclaimed && state.count < state.maxReady:
		// The ordered count was lowered, so that fewer ready endpoints are no reclaim.
		state.maxReady = max(ready, state.count)
	}
	return state.reclaimed
}

// initialCount returns the number of endpoints of the two pools when they were first planned. Until the demand is known, it is
// the best estimate of what is needed.
func (p *PrefillPlanner) initialCount(cheapPool winch.PoolID, running []winch.OrderedEndpoint, steadyPool winch.PoolID) int {
	state := p.pool(cheapPool)
	if state.initial == unplanned {
		state.initial = countReady(running, cheapPool) + countReady(running, steadyPool)
	}
	return state.initial
}

// smoothFallback returns the number of fallback endpoints to keep. A higher need takes
// effect at once, a lower one only after PrefillSettings.FallbackRetention, so that the number does
// not follow every short fluctuation of the demand.
func (p *PrefillPlanner) smoothFallback(now time.Time, id winch.PoolID, need int) int {
	state := p.pool(id)
	if need >= state.fallbackNeed || now.Sub(state.fallbackNeedAt) > p.options.Settings.FallbackRetention {
		state.fallbackNeed, state.fallbackNeedAt = need, now
	}
	return state.fallbackNeed
}

func (p *PrefillPlanner) pool(id winch.PoolID) *poolPlan {
	state, found := p.pools[id]
	if !found {
		state = &poolPlan{count: unplanned, initial: unplanned}
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

// recordPlan stores the pool's count, and logs a change.
func (p *PrefillPlanner) recordPlan(id winch.PoolID, count int, demand *modelDemand) {
	state := p.pool(id)
	if state.count == count {
		return
	}
	p.logger.Info("pool planned", "Event", EventPoolPlanned, "Pool", string(id), "From", state.count, "To", count,
		"Demand", demand.now, "Peak", demand.peak, "TakenAway", state.reclaimed)
	state.count = count
}
