package endpoint

import (
	"sync/atomic"
	"time"

	"github.com/arbutuswinch/winch"
)

type requestState int

const (
	requestInactive requestState = iota // neither queued nor running: new, refused or ended
	requestQueued
	requestRunning
)

// progress is written by the stream without holding the lock, and read by the core.
// Times are in nanoseconds since 1970; zero means never.
type progress struct {
	first  atomic.Int64
	last   atomic.Int64
	tokens atomic.Int64
}

// request is a request in a queue or on an endpoint. Values are reused through the free list.
type request struct {
	work     winch.Work
	lane     *lane
	account  *account
	state    requestState
	queuedAt time.Time
	// waitingSince is the arrival or, for a request put at the front of the queue, the value of the
	// request behind it. The first request of the queue therefore always shows the longest wait.
	waitingSince time.Time
	expires      time.Time
	// softwareSeenAt is when an endpoint of the version that a queued, bound request needs was last seen to serve.
	softwareSeenAt time.Time
	// heapIndex is the index in the expiry heap, or -1 if the request is not in it.
	heapIndex int
	// Links of the lane's queue in the order of arrival, and of the account's queue within the lane.
	laneNext, lanePrev       *request
	accountNext, accountPrev *request
	accountQueue             *accountQueue

	// preferred is the endpoint that the request preferred when it was last considered, or nil.
	preferred        *endpoint
	endpoint         *endpoint
	remote           *remote
	runNext, runPrev *request
	grantedAt        time.Time
	chargedOutput    winch.Tokens // output tokens that were already charged
	lastOutputAt     time.Time    // time of the last output that was read, or of the grant before any
	lowerTierPrefill winch.Tokens // contribution to the endpoint's lowerTierPrefill, until the first token
	// pendingPrefill is the number of prompt tokens not cached at the endpoint, until the first token.
	// lowerTierPrefill counts the whole prompt and earlier output instead.
	pendingPrefill winch.Tokens
	prefillAhead   winch.Tokens // pending prefill of the endpoint at the grant, including this prompt
	held           winch.Tokens // tokens held at the endpoint; see endpoint.holdTokens
	heldByDeadline bool         // was kept from an endpoint because it could not end there in time
	firstSeen      bool
	probe          bool // granted at an ejected endpoint; see recordProbe
	long           bool // counts as long work; see Settings.LongInput
	floor          bool // holds a slot of its class's floor
	retried        bool // an earlier attempt did not complete
	preempted      bool // was asked to leave its endpoint, for any reason
	// preemptedForOwnQueue is set if the request was preempted for one queued on this host.
	preemptedForOwnQueue bool

	progress *progress
	waiter   any
}

// mayMove reports whether the request may be preempted: it can be resumed elsewhere and does
// not hold a slot of its class's floor. The result does not depend on whether it was already
// asked to move; see preempted.
func (r *request) mayMove() bool { return r.resumable() && !r.floor }

// resumable reports whether the request is a stream that another endpoint can resume.
func (r *request) resumable() bool { return r.work.Model != "" && !r.work.NotResumable }

// nonStreaming reports whether the response is sent as a whole rather than streamed.
func (r *request) nonStreaming() bool { return r.work.Model == "" || r.work.NonStreaming }

// attemptedBefore reports whether the request was attempted before: the caller has received part of
// the response, or an earlier attempt did not complete, even if it never reached its endpoint.
func (r *request) attemptedBefore() bool { return r.work.OutputDone > 0 || r.retried }

// begun reports whether the caller has received part of the response.
func (r *request) begun() bool { return r.firstSeen || r.work.OutputDone > 0 }

// restartCost returns the number of tokens that another endpoint has to process again if the request moves.
func (r *request) restartCost() winch.Tokens {
	return r.work.InputTokens + r.work.OutputDone + r.chargedOutput
}

func (r *request) excludes(id winch.EndpointID) bool {
	for _, excluded := range r.work.Excluded {
		if excluded == id {
			return true
		}
	}
	return false
}

// expiryHeap is a min-heap of queued requests by the time at which they are refused.
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
