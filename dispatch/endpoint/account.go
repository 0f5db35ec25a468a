package endpoint

import "github.com/arbutuswinch/winch"

type accountKey struct {
	tier         winch.Tier
	organisation winch.OrganisationID
}

// account is the fair-queueing state of an organisation in a tier. Service is counted in
// tokens, with output tokens weighted by OutputWeight.
type account struct {
	key    accountKey
	weight float64
	// served is the account's position in fair queueing: the service received on all hosts, divided by
	// the weight, and raised after idle time to the tier's virtual time (see activate). The account
	// of the tier with the lowest value is served next.
	served float64
	// charged is the service given by this host, in tokens. It never decreases.
	charged float64
	// others is the last known sum of what the other hosts charged, in tokens.
	others      float64
	othersKnown bool
	// reported is the value of charged in the last report.
	reported float64
	active   int // queued and running requests
	queues   []*accountQueue
}

// accountQueue holds the queued requests of one account within a lane.
type accountQueue struct {
	lane           *lane
	account        *account
	oldest, newest *request
	queued         int
	heapIndex      int
}

func (q *accountQueue) push(r *request) {
	if r.attemptedBefore() {
		r.accountNext = q.oldest
		if q.oldest != nil {
			q.oldest.accountPrev = r
		} else {
			q.newest = r
		}
		q.oldest = r
	} else {
		r.accountPrev = q.newest
		if q.newest != nil {
			q.newest.accountNext = r
		} else {
			q.oldest = r
		}
		q.newest = r
	}
	q.queued++
}

func (q *accountQueue) remove(r *request) {
	if r.accountPrev != nil {
		r.accountPrev.accountNext = r.accountNext
	} else {
		q.oldest = r.accountNext
	}
	if r.accountNext != nil {
		r.accountNext.accountPrev = r.accountPrev
	} else {
		q.newest = r.accountPrev
	}
	r.accountNext, r.accountPrev = nil, nil
	q.queued--
}

func (l *lane) newAccountQueue(a *account) *accountQueue {
	queue := &accountQueue{lane: l, account: a, heapIndex: -1}
	l.byAccount[a] = queue
	a.queues = append(a.queues, queue)
	return queue
}

// addServed adds tokens served by any host to the account's position and restores the order of the heaps.
func (a *account) addServed(amount float64) {
	if amount <= 0 {
		return
	}
	a.served += amount / a.weight
	for _, queue := range a.queues {
		if queue.heapIndex >= 0 {
			queue.lane.heapDown(queue.heapIndex)
		}
	}
}

func (l *lane) heapLess(i, j int) bool {
	a, b := l.queueHeap[i], l.queueHeap[j]
	if a.account.served != b.account.served {
		return a.account.served < b.account.served
	}
	return a.account.key.organisation < b.account.key.organisation
}

func (l *lane) heapSwap(i, j int) {
	l.queueHeap[i], l.queueHeap[j] = l.queueHeap[j], l.queueHeap[i]
	l.queueHeap[i].heapIndex, l.queueHeap[j].heapIndex = i, j
}

func (l *lane) heapUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !l.heapLess(i, parent) {
			return
		}
		l.heapSwap(i, parent)
		i = parent
	}
}

func (l *lane) heapDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(l.queueHeap) {
			return
		}
		if child+1 < len(l.queueHeap) && l.heapLess(child+1, child) {
			child++
		}
		if !l.heapLess(child, i) {
			return
		}
		l.heapSwap(i, child)
		i = child
	}
}

func (l *lane) heapPush(q *accountQueue) {
	q.heapIndex = len(l.queueHeap)
	l.queueHeap = append(l.queueHeap, q)
	l.heapUp(q.heapIndex)
}

func (l *lane) heapRemove(q *accountQueue) {
	i, last := q.heapIndex, len(l.queueHeap)-1
	l.heapSwap(i, last)
	l.queueHeap[last] = nil
	l.queueHeap = l.queueHeap[:last]
	q.heapIndex = -1
	if i < last {
		l.heapDown(i)
		l.heapUp(i)
	}
}

// account returns the organisation's account in the tier, creating it if needed.
func (c *core) account(tier winch.Tier, organisation winch.OrganisationID) *account {
	key := accountKey{tier: tier, organisation: organisation}
	if a, found := c.accounts[key]; found {
		return a
	}
	weight := 1.0
	if configured := c.configuration.Organisations[organisation].Weight; configured > 0 {
		weight = float64(configured)
	}
	a := &account{key: key, weight: weight}
	c.accounts[key] = a
	return a
}

// activate raises an idle account to its tier's virtual time, so that it gains no credit for
// the time in which it had no requests.
func (c *core) activate(a *account) {
	if a.active == 0 && a.served < c.virtualTime[a.key.tier] {
		a.served = c.virtualTime[a.key.tier]
	}
	a.active++
}

// advanceVirtualTime raises the tier's virtual time to the service of the account just served.
func (c *core) advanceVirtualTime(a *account) {
	if a.served > c.virtualTime[a.key.tier] {
		c.virtualTime[a.key.tier] = a.served
	}
}
