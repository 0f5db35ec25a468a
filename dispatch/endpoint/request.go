package endpoint

import (
	"sync/atomic"
	"time"

	"github.com/arbutuswinch/winch"
)

type requestState int

const (
	requestIdle requestState = iota
	requestQueued
	requestRunning
)

// progress is written by the stream without the lock, and read by the core.
// Instants are nanoseconds since 1970; zero stands for never.
type progress struct {
	first  atomic.Int64
	last   atomic.Int64
	tokens atomic.Int64
}

// request is one request in a queue or on an endpoint. Requests are reused.
type request struct {
	work     winch.Work
	lane     *lane
	account  *account
	state    requestState
	queuedAt time.Time
	// waitingSince is the wait by which the lane's order goes; the lane's oldest has the earliest.
	waitingSince time.Time
	expires      time.Time
	// heapIndex is the place in the heap of expiries, -1 outside.
	heapIndex int
	// The lane's queue in the order of arrival, and the account's within the lane.
	laneNext, lanePrev       *request
	accountNext, accountPrev *request
	accountQueue             *accountQueue

	endpoint         *endpoint
	remote           *remote
	runNext, runPrev *request
	grantedAt        time.Time
	collected        winch.Tokens
	collectedAt      time.Time
	lowerTierPrefill winch.Tokens // of the prompt, until the first token
	pendingPrefill   winch.Tokens // of the prompt, less what the endpoint keeps, until the first token
	prefillAhead     winch.Tokens // that the endpoint had to read up to the request's prompt
	firstSeen        bool
	long             bool
	floor            bool
	retried          bool // ran before, without an end
	preempted        bool
	// forOwnQueue says that the preemption was for a request queued here.
	forOwnQueue bool

	progress *progress
	waiter   any
}

// movable tells whether the request can go on elsewhere when its slot is taken.
func (r *request) movable() bool { return r.resumable() && !r.floor }

// resumable tells whether the request is a stream that can go on elsewhere.
func (r *request) resumable() bool { return r.work.Model != "" && !r.work.Fixed }

// nonStreaming tells whether the answer is no stream.
func (r *request) nonStreaming() bool { return r.work.Model == "" || r.work.Plain }

// startedBefore tells whether the request ran before: the caller got a part of the
// answer, or an endpoint was given it and lost it.
func (r *request) startedBefore() bool { return r.work.OutputDone > 0 || r.retried }

// restartCost is the work that an endpoint does again when the request moves.
func (r *request) restartCost() winch.Tokens {
	return r.work.InputTokens + r.work.OutputDone + r.collected
}

func (r *request) excludes(id winch.EndpointID) bool {
	for _, excluded := range r.work.Excluded {
		if excluded == id {
			return true
		}
	}
	return false
}

// expiryHeap orders queued requests by the time at which they are given up.
type expiryHeap []*request

func (h expiryHeap) less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

func (h expiryHeap) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h expiryHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h expiryHeap) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h) {
			return
		}
		if child+1 < len(h) && h.less(child+1, child) {
			child++
		}
		if !h.less(child, i) {
			return
		}
		h.swap(i, child)
		i = child
	}
}

func (h *expiryHeap) push(r *request) {
	r.heapIndex = len(*h)
	*h = append(*h, r)
	h.up(r.heapIndex)
}

func (h *expiryHeap) remove(r *request) {
	i, last := r.heapIndex, len(*h)-1
	h.swap(i, last)
	(*h)[last] = nil
	*h = (*h)[:last]
	r.heapIndex = -1
	if i < last {
		h.down(i)
		h.up(i)
	}
}
