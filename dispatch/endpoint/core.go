package endpoint

import (
	"math/rand/v2"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/dispatch/completion"
	"github.com/arbutuswinch/winch/dispatch/measure"
	"github.com/arbutuswinch/winch/dispatch/retry"
)

type effectKind int

const (
	effectGranted effectKind = iota
	effectQueued
	effectRefused
	effectPreempted
	effectMoved
	effectReleased
	effectCancelled
	effectEjected
	effectRestored
	effectQueueLong
	effectQueueShort
	effectLeaving
	effectReturned
	effectSaysLeaving
	effectRests
	effectRested
	effectRateNamed
	effectRateEnded
	effectEvacuated
	effectEvacuationEnded
	effectHeldBack
	effectCold
	effectWarming
	effectWarm
	effectUnreachable
	effectReachable
)

// effect is a decision of the core that the Dispatcher applies and logs.
type effect struct {
	kind     effectKind
	at       time.Time
	request  *request
	lane     *lane
	endpoint *endpoint
	remote   *remote
	refusal  winch.Refusal
	outcome  winch.Outcome
	cause    string
	// duration is the time queued (granted), the time the slot was held (released), the back-off
	// (ejected), the rest (rests), or the wait of the oldest request (queue long).
	duration  time.Duration
	lowerTier lowerTierWork
	// rate is that which the endpoint has named, and ownRate this host's part of it.
	rate, ownRate winch.RequestRate
	evacuation    evacuation
	reach         reach
}

// lowerTierWork counts the lower-tier requests, known at a decision, that could be evicted or
// preempted to make room on the same endpoints.
type lowerTierWork struct {
	queued, othersQueued          int // on this host, and on the other hosts according to their statistics
	movableHere, movableElsewhere int // running requests that could be preempted, on this and on the other hosts
	floor                         int // running within the floors of lower-tier classes, so not available
	waiting                       int // queued on this host in the same tier and above
}

func (w lowerTierWork) movable() int { return w.movableHere + w.movableElsewhere }

// core is the decision logic of the dispatcher. It is not safe for concurrent use.
type core struct {
	settings settings
	features features
	random   *rand.Rand
	self     winch.Host
	rank     int // index of this host among the hosts of its data centre
	hosts    int // number of hosts of the data centre, at least 1
	// maxHostsSeen is the largest number of hosts of the data centre known at one time.
	maxHostsSeen int
	hostIDs      []winch.HostID // hosts of the data centre, sorted
	knownHosts   knownHosts

	configuration   *winch.Configuration
	endpoints       map[winch.EndpointID]*endpoint
	sortedEndpoints []*endpoint // by ID
	lanes           map[laneKey]*lane
	sortedLanes     []*lane // by tier, then class and group
	endpointSets    []*endpointSet
	laneSets        []*laneSet
	budgets         map[group]*retry.Budget
	accounts        map[accountKey]*account
	// virtualTime is, for each tier, the highest account.served at which a request was granted.
	virtualTime map[winch.Tier]float64
	remotes     map[winch.DataCentreID]*remote
	prefixes    map[winch.PrefixHash]winch.EndpointID
	// prefillSpeeds is the measured prefill speed of the endpoints of each model or route, in prompt tokens per second.
	prefillSpeeds map[group]measure.Mean
	// intervals holds the times between outputs at the endpoints of each model or route.
	intervals map[group]*completion.Intervals
	// incompleteAttempts maps each request whose last attempt did not complete to the time it ended. It
	// includes attempts that never reached their endpoint or were rejected by it.
	incompleteAttempts map[winch.RequestID]time.Time
	incompletePrunedAt time.Time // when expired entries of incompleteAttempts were last removed
	expiry             expiryHeap
	// coldHeldBack counts the requests that were held back for a cold endpoint; see coldFigures.
	coldHeldBack int64
	// unreachableLogged is set from effectUnreachable until effectReachable.
	unreachableLogged bool
	// boundQueued is the number of bound requests in the queues of all lanes.
	boundQueued int
	// stoppedUntil is when this process last went on after a long stop.
	stoppedUntil time.Time
	// evacuations are the evacuated data centres with endpoints of this host. Streams are moved away from there while moveAllowance
	// is at least 1.
	evacuations   map[winch.DataCentreID]evacuation
	moveAllowance float64
	// listReadAt is when the newest list of endpoints was read; zero if that is not known.
	listReadAt time.Time
	// firstListAt is when the first list of endpoints was applied.
	firstListAt  time.Time
	freeRequests []*request
	effects      []effect
	// scores holds the result of the last scoreAll, by the index of the endpoint in the lane's subset.
	scores []float64
	hub    hub
	homes  homes // of the request that was considered last
	// home is the data centre whose endpoints are preferred as the nearest; empty for no preference.
	home     winch.DataCentreID
	started  time.Time
	tickedAt time.Time
	// resumedAt is when this process last resumed after a pause. During the pause it received
	// nothing, so silence before this time is not held against an endpoint.
	resumedAt   time.Time
	summaryAsOf time.Time    // time to which the other hosts' statistics apply
	summaryFrom winch.HostID // hub or head that sent them
	// relays is set while other hosts report to this one (winch.Membership.RelaysReports), and summaryRelayed if it was set when the
	// last summary was applied.
	relays, summaryRelayed bool
	upstream               upstream
}

