package endpoint

import (
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/dispatch/measure"
	"github.com/arbutuswinch/winch/dispatch/prefixcache"
	"github.com/arbutuswinch/winch/dispatch/retry"
	"github.com/arbutuswinch/winch/dispatch/tokenlimit"
)

// group identifies what endpoints serve, either a model or a route. Exactly one of the fields is set.
type group struct {
	model winch.ModelID
	route winch.RouteID
}

func (g group) String() string {
	if g.route != "" {
		return "route/" + string(g.route)
	}
	return "model/" + string(g.model)
}

type laneKey struct {
	class winch.ClassID
	group group
}

// lane is the queue of one class for one model or route, with its statistics.
type lane struct {
	key       laneKey
	class     winch.Class
	endpoints []*endpoint
	// evacuated are the endpoints that get no requests because their data centre is evacuated. They are not among endpoints.
	evacuated []*endpoint
	// subset holds the endpoints that this host uses.
	subset []*endpoint
	// ring holds the endpoints in the order in which the hosts' apertures cover them: by hash, so that endpoints with consecutive IDs are
	// spread over the arcs of different hosts.
	ring []*endpoint
	// competitors are the lanes that share an endpoint with this one, highest tier first. They
	// include the lane itself. Lanes with the same endpoints share this list and those of endpoints.
	competitors []*lane
	// set holds these lists.
	set    *endpointSet
	budget *retry.Budget

	oldest, newest *request
	byAccount      map[*account]*accountQueue
	// queueHeap holds the accounts' queues that are not empty, as a min-heap by account.served.
	queueHeap []*accountQueue
	queued    int
	// bound are the queued requests that only endpoints of one software version can serve, in order of arrival. They are in none of the
	// other queues and counts.
	bound []*request
	// mixedSoftware is set if the endpoints have several software versions.
	mixedSoftware bool
	// pinned counts the running requests that could be preempted if another endpoint of their software version served.
	pinned  int
	running int
	// evacuatedRunning counts the running requests at evacuated endpoints, and evacuatedPrefill is their part of pendingPrefill. They hold
	// none of the lane's slots, and their prompts delay no others. Both are recomputed with each tick.
	evacuatedRunning int
	evacuatedPrefill winch.Tokens
	floorRunning     int
	// queuedTokens is the sum of the prompt tokens of the queued requests that no other request shares.
	queuedTokens winch.Tokens
	// pendingPrefill is the sum of the running requests' pendingPrefill.
	pendingPrefill winch.Tokens
	prefillBudget  prefillBudget
	completion     laneCompletion

	// held is the number of tokens of this host's running requests, and meanNeed the mean need of its requests.
	held     winch.Tokens
	meanNeed measure.Mean
	outputs  tokenlimit.Outputs
	// refreshTokens recomputes pool, meanHeld, meanHold and largestWaiting. meanHeld is the mean number of tokens of the requests of all
	// lanes and hosts that run on the lane's endpoints, zero if too few run, and meanHold the mean time for which they hold their slots.
	pool           tokenlimit.Pool
	meanHeld       float64
	meanHold       time.Duration
	largestWaiting winch.Tokens

	// knowsCaches is set if the contents of the endpoints' memories are estimated.
	knowsCaches bool
	popularity  prefixcache.Popularity
	// homeShares are the shares of the requests with shared parts that go to the homes of their parts and to each alternate.
	homeShares [1 + alternates]float64
	inflow     inflow
	// partitionEndpoints is the number of endpoints over which the other hosts' requests of the lane are assumed to be spread.
	partitionEndpoints int
	// sharedTokens counts the sent tokens of shared parts, and expectedTokens those of them that the endpoints were expected to hold.
	sharedTokens, expectedTokens winch.Tokens

	holdTime         measure.Mean // seconds from grant to release
	promptRate       measure.Rate // prompt tokens that need prefill
	firstToken       measure.Mean // seconds from grant to first token
	slots            float64      // sum of the endpoints' limits
	preemptedRunning int          // running requests of this lane that were preempted for one queued on this host
	// movingRunning counts the running requests asked to leave for any reason, except those within the floor.
	movingRunning  int
	roundRobinNext int // index in subset at which chooseRoundRobin starts
	// probeFailed is set from a failed probe until a request succeeds. Meanwhile, probes are avoided: with many ejected endpoints and
	// few requests, nearly each request would be one.
	probeFailed bool

	// averageRunning is the average number of the lane's requests running on all hosts, over averageRunningWindow.
	averageRunning   float64
	highestTier      bool         // no lane that shares an endpoint has a higher tier
	lowestTier       bool         // no lane that shares an endpoint has a lower tier
	partitioned      bool         // some endpoints are reserved for latency-sensitive classes
	latencySensitive bool         // the class has one of the shortest targets; see setLatencySensitive
	cheapRunning     int          // running on cheap endpoints
	steadySlotsLeft  float64      // slots of steady endpoints that this tier and those above do not use
	meanInterToken   measure.Mean // mean over the endpoints of the time between tokens, in seconds
	meanFirstToken   measure.Mean // mean over the endpoints of the time to first token, as a share of the target
	meanDemand       float64      // mean over the endpoints of coldDemand.all
	aperture         int
	// meanPace is the mean usual pace of the endpoints that state one, and paceShift how much slower they are at present; 1 if none does.
	meanPace  measure.Mean
	paceShift float64

	others               laneStats // sums over the other hosts of the data centre
	preemptedForOthersAt time.Time // last preemption of lower tiers on behalf of other hosts
	longQueueLogged      bool
	servedFloor          uint64 // requests granted a slot of the floor; counted, but not read
}

