package endpoint

import (
	"time"

	"github.com/arbutuswinch/winch"
)

// group is what endpoints serve: a model or a route.
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

// lane is the queue of one class for one model or route.
type lane struct {
	key       laneKey
	class     winch.Class
	endpoints []*endpoint
	// subset is the part of endpoints that this host uses.
	subset []*endpoint
	// ring has the endpoints in the order in which hosts share them out.
	ring []*endpoint
	// competitors are the lanes that share an endpoint with this one, itself included.
	competitors []*lane
	budget      *retryBudget

	oldest, newest *request
	byAccount      map[*account]*accountQueue
	accounts       []*accountQueue
	queued         int
	running        int
	floorRunning   int

	holdTime   average // seconds from grant to release
	promptRate rate    // tokens of prompts to read
	firstToken average // seconds from grant to first token
	slots      float64 // sum of the endpoints' limits
	preempting int     // asked to leave for a request queued here
	// movingRunning are those asked to leave for any reason, floor slots left out.
	movingRunning int
	nextIndex     int

	// averageRunning is how many of the class's requests run at all hosts, over usualTime.
	averageRunning   float64
	highestTier      bool // no lane of the same group has a higher tier
	lowestTier       bool // none has a lower one
	partitioned      bool // a part of the endpoints is set aside for quick classes
	latencySensitive bool // the class's target is among the shortest
	cheapRunning     int  // on cheap endpoints
	steadyFreeSlots  float64
	meanInterToken   average // of the endpoints' times between tokens
	meanFirstToken   average
	aperture         int

	others          laneStats // other hosts of the data centre
	preemptedAt     time.Time // last preemption for other hosts
	longQueueLogged bool
	servedFloor     uint64
}

// laneStats are sums over hosts.
type laneStats struct {
	Queued  int
	Running int
	// Movable are the running requests that could be given up.
	Movable int
	// Urgent are queued requests whose target is at risk.
	Urgent     int
	OldestWait time.Duration
	// PromptRate are the tokens of prompts to read a second.
	PromptRate int
}

func (l *lane) higher(other *lane) bool { return l.class.Tier < other.class.Tier }

// maxWait is the longest time in the queue for a new request.
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

// push queues the request. One that is under way goes before the others of its account.
func (l *lane) push(r *request) {
	l.linkArrival(r)
	l.queued++
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

func (l *lane) linkArrival(r *request) {
	r.waitingSince = r.queuedAt
	if r.startedBefore() {
		r.laneNext = l.oldest
		if l.oldest != nil {
			// The wait of those behind it is not forgotten.
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

// remove takes the request out of the queue.
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
	queue := r.accountQueue
	queue.remove(r)
	r.accountQueue = nil
	if queue.queued == 0 {
		l.heapRemove(queue)
	}
}

// next returns the request to serve on the endpoint, or nil.
func (l *lane) next(e *endpoint, fair bool) *request {
	if l.queued == 0 {
		return nil
	}
	if fair {
		if r := l.accounts[0].oldest; !r.excludes(e.spec.ID) {
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

// excludedEverywhere tells whether the request may run on none of the data centre's endpoints any more.
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

// maxExcludedScan bounds the search for a request that may run on an endpoint.
const maxExcludedScan = 16

// evictable returns the newest request of the account that has most queued,
// leaving out requests under way.
func (l *lane) evictable() *request {
	var worst *accountQueue
	for _, queue := range l.accounts {
		if worst == nil || queue.queued > worst.queued {
			worst = queue
		}
	}
	if worst != nil && !worst.newest.startedBefore() {
		return worst.newest
	}
	for r := l.newest; r != nil; r = r.lanePrev {
		if !r.startedBefore() {
			return r
		}
	}
	return nil
}