type settings = Settings

func newCore(self winch.Host, policy Policy, tuning Settings, seed uint64) *core {
	return &core{
		settings: tuning.withDefaults(), features: featuresOf(policy), self: self, hosts: 1,
		random:             rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		configuration:      &winch.Configuration{},
		endpoints:          map[winch.EndpointID]*endpoint{},
		lanes:              map[laneKey]*lane{},
		budgets:            map[group]*retry.Budget{},
		accounts:           map[accountKey]*account{},
		virtualTime:        map[winch.Tier]float64{},
		remotes:            map[winch.DataCentreID]*remote{},
		prefixes:           map[winch.PrefixHash]winch.EndpointID{},
		prefillSpeeds:      map[group]measure.Mean{},
		intervals:          map[group]*completion.Intervals{},
		incompleteAttempts: map[winch.RequestID]time.Time{},
		hub:                newHub(),
		upstream:           newUpstream(),
	}
}

func (c *core) emit(e effect) { c.effects = append(c.effects, e) }

// newRequest returns a new request. The waiter is the *slot to notify of decisions, or nil; tests
// pass their own value.
func (c *core) newRequest(now time.Time, work winch.Work, waiter any, p *progress) *request {
	var r *request
	if last := len(c.freeRequests) - 1; last >= 0 {
		r, c.freeRequests = c.freeRequests[last], c.freeRequests[:last]
		*r = request{}
	} else {
		r = &request{}
	}
	r.work, r.waiter, r.progress, r.queuedAt, r.heapIndex = work, waiter, p, now, -1
	r.long = work.InputTokens >= c.settings.LongInput || work.OutputDone >= c.settings.LongOutput
	return r
}

// recycle returns a request to the free list, after the Dispatcher has applied its effects.
func (c *core) recycle(r *request) {
	if len(c.freeRequests) < maxFreeRequests {
		c.freeRequests = append(c.freeRequests, r)
	}
}

const maxFreeRequests = 4096

// arrive handles a new request. It grants, hands over, queues or refuses it, and emits the matching effect.
func (c *core) arrive(now time.Time, work winch.Work, waiter any, p *progress) *request {
	r := c.newRequest(now, work, waiter, p)
	l := c.laneOf(work)
	if c.lacksEndpoint(l) {
		c.refuseWithoutEndpoint(now, r, l)
		return r
	}
	r.lane = l
	if _, r.retried = c.incompleteAttempts[work.Request]; r.retried {
		delete(c.incompleteAttempts, work.Request)
	}
	if work.LocalOnly && r.work.OutputDone == 0 && l.excludedEverywhere(r) {
		// LocalOnly marks a request that another data centre handed over. No endpoint is left to try
		// here, and only the host that handed the request over can choose a third data centre. A
		// stream that already has output is queued instead.
		c.refuse(now, r, l, winch.RefusedNoEndpoint, 0)
		return r
	}
	if r.beganAtUnknownSoftware() {
		c.refuse(now, r, l, winch.RefusedSoftware, 0)
		return r
	}
	r.account = c.account(l.class.Tier, work.Organisation)
	c.activate(r.account)
	r.sampleNeed()
	if r.bound() {
		c.arriveBound(now, r)
		return r
	}
	if l.queued == 0 {
		if e := c.choose(now, l, r); e != nil {
			c.grant(now, r, e)
			return r
		}
	}
	c.countHeldBack(now, l)
	if c.handOver(now, r) {
		return r
	}
	if l.evacuatedEverywhere() {
		c.refuseWithoutEndpoint(now, r, l)
		return r
	}
	if !c.admit(now, r) {
		return r
	}
	c.enqueue(now, r)
	c.preemptFor(now, l)
	return r
}

// laneOf returns the lane for the work, or nil if its class may not use its model or route.
func (c *core) laneOf(work winch.Work) *lane {
	return c.lanes[laneKey{class: work.Class, group: group{model: work.Model, route: work.Route}}]
}

func (c *core) choose(now time.Time, l *lane, r *request) *endpoint {
	if c.blocked(now, l) || !c.withinPrefillBudget(l, r) || !c.withinTokenBudget(now, l, r) {
		return nil
	}
	return c.features.chooseFunc(c, now, l, r)
}