// laneStats holds the statistics of a lane on one host, or their sums over several.
type laneStats struct {
	Queued  int
	Running int
	// Movable counts the running requests that could be preempted.
	Movable int
	// Urgent counts the queued requests for which other hosts should preempt lower tiers and leave slots free; see core.urgent.
	Urgent     int
	OldestWait time.Duration
	// PromptRate is the rate of prompt tokens that need prefill, per second.
	PromptRate int
}

// higher reports whether the lane has a higher tier than the other. A lower number is a higher tier.
func (l *lane) higher(other *lane) bool { return l.class.Tier < other.class.Tier }

// maxWait returns the longest time that a new request may be queued.
func (l *lane) maxWait() time.Duration {
	if l.class.MaxWait > 0 {
		return l.class.MaxWait
	}
	if l.class.FirstTokenTarget > 0 {
		return l.class.FirstTokenTarget
	}
	return defaultMaxWait
}

const (
	defaultMaxWait    = 30 * time.Second
	defaultQueueLimit = 100
)

func (l *lane) queueLimit() int {
	if l.class.QueueLimit > 0 {
		return l.class.QueueLimit
	}
	return defaultQueueLimit
}

func (l *lane) oldestWait(now time.Time) time.Duration {
	if l.oldest == nil {
		return 0
	}
	return now.Sub(l.oldest.waitingSince)
}

// push queues the request. A request that was attempted before goes to the front of its account's queue.
func (l *lane) push(r *request) {
	l.insertByArrival(r)
	l.queued++
	l.queuedTokens += r.ownTokens()
	queue, found := l.byAccount[r.account]
	if !found {
		queue = l.newAccountQueue(r.account)
	}
	r.accountQueue = queue
	queue.push(r)
	if queue.heapIndex < 0 {
		l.heapPush(queue)
	}
}

// insertByArrival adds the request to the list in order of arrival: at the end, or at the front if the
// request was attempted before.
func (l *lane) insertByArrival(r *request) {
	r.waitingSince = r.queuedAt
	if r.attemptedBefore() {
		r.laneNext = l.oldest
		if l.oldest != nil {
			// The requests behind it have waited longer, and the lane's oldest wait must still show that.
			r.waitingSince = l.oldest.waitingSince
			l.oldest.lanePrev = r
		} else {
			l.newest = r
		}
		l.oldest = r
		return
	}
	r.lanePrev = l.newest
	if l.newest != nil {
		l.newest.laneNext = r
	} else {
		l.oldest = r
	}
	l.newest = r
}

// remove removes the request from the queue.
func (l *lane) remove(r *request) {
	if r.lanePrev != nil {
		r.lanePrev.laneNext = r.laneNext
	} else {
		l.oldest = r.laneNext
	}
	if r.laneNext != nil {
		r.laneNext.lanePrev = r.lanePrev
	} else {
		l.newest = r.lanePrev
	}
	r.laneNext, r.lanePrev = nil, nil
	l.queued--
	l.queuedTokens -= r.ownTokens()
	queue := r.accountQueue
	queue.remove(r)
	r.accountQueue = nil
	if queue.queued == 0 {
		l.heapRemove(queue)
	}
}

// next returns the next request that may run on the endpoint, or nil. If fair is set, it prefers
// the account that has received the least service.
func (l *lane) next(e *endpoint, fair bool) *request {
	if l.queued == 0 {
		return nil
	}
	if fair {
		if r := l.queueHeap[0].oldest; !r.excludes(e.spec.ID) {
			return r
		}
	}
	r := l.oldest
	for tries := 0; r != nil && tries < maxExcludedScan; tries++ {
		if !r.excludes(e.spec.ID) {
			return r
		}
		r = r.laneNext
	}
	return nil
}

// excludedEverywhere reports whether the request excludes all of the lane's endpoints.
func (l *lane) excludedEverywhere(r *request) bool {
	if len(r.work.Excluded) == 0 {
		return false
	}
	for _, e := range l.endpoints {
		if !r.excludes(e.spec.ID) {
			return false
		}
	}
	return true
}

// maxExcludedScan bounds the number of queued requests checked for one that may run on an endpoint.
const maxExcludedScan = 16

// newestEvictable returns the request of the lane to evict: the newest of the account with the longest
// queue or, if that was attempted before, the newest request that was not. It returns nil if there
// is none.
func (l *lane) newestEvictable() *request {
	var longest *accountQueue
	for _, queue := range l.queueHeap {
		if longest == nil || queue.queued > longest.queued {
			longest = queue
		}
	}
	if longest != nil && !longest.newest.attemptedBefore() {
		return longest.newest
	}
	for r := l.newest; r != nil; r = r.lanePrev {
		if !r.attemptedBefore() {
			return r
		}
	}
	return nil
}
