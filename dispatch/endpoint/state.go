package endpoint

import (
	"sync/atomic"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/dispatch/completion"
	"github.com/arbutuswinch/winch/dispatch/concurrency"
	"github.com/arbutuswinch/winch/dispatch/measure"
	"github.com/arbutuswinch/winch/dispatch/pace"
	"github.com/arbutuswinch/winch/dispatch/ratelimit"
	"github.com/arbutuswinch/winch/dispatch/tokenlimit"
)

// endpoint is this host's state of one endpoint.
type endpoint struct {
	// The fields that each choice reads come first. refresh recomputes cap, fairShare, slowdown,
	// the paces, reportAge, excessLoad and othersWaiting; the others change with each event.
	cap       int     // current number of slots
	fairShare int     // this host's share of the slots while they are contended, else zero
	slowdown  float64 // latency or pace relative to the mean of the endpoints that serve its highest-tier lane
	// presentPace and usualPace are what pace estimates; zero if the endpoint states no pace.
	presentPace, usualPace winch.Pace
	reportAge              float64 // age of the load report, as a share of ReportMaxAge
	// excessLoad is reportedExcess, or zero if negative, weighted down with the age of the report.
	excessLoad float64
	running    int
	others     int     // running requests of the other hosts
	reported   float64 // load in the last report
	// reserve is the number of slots kept free for the tier reservedFor and those above. It grows
	// with each preemption on the endpoint and decays over time.
	reserve       float64
	reservedFor   winch.Tier
	othersWaiting bool // other hosts have queued requests and may use their share
	serving       bool // the endpoint is ready, not leaving and not evacuated
	evacuated     bool // the endpoint's data centre is evacuated
	// streamsMayMove is set if the endpoint's streams can go on at another endpoint.
	streamsMayMove bool
	// cheap is set if the platform may withdraw the endpoint (winch.SupplyCheap). The others are
	// called steady.
	cheap  bool
	health health
	// answeredAt is when a request of this host last succeeded.
	answeredAt time.Time
	// restsUntil is the time until which the endpoint wants no requests from this host, as it has said itself.
	restsUntil time.Time
	// named is the rate of requests that the endpoint has named.
	named ratelimit.Limit
	cold  coldState
	// pace is estimated from what the endpoint has stated.
	pace pace.Estimate

	// reportedExcess is the load in the last report minus the requests that the hosts had on the endpoint at that time.
	reportedExcess float64
	reportAsOf     time.Time // time of the last load report
	spec           winch.Endpoint
	// startedAt identifies the endpoint's current run, to detect restarts; zero if it is not known.
	startedAt time.Time
	// connectionLostAt is when a connection to the endpoint was last lost or refused; zero once its software version is known again.
	connectionLostAt time.Time
	hash             uint64
	state            winch.EndpointState // given by the platform or the configuration
	leavesAt         time.Time
	// reportedState is the state in the endpoint's own load report, made at reportedStateAt. After
	// a report that the endpoint is leaving, its streams are moved at moveStreamsAt.
	reportedState   winch.EndpointState
	reportedStateAt time.Time
	moveStreamsAt   time.Time
	// saysLeaving is set once the endpoint has said in an answer that it leaves. Only a new run of it takes requests again.
	saysLeaving bool
	resting     bool     // restsUntil has not been logged as over
	leaving     bool     // state or reportedState is EndpointLeaving, or the endpoint says so; see setServing
	lanes       []*lane  // highest tier first
	set         *laneSet // holds lanes, and what is equal for all endpoints with them
	// tokens are those of the running requests. told is set if the hub tells this host of the other hosts' requests there.
	tokens tokenlimit.Account
	told   bool

	tiers            []tierRunning // highest tier first
	longRunning      int           // running requests that count as long work
	lowerTierPrefill winch.Tokens  // prompt tokens of this host's requests below the highest tier that have no first token yet
	prefill          prefillLoad
	prefillTime      completion.Load
	interval         completion.Recent
	models           []winch.LoadedModel
	limit            concurrency.Limiter
	lastHeard        atomic.Int64 // nanoseconds since 1970
	rampSince        time.Time    // start of the ramp-up; zero when it is over
	history          measure.History
}

// tierRunning lists the running requests of a tier, newest first.
type tierRunning struct {
	tier   winch.Tier
	newest *request
	count  int
	// movable counts the requests that could be preempted and were not asked to move yet.
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
	if r.mayMove() {
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

// markMoving records that the request was asked to leave the endpoint.
func (e *endpoint) markMoving(r *request) {
	r.preempted = true
	if !r.mayMove() {
		return
	}
	r.lane.movingRunning++
	e.tier(r.lane.class.Tier).movable--
}

// movableBelow counts the requests of lower tiers on the endpoint that could be preempted.
func (e *endpoint) movableBelow(tier winch.Tier) int {
	count := 0
	if !e.streamsMayMove {
		return 0
	}
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
	if r.mayMove() && !r.preempted {
		list.movable--
	}
	e.running--
	if r.long {
		e.longRunning--
	}
	e.dropLowerTierPrefill(r)
	e.dropPendingPrefill(r)
	e.dropTokens(r)
}

// dropLowerTierPrefill subtracts the request's prompt from the endpoint's lowerTierPrefill, after
// its first token or its end.
func (e *endpoint) dropLowerTierPrefill(r *request) {
	e.lowerTierPrefill -= r.lowerTierPrefill
	r.lowerTierPrefill = 0
}

// applyReport records a load report, unless a newer one is known.
func (e *endpoint) applyReport(report winch.LoadReport) {
	if !report.AsOf.After(e.reportAsOf) {
		return
	}
	e.reportAsOf, e.models = report.AsOf, report.Models
	e.reported = float64(report.Running + report.Waiting)
	e.reportedExcess = e.reported - e.history.CountAt(report.AsOf)
}

// updateReportWeight recomputes the weight of the last report from its age.
func (e *endpoint) updateReportWeight(now time.Time, horizon time.Duration) {
	e.reportAge, e.excessLoad = 0, 0
	if e.reportAsOf.IsZero() {
		return
	}
	e.reportAge = min(1, float64(now.Sub(e.reportAsOf))/float64(horizon))
	e.excessLoad = max(0, (1-e.reportAge)*e.reportedExcess)
}

// estimatedLoad returns the estimated number of requests on the endpoint: those sent by the
// hosts, plus the excess in its last report. If useCorrection is not set, it returns the load of the last
// report, if there is one.
func (e *endpoint) estimatedLoad(useCorrection bool) float64 {
	if !useCorrection && !e.reportAsOf.IsZero() {
		return e.reported
	}
	return float64(e.running+e.others) + e.excessLoad
}
