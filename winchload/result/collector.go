package result

import (
	"math"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/arbutuswinch/winch/winchload/caller"
	"github.com/arbutuswinch/winch/winchload/control"
	"github.com/arbutuswinch/winch/winchload/experiment"
)

const (
	// Histograms count microseconds up to ten minutes with three digits.
	longestTime = int64(10 * time.Minute / time.Microsecond)
	digits      = 3
	// LateSend is the delay above which a request counts as sent late.
	LateSend = 5 * time.Millisecond
	// worstMinimum is the least number of requests for an organisation to be considered
	// for Result.Worst.
	worstMinimum = 20
)

type group struct {
	Group
	first, inter, took *hdrhistogram.Histogram
}

func newGroup(name string) *group {
	return &group{Group: Group{Name: name}, first: newHistogram(), inter: newHistogram(), took: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, longestTime, digits) }

// Collector collects the outcomes of requests. It is safe for concurrent use.
type Collector struct {
	experiment experiment.Experiment

	mu            sync.Mutex
	total         *group
	classes       map[string]*group
	tiers         map[string]*group
	organisations map[string]*group
	// goodTokens are output tokens of requests that met their targets, wholeTokens those
	// of complete answers, and delivered all that callers received.
	goodTokens  int64
	wholeTokens int64
	delivered   int64
	codes       map[string]int
	late        int
	// keyed says for each idempotency key whether its request got a complete answer.
	keyed map[string]bool
	// notRun holds the ids of attempts whose answers said that they were not run.
	notRun []string
	series map[place]*second
}

// place is the key of a Point of the series.
type place struct {
	second int
	class  string
}

// second holds the counts of a Point of the series.
type second struct {
	offered, attained, refused int
	// first holds the times to the first token in milliseconds.
	first []float64
}

// NewCollector returns an empty collector.
func NewCollector(loaded experiment.Experiment) *Collector {
	return &Collector{
		experiment: loaded, total: newGroup("all"), classes: map[string]*group{}, tiers: map[string]*group{},
		organisations: map[string]*group{}, codes: map[string]int{}, keyed: map[string]bool{}, series: map[place]*second{},
	}
}

// Late counts a request that the load tool sent late.
func (c *Collector) Late() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.late++
}

// Add records the outcome of a request. Requests of the warm-up count only for wasted
// tokens, usage, confirmations and false refusals.
func (c *Collector) Add(request experiment.Request, outcome caller.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delivered += int64(outcome.Tokens)
	if outcome.Kind == caller.Whole {
		c.wholeTokens += int64(outcome.Tokens)
	}
	if request.Key != "" {
		c.keyed[request.Key] = outcome.Kind == caller.Whole
	}
	c.notRun = append(c.notRun, outcome.NotRun...)
	if request.At < time.Duration(c.experiment.Warmup) {
		return
	}
	if outcome.Kind != caller.Whole {
		c.codes[string(outcome.Kind)+" "+outcome.Code]++
	}
	attained := Attained(request.Class, outcome)
	if attained {
		c.goodTokens += int64(outcome.Tokens)
	}
	tier := "tier " + string(rune('0'+request.Class.Tier))
	for _, counted := range []*group{
		c.total, named(c.classes, request.Class.ID), named(c.tiers, tier), named(c.organisations, request.Organisation.ID),
	} {
		counted.add(outcome, attained)
	}
	c.point(request, outcome, attained)
}

func named(groups map[string]*group, name string) *group {
	if groups[name] == nil {
		groups[name] = newGroup(name)
	}
	return groups[name]
}

// Attained reports whether the answer is complete and met the class's latency targets.
func Attained(class *experiment.Class, outcome caller.Outcome) bool {
	if outcome.Kind != caller.Whole || outcome.FirstToken > time.Duration(class.FirstTokenTarget) {
		return false
	}
	return class.InterTokenTarget == 0 || outcome.InterToken() <= time.Duration(class.InterTokenTarget)
}

func (g *group) add(outcome caller.Outcome, attained bool) {
	g.Offered++
	if attained {
		g.Attained++
	}
	switch outcome.Kind {
	case caller.Whole:
		g.Whole++
		_ = g.first.RecordValue(outcome.FirstToken.Microseconds())
		_ = g.took.RecordValue(outcome.Took.Microseconds())
		if outcome.Tokens > 1 {
			_ = g.inter.RecordValue(outcome.InterToken().Microseconds())
		}
	case caller.Refused:
		g.Refused++
	case caller.Failed:
		g.Failed++
	case caller.Cut:
		g.Cut++
	case caller.Wrong:
		g.Wrong++
	case caller.Unreached:
		g.Unreached++
	}
}

