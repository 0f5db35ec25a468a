package endpoint

import (
	"sync/atomic"
	"time"

	"github.com/arbutuswinch/winch"
)

// slot implements winch.Slot. It represents a queued request until ready is signalled, and then
// a request that runs on an endpoint.
type slot struct {
	dispatcher *Dispatcher
	progress   progress
	// request is guarded by the dispatcher's lock, and nil once the request has ended.
	request *request
	// ready receives nil on a grant, or the refusal.
	ready     chan error
	preempted chan struct{}
	released  atomic.Bool
	// endpoint, startedAt and endpointLastHeard are set before ready is signalled.
	endpoint          winch.Endpoint
	startedAt         time.Time
	endpointLastHeard *atomic.Int64
}

func newSlot(d *Dispatcher) *slot {
	return &slot{dispatcher: d, ready: make(chan error, 1), preempted: make(chan struct{})}
}

// Endpoint returns the endpoint that runs the request.
func (s *slot) Endpoint() winch.Endpoint { return s.endpoint }

// StartedAt returns when the listed run of the endpoint started, or zero.
func (s *slot) StartedAt() time.Time { return s.startedAt }

// Preempted returns a channel that is closed when the stream should move.
func (s *slot) Preempted() <-chan struct{} { return s.preempted }

// Evacuated reports whether the endpoint's data centre has been evacuated since the slot was granted.
func (s *slot) Evacuated(now time.Time) bool {
	evacuated := false
	s.dispatcher.runStep(func() { evacuated = s.dispatcher.core.holdBack(now, s.request) })
	return evacuated
}

// FirstToken records the first token, or the first byte of a plain service's response.
func (s *slot) FirstToken(now time.Time) {
	at := now.UnixNano()
	s.progress.first.CompareAndSwap(0, at)
	if s.endpointLastHeard != nil {
		s.endpointLastHeard.Store(at)
	}
	s.dispatcher.recordFirstToken(now, s)
}

// Restarted records that the endpoint has started again since it was listed.
func (s *slot) Restarted(now time.Time) {
	s.dispatcher.lock.Lock()
	defer s.dispatcher.lock.Unlock()
	if s.request != nil && s.request.endpoint != nil && s.request.endpoint.startedAt.Equal(s.startedAt) {
		s.request.endpoint.recordLostConnection(now)
	}
}

// Tokens records further output tokens. It takes no lock.
func (s *slot) Tokens(now time.Time, count winch.Tokens) {
	at := now.UnixNano()
	s.progress.last.Store(at)
	s.progress.tokens.Add(int64(count))
	if s.endpointLastHeard != nil {
		s.endpointLastHeard.Store(at)
	}
}

// Release releases the slot. Calls after the first have no effect.
func (s *slot) Release(now time.Time, outcome winch.Outcome) {
	if s.released.Swap(true) {
		return
	}
	s.dispatcher.runStep(func() {
		if s.request != nil {
			s.dispatcher.core.release(now, s.request, outcome)
		}
	})
}
