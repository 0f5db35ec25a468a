package planner

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/arbutuswinch/winch"
)

// PromptsSettings tune a Prompts planner. The zero value of a field stands for its default.
type PromptsSettings struct {
	// Steady is the number of steady endpoints in each data centre, which bear the loss of the
	// cheap ones of another.
	Steady int
	// Cheap is the number of cheap ones.
	Cheap int
}

const (
	defaultSteady = 1
	defaultCheap  = 5
)

// PromptsOptions are what a Prompts planner needs.
type PromptsOptions struct {
	Configurations winch.Configurations
	Logger         hclog.Logger
	Settings       PromptsSettings
}

// Prompts plans the endpoints of models that the configuration lets scale. It implements
// winch.PlacementPlanner and is safe for concurrent use.
type Prompts struct {
	options PromptsOptions
	logger  hclog.Logger

	lock sync.Mutex
	// planned are the counts that were planned last.
	planned map[winch.PoolID]int
}

var _ winch.PlacementPlanner = (*Prompts)(nil)

// NewPrompts returns a planner.
func NewPrompts(options PromptsOptions) (*Prompts, error) {
	if options.Configurations == nil || options.Logger == nil {
		return nil, errors.New("create planner: Configurations and Logger are needed")
	}
	options.Settings.Steady = cmp.Or(options.Settings.Steady, defaultSteady)
	options.Settings.Cheap = cmp.Or(options.Settings.Cheap, defaultCheap)
	return &Prompts{options: options, logger: options.Logger.Named("planner"), planned: map[winch.PoolID]int{}}, nil
}

// Plan returns the wanted end for the data centre's pools, the cheap ones first, so that
// their endpoints start before steady ones are given up.
func (p *Prompts) Plan(now time.Time, centre winch.DataCentreID, running []winch.OrderedEndpoint) []winch.PoolOrder {
	configuration := p.options.Configurations.Current()
	models := make([]winch.ModelID, 0, len(configuration.Scalings))
	for model, scaling := range configuration.Scalings {
		if _, offered := scaling.Costs[centre]; offered || len(scaling.Costs) == 0 {
			models = append(models, model)
		}
	}
	slices.Sort(models)
	p.lock.Lock()
	defer p.lock.Unlock()
	orders := make([]winch.PoolOrder, 0, 2*len(models))
	for _, model := range models {
		orders = append(orders, p.planModel(now, centre, configuration.Scalings[model], running)...)
	}
	return orders
}

func (p *Prompts) planModel(_ time.Time, centre winch.DataCentreID, scaling winch.Scaling, running []winch.OrderedEndpoint) []winch.PoolOrder {
	steady := min(p.options.Settings.Steady, scaling.Max)
	cheap := min(p.options.Settings.Cheap, scaling.Max-steady)
	if steady+cheap < scaling.Min {
		steady = scaling.Min - cheap
	}
	cheapPool := winch.ScalingPool(scaling.Model, centre, winch.SupplyCheap)
	steadyPool := winch.ScalingPool(scaling.Model, centre, winch.SupplySteady)
	// Steady endpoints go only as far as cheap ones have come.
	ready := countReady(running, cheapPool)
	if have := countReady(running, steadyPool); ready < cheap && have > steady {
		steady = max(steady, min(have, scaling.Max-cheap, have-ready))
	}
	p.note(cheapPool, cheap)
	p.note(steadyPool, steady)
	return []winch.PoolOrder{
		{Pool: cheapPool, Model: scaling.Model, Supply: winch.SupplyCheap, Count: cheap},
		{Pool: steadyPool, Model: scaling.Model, Supply: winch.SupplySteady, Count: steady},
	}
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

// note logs a change of a pool's count.
func (p *Prompts) note(pool winch.PoolID, count int) {
	before, found := p.planned[pool]
	if found && before == count {
		return
	}
	p.planned[pool] = count
	p.logger.Info("pool planned", "Event", EventPoolPlanned, "Pool", string(pool), "From", before, "To", count)
}
