package endpoint

import (
	"sync/atomic"
	"time"

	"github.com/arbutuswinch/winch"
)

// endpoint is what the host knows of one endpoint.
type endpoint struct {
	// What each choice reads stands first, and is renewed at each tick.
	cap       int     // slots at present
	fairShare int     // this host's share of the slots, when they are contended
	slowdown  float64 // slowness relative to the endpoints of the same kind
	reportAge float64 // of the report, as a share of the horizon
	// excessLoad is the load beyond what the hosts know of, as reported, with less weight the older it is.
	excessLoad float64
	running    int
	others     int
	reported   float64
	// reserve is the number of slots kept free for reservedFor and the tiers above. It
	// grows with each preemption here and decays.
	reserve       float64
	reservedFor   winch.Tier
	othersWaiting bool // another host waits for its share
	serving       bool // ready, by its state
	cheap         bool
	health        health

	// reportedExcess is the reported load less what the hosts knew of when the report was true.
	reportedExcess float64
	asOf           time.Time
	spec           winch.Endpoint
	// startedAt tells the starts of the endpoint apart; zero when it does not say.
	startedAt time.Time
	hash      uint64
	state     winch.EndpointState
	leavesAt  time.Time
	// reportedState is the state by the endpoint's own report of saysAt; goesAt is when its streams
	// are moved after it said that it leaves.
	reportedState   winch.EndpointState
	reportedStateAt time.Time
	moveStreamsAt   time.Time
	leaving         bool
	lanes           []*lane // by tier, the highest first

	tiers            []tierRunning // by tier, the highest first
	longRunning      int
	lowerTierPrefill winch.Tokens // of this host's prompts below the highest tier, without a first token
	prefill          prefillLoad
	models           []winch.LoadedModel
	limit            limiter
	lastHeard        atomic.Int64 // nanoseconds since 1970
	rampSince        time.Time    // when the endpoint was first seen, for the ramp; zero when it is over
	history          history
}

// tierRunning lists the running requests of a tier, newest first.
type tierRunning struct {
	tier   winch.Tier
	newest *request
	count  int
	// movable are those that could be given up and were not asked to move yet.
	movable int
}

func (e *endpoint) tier(tier winch.Tier) *tierRunning {
	i := 0
	for i < len(e.tiers) && e.tiers[i].tier < tier {
		i++
	}
	if i < len(e.tiers) && e.tiers[i].tier == tier {
		return &e.tiers[i]
	}
	e.tiers = append(e.tiers, tierRunning{})
	copy(e.tiers[i+1:], e.tiers[i:])
	e.tiers[i] = tierRunning{tier: tier}
	return &e.tiers[i]
}

func (e *endpoint) add(r *request) {
	list := e.tier(r.lane.class.Tier)
	r.runNext, r.runPrev = list.newest, nil
	if list.newest != nil {
		list.newest.runPrev = r
	}
	list.newest = r
	list.count++
	if r.movable() {
		list.movable++
	}
	e.running++
	if r.long {
		e.longRunning++
	}
	if !r.lane.highestTier {
		r.lowerTierPrefill = r.work.InputTokens + r.work.OutputDone
		e.lowerTierPrefill += r.lowerTierPrefill
	}
}

// markMoving notes that the request was asked to leave the endpoint.
func (e *endpoint) markMoving(r *request) {
	r.preempted = true
	if !r.movable() {
		return
	}
	r.lane.movingRunning++
	e.tier(r.lane.class.Tier).movable--
}

// movableBelow counts the requests of lower tiers that the endpoint could give up.
func (e *endpoint) movableBelow(tier winch.Tier) int {
	count := 0
	for i := len(e.tiers) - 1; i >= 0 && e.tiers[i].tier > tier; i-- {
		count += e.tiers[i].movable
	}
	return count
}

func (e *endpoint) remove(r *request) {
	list := e.tier(r.lane.class.Tier)
	if r.runPrev != nil {
		r.runPrev.runNext = r.runNext
	} else {
		list.newest = r.runNext
	}
	if r.runNext != nil {
		r.runNext.runPrev = r.runPrev
	}
	r.runNext, r.runPrev = nil, nil
	list.count--
	if r.movable() && !r.preempted {
		list.movable--
	}
	e.running--
	if r.long {
		e.longRunning--
	}
	e.dropLowerTierPrefill(r)
	e.dropPendingPrefill(r)
}

// dropLowerTierPrefill notes that the endpoint has read the request's prompt, or never will.
func (e *endpoint) dropLowerTierPrefill(r *request) {
	e.lowerTierPrefill -= r.lowerTierPrefill
	r.lowerTierPrefill = 0
}

// applyReport takes a load report in.
func (e *endpoint) applyReport(report winch.LoadReport) {
	if !report.AsOf.After(e.asOf) {
		return
	}
	e.asOf, e.models = report.AsOf, report.Models
	e.reported = float64(report.Running + report.Waiting)
	e.reportedExcess = e.reported - e.history.countAt(report.AsOf)
}

// updateReportWeight renews the weight of the report by its age.
func (e *endpoint) updateReportWeight(now time.Time, horizon time.Duration) {
	e.reportAge, e.excessLoad = 0, 0
	if e.asOf.IsZero() {
		return
	}
	e.reportAge = min(1, float64(now.Sub(e.asOf))/float64(horizon))
	e.excessLoad = max(0, (1-e.reportAge)*e.reportedExcess)
}

// estimatedLoad returns the number of requests at the endpoint: what the hosts gave it
// and, by its report, what they do not know of.
func (e *endpoint) estimatedLoad(correct bool) float64 {
	if !correct && !e.asOf.IsZero() {
		return e.reported
	}
	return float64(e.running+e.others) + e.excessLoad
}

const (
	historySize = 64
	historyStep = 250 * time.Millisecond
)

// history keeps how many requests the hosts had at the endpoint in the past.
type history struct {
	times  [historySize]time.Time
	counts [historySize]float64
	next   int
}

func (h *history) add(now time.Time, count float64) {
	last := (h.next + historySize - 1) % historySize
	if now.Sub(h.times[last]) < historyStep {
		return
	}
	h.times[h.next], h.counts[h.next] = now, count
	h.next = (h.next + 1) % historySize
}

// countAt returns the count at the instant, or the oldest known.
func (h *history) countAt(instant time.Time) float64 {
	count := 0.0
	for i := 1; i <= historySize; i++ {
		slot := (h.next + historySize - i) % historySize
		if h.times[slot].IsZero() {
			return count
		}
		count = h.counts[slot]
		if !h.times[slot].After(instant) {
			return count
		}
	}
	return count
}