func (c *Collector) point(request experiment.Request, outcome caller.Outcome, attained bool) {
	at := place{second: int(request.At / time.Second), class: request.Class.ID}
	counted := c.series[at]
	if counted == nil {
		counted = &second{}
		c.series[at] = counted
	}
	counted.offered++
	if attained {
		counted.attained++
	}
	if outcome.Kind == caller.Refused {
		counted.refused++
	}
	if outcome.Kind == caller.Whole {
		counted.first = append(counted.first, milliseconds(outcome.FirstToken.Microseconds()))
	}
}

// Progress returns the number of requests that ended, that met their targets, that were
// refused, and that were cut or got a wrong answer.
func (c *Collector) Progress() (offered, attained, refused, broken int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := c.total
	return total.Offered, total.Attained, total.Refused, total.Cut + total.Wrong
}

func (g *group) finish() Group {
	g.Attainment = ratio(float64(g.Attained), float64(g.Offered))
	g.FirstToken, g.InterToken, g.Took = quantiles(g.first), quantiles(g.inter), quantiles(g.took)
	return g.Group
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		P50: milliseconds(h.ValueAtQuantile(50)), P95: milliseconds(h.ValueAtQuantile(95)),
		P99: milliseconds(h.ValueAtQuantile(99)), Max: milliseconds(h.Max()),
	}
}

func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }

func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return math.Round(part/whole*1e4) / 1e4
}

// Frame holds the data of a run besides the outcomes of its requests.
type Frame struct {
	Label   string
	Seed    uint64
	Started time.Time
	// Before and After are the stand-ins' states before and after the run.
	Before, After control.State
	// Open and Close are the stand-ins' states at the end of the warm-up and of the arrivals.
	Open, Close control.State
	Processes   []Process
	Notes       Notes
}

// Result computes the measurements of the run.
func (c *Collector) Result(frame Frame) Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	measured := time.Duration(c.experiment.Duration - c.experiment.Warmup)
	r := Result{
		Experiment: c.experiment.Name, Label: frame.Label, Seed: frame.Seed, Started: frame.Started,
		Measured: experiment.Duration(measured), Total: c.total.finish(), Classes: finishAll(c.classes), Tiers: finishAll(c.tiers),
		Organisations: finishAll(c.organisations), Codes: c.codes, LateSends: c.late,
		GoodputTokens: float64(c.goodTokens) / measured.Seconds(), Processes: frame.Processes,
		Calls: callsBetween(frame.Before, frame.After), Series: c.points(),
	}
	r.GoodputRequests = float64(r.Total.Attained) / measured.Seconds()
	r.Worst = worst(r.Organisations)
	c.work(&r, frame)
	c.confirm(&r, frame)
	r.Cost = cost(c.experiment, r, frame)
	r.Usage = usageOf(frame.After, c.delivered)
	r.Notes = frame.Notes
	return r
}

func finishAll(groups map[string]*group) []Group {
	out := make([]Group, 0, len(groups))
	for _, counted := range groups {
		out = append(out, counted.finish())
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func worst(organisations []Group) Group {
	found := Group{}
	for _, counted := range organisations {
		if counted.Offered >= worstMinimum && (found.Name == "" || counted.Attainment < found.Attainment) {
			found = counted
		}
	}
	return found
}

func (c *Collector) points() []Point {
	points := make([]Point, 0, len(c.series))
	for at, counted := range c.series {
		sort.Float64s(counted.first)
		p95 := 0.0
		if n := len(counted.first); n > 0 {
			p95 = counted.first[min(n-1, n*95/100)]
		}
		points = append(points, Point{
			Second: at.second, Class: at.class, Offered: counted.offered,
			Attained: counted.attained, Refused: counted.refused, FirstToken: p95,
		})
	}
	sort.Slice(points, func(i, j int) bool {
		if points[i].Class != points[j].Class {
			return points[i].Class < points[j].Class
		}
		return points[i].Second < points[j].Second
	})
	return points
}
