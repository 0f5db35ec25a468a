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
	// Longer durations are left out.
	maxDuration = int64(10 * time.Minute / time.Microsecond)
	digits      = 3
	// LateSend is the delay above which a request counts as sent late.
	LateSend = 5 * time.Millisecond
	// minWorstRequests is the least number of requests for an organisation to be considered
	// for Result.Worst.
	minWorstRequests = 20
)

type group struct {
	Group
	first, inter, took *hdrhistogram.Histogram
}

func newGroup(name string) *group {
	return &group{Group: Group{Name: name}, first: newHistogram(), inter: newHistogram(), took: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxDuration, digits) }

// Collector collects the outcomes of requests. It is safe for concurrent use.
type Collector struct {
	experiment experiment.Experiment

	mu            sync.Mutex
	total         *group
	classes       map[string]*group
	tiers         map[string]*group
	organisations map[string]*group
	// attainedTokens are output tokens of requests that met their targets, completeTokens those
	// of complete answers, and deliveredTokens all that callers received.
	attainedTokens  int64
	completeTokens  int64
	deliveredTokens int64
	codes           map[string]int
	lateSends       int
	// completeByKey reports for each idempotency key whether its request got a complete answer.
	completeByKey map[string]bool
	// notRun holds the ids of transmissions whose answers said that they were not run.
	notRun []string
	series map[seriesKey]*secondCounts
}

// seriesKey is the key of a Point of the series.
type seriesKey struct {
	second int
	class  string
}

// secondCounts holds the counts of a Point of the series.
type secondCounts struct {
	offered, attained, refused int
	// first holds the times to the first token in milliseconds.
	first []float64
}

// NewCollector returns an empty collector.
func NewCollector(exp experiment.Experiment) *Collector {
	return &Collector{
		experiment: exp, total: newGroup("all"), classes: map[string]*group{}, tiers: map[string]*group{},
		organisations: map[string]*group{}, codes: map[string]int{}, completeByKey: map[string]bool{}, series: map[seriesKey]*secondCounts{},
	}
}

// CountLateSend counts a request that the load tool sent late.
func (c *Collector) CountLateSend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lateSends++
}

// Add records the outcome of a request. Requests of the warm-up count only for wasted
// tokens, usage, confirmations and false refusals.
func (c *Collector) Add(request experiment.Request, outcome caller.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deliveredTokens += int64(outcome.Tokens)
	if outcome.Kind == caller.Whole {
		c.completeTokens += int64(outcome.Tokens)
	}
	if request.Key != "" {
		c.completeByKey[request.Key] = outcome.Kind == caller.Whole
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
		c.attainedTokens += int64(outcome.Tokens)
	}
	tier := "tier " + string(rune('0'+request.Class.Tier))
	for _, g := range []*group{
		c.total, groupNamed(c.classes, request.Class.ID), groupNamed(c.tiers, tier), groupNamed(c.organisations, request.Organisation.ID),
	} {
		g.add(outcome, attained)
	}
	c.addToSeries(request, outcome, attained)
}

func groupNamed(groups map[string]*group, name string) *group {
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

func (c *Collector) addToSeries(request experiment.Request, outcome caller.Outcome, attained bool) {
	key := seriesKey{second: int(request.At / time.Second), class: request.Class.ID}
	counts := c.series[key]
	if counts == nil {
		counts = &secondCounts{}
		c.series[key] = counts
	}
	counts.offered++
	if attained {
		counts.attained++
	}
	if outcome.Kind == caller.Refused {
		counts.refused++
	}
	if outcome.Kind == caller.Whole {
		counts.first = append(counts.first, milliseconds(outcome.FirstToken.Microseconds()))
	}
}

// Progress returns the number of requests that ended, that met their targets, that were
// refused, and that were cut or got a wrong answer.
func (c *Collector) Progress() (ended, attained, refused, cutOrWrong int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := c.total
	return total.Offered, total.Attained, total.Refused, total.Cut + total.Wrong
}

func (g *group) summarize() Group {
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

// RunInfo holds the data of a run besides the outcomes of its requests.
type RunInfo struct {
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
func (c *Collector) Result(info RunInfo) Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	measured := time.Duration(c.experiment.Duration - c.experiment.Warmup)
	r := Result{
		Experiment: c.experiment.Name, Label: info.Label, Seed: info.Seed, Started: info.Started,
		Measured: experiment.Duration(measured), Total: c.total.summarize(), Classes: summarizeAll(c.classes), Tiers: summarizeAll(c.tiers),
		Organisations: summarizeAll(c.organisations), Codes: c.codes, LateSends: c.lateSends,
		GoodputTokens: float64(c.attainedTokens) / measured.Seconds(), Processes: info.Processes,
		Calls: callsBetween(info.Before, info.After), Series: c.seriesPoints(),
	}
	r.GoodputRequests = float64(r.Total.Attained) / measured.Seconds()
	r.Worst = worstOrganisation(r.Organisations)
	c.setTokenCounts(&r, info)
	c.setConfirmations(&r, info)
	r.Cost = endpointCost(c.experiment, r, info)
	r.Usage = compareUsage(info.After, c.deliveredTokens)
	r.Notes = info.Notes
	return r
}

func summarizeAll(groups map[string]*group) []Group {
	out := make([]Group, 0, len(groups))
	for _, g := range groups {
		out = append(out, g.summarize())
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func worstOrganisation(organisations []Group) Group {
	lowest := Group{}
	for _, g := range organisations {
		if g.Offered >= minWorstRequests && (lowest.Name == "" || g.Attainment < lowest.Attainment) {
			lowest = g
		}
	}
	return lowest
}

func (c *Collector) seriesPoints() []Point {
	points := make([]Point, 0, len(c.series))
	for key, counts := range c.series {
		sort.Float64s(counts.first)
		p95 := 0.0
		if n := len(counts.first); n > 0 {
			p95 = counts.first[min(n-1, n*95/100)]
		}
		points = append(points, Point{
			Second: key.second, Class: key.class, Offered: counts.offered,
			Attained: counts.attained, Refused: counts.refused, FirstToken: p95,
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
