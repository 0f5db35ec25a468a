package endpoint

import (
	"sync/atomic"
	"time"

	"github.com/arbutuswinch/winch"
)

// endpoint is what the host knows of one endpoint.
type endpoint struct {
	// What each choice reads stands first, and is renewed at each tick.
	cap    int     // slots at present
	fair   int     // this host's share of the slots, when they are contended
	factor float64 // slowness relative to the endpoints of the same kind
	age    float64 // of the report, as a share of the horizon
	// extra is the load beyond what the hosts know of, as reported, with less weight the older it is.
	extra    float64
	running  int
	others   int
	reported float64
	// reserve is the number of slots kept free for reservedFor and the tiers above. It
	// grows with each preemption here and decays.
	reserve     float64
	reservedFor winch.Tier
	yields      bool // another host waits for its share
	serving     bool // ready, by its state
	cheap       bool
	health      health

	// offset is the reported load less what the hosts knew of when the report was true.
	offset float64
	asOf   time.Time
	spec   winch.Endpoint
	// startedAt tells the starts of the endpoint apart; zero when it does not say.
	startedAt time.Time
	hash      uint64
	state     winch.EndpointState
	leavesAt  time.Time
	// says is the state by the endpoint's own report of saysAt; goesAt is when its streams
	// are moved after it said that it leaves.
	says    winch.EndpointState
	saysAt  time.Time
	goesAt  time.Time
	leaving bool
	lanes   []*lane // by tier, the highest first

	tiers     []tierRunning // by tier, the highest first
	long      int
	unread    winch.Tokens // of this host's prompts below the highest tier, without a first token
	prompts   promptLoad
	models    []winch.LoadedModel
	limit     limiter
	lastHeard atomic.Int64 // nanoseconds since 1970
	rampSince time.Time    // when the endpoint was first seen, for the ramp; zero when it is over
	history   history
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
		e.long++
	}
	if !r.lane.first {
		r.unread = r.work.InputTokens + r.work.OutputDone
		e.unread += r.unread
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
		e.long--
	}
	e.read(r)
	e.noteRead(r)
}

// read notes that the endpoint has read the request's prompt, or never will.
func (e *endpoint) read(r *request) {
	e.unread -= r.unread
	r.unread = 0
}

// observe takes a load report in.
func (e *endpoint) observe(report winch.LoadReport) {
	if !report.AsOf.After(e.asOf) {
		return
	}
	e.asOf, e.models = report.AsOf, report.Models
	e.reported = float64(report.Running + report.Waiting)
	e.offset = e.reported - e.history.at(report.AsOf)
}

// weigh renews the weight of the report by its age.
func (e *endpoint) weigh(now time.Time, horizon time.Duration) {
	e.age, e.extra = 0, 0
	if e.asOf.IsZero() {
		return
	}
	e.age = min(1, float64(now.Sub(e.asOf))/float64(horizon))
	e.extra = max(0, (1-e.age)*e.offset)
}

// estimate returns the number of requests at the endpoint: what the hosts gave it
// and, by its report, what they do not know of.
func (e *endpoint) estimate(correct bool) float64 {
	if !correct && !e.asOf.IsZero() {
		return e.reported
	}
	return float64(e.running+e.others) + e.extra
}

const (
	historySize = 64
	historyStep = 250 * time.Millisecond
)

// history keeps how many requests the hosts had at the endpoint in the past.
type history struct {
	at0    [historySize]time.Time
	counts [historySize]float64
	next   int
}

func (h *history) add(now time.Time, count float64) {
	last := (h.next + historySize - 1) % historySize
	if now.Sub(h.at0[last]) < historyStep {
		return
	}
	h.at0[h.next], h.counts[h.next] = now, count
	h.next = (h.next + 1) % historySize
}

// at returns the count at the instant, or the oldest known.
func (h *history) at(instant time.Time) float64 {
	count := 0.0
	for i := 1; i <= historySize; i++ {
		slot := (h.next + historySize - i) % historySize
		if h.at0[slot].IsZero() {
			return count
		}
		count = h.counts[slot]
		if !h.at0[slot].After(instant) {
			return count
		}
	}
	return count
}