func (c *core) fresh(now, at time.Time) bool {
	return !at.IsZero() && now.Sub(at) <= c.settings.StatsMaxAge
}

// hostStatsFresh reports whether the statistics of the other hosts are recent enough to use.
func (c *core) hostStatsFresh(now time.Time) bool { return c.fresh(now, c.summaryAsOf) }

func (c *core) enqueue(now time.Time, r *request) {
	l := r.lane
	r.state = requestQueued
	r.expires = c.expiryOf(now, r)
	cause := c.queueCauseOf(now, l, r)
	l.push(r)
	c.expiry.push(r)
	c.emit(effect{kind: effectQueued, at: now, request: r, lane: l, cause: string(cause)})
	c.checkQueueLength(now, l)
}

// expiryOf returns when a queued request is refused. A stream that was attempted before waits until
// its deadline, or for resumeTimeout if it has none. Any other request has delivered no part of its
// response, so it waits no longer than its class allows, even as a retry. A deadline ends the wait
// early enough for the usual time to first token.
func (c *core) expiryOf(now time.Time, r *request) time.Time {
	l := r.lane
	end, resumed := r.queuedAt.Add(l.maxWait()), r.attemptedBefore() && !r.nonStreaming()
	if resumed {
		end = now.Add(resumeTimeout)
	}
	if !r.work.Deadline.IsZero() {
		latest := r.work.Deadline.Add(-secondsOf(l.firstToken.Value))
		if run := c.shortestRun(now, l, r); run > 0 {
			latest = earlier(latest, completion.LatestStart(r.work.Deadline, run))
		}
		if latest.Before(end) || resumed {
			end = latest
		}
	}
	return end
}

// resumeTimeout is how long an interrupted stream without a deadline waits for a new endpoint.
const resumeTimeout = 2 * time.Minute

func secondsOf(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// grant assigns a slot of the endpoint to the request.
func (c *core) grant(now time.Time, r *request, e *endpoint) {
	if r.state == requestQueued {
		c.unqueue(r)
	}
	l := r.lane
	r.state, r.endpoint, r.grantedAt, r.lastOutputAt = requestRunning, e, now, now
	r.probe = e.health.ejected
	if c.features.floors && c.floorDue(now, l) {
		r.floor = true
		l.floorRunning++
		l.servedFloor++
	}
	e.add(r)
	e.holdTokens(r, r.tokenNeed(e))
	e.named.Sent(now)
	c.recordSend(now, r, e)
	c.recordDispatch(now, r, e)
	if !r.retried {
		l.addPrompt(now, r.pendingPrefill)
	}
	e.history.Add(now, float64(e.running+e.others))
	l.running++
	l.completion.begunAt = now
	if e.cheap {
		l.cheapRunning++
	}
	c.advanceVirtualTime(r.account)
	c.chargeOwn(r.account, float64(r.work.InputTokens))
	if r.work.Prefix != 0 {
		c.recordPrefix(r.work.Prefix, e.spec.ID)
	}
	c.emit(effect{kind: effectGranted, at: now, request: r, lane: l, endpoint: e, duration: now.Sub(r.queuedAt)})
}

// chargeOwn charges tokens that this host served to the account.
func (c *core) chargeOwn(a *account, tokens float64) {
	a.charged += tokens
	a.addServed(tokens)
}

func (c *core) unqueue(r *request) {
	if r.bound() {
		c.removeBound(r)
	} else {
		r.lane.remove(r)
	}
	c.expiry.remove(r)
	r.state = requestInactive
}

// refuse rejects the request, removing it from its queue if it is queued.
func (c *core) refuse(now time.Time, r *request, l *lane, reason winch.RefusalReason, wait time.Duration) {
	cause := queueCause("")
	if l != nil && r.lane != nil {
		cause = c.queueCauseOf(now, l, r)
	}
	if r.state == requestQueued {
		c.unqueue(r)
	}
	if r.account != nil {
		r.account.active--
	}
	r.state = requestInactive
	if l != nil && !r.retried {
		l.addPrompt(now, r.work.InputTokens-sharedTokens(r.work.Parts))
	}
	refusal := winch.Refusal{Reason: reason, RetryAfter: c.retryAfter(now, l, wait)}
	c.emit(effect{kind: effectRefused, at: now, request: r, lane: l, refusal: refusal, lowerTier: c.countLowerTier(now, l), cause: string(cause)})
}

// cancel removes a queued request whose caller has disconnected. It reports whether the request was
// queued; the caller then emits effectCancelled.
func (c *core) cancel(now time.Time, r *request) bool {
	if r.state != requestQueued {
		return false
	}
	c.unqueue(r)
	r.account.active--
	return true
}
