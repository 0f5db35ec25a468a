// Package fault holds the faults that are injected into the stand-ins.
//
// # Usage
//
//	board := fault.NewBoard()
//	board.Add(fault.Fault{Target: "keyvalue", Kind: fault.LoseAnswer, Count: 1})
//	if _, active := board.Take(now, "keyvalue", fault.LoseAnswer); active {
//		fault.CloseUnanswered(w)
//	}
//
// A fault ends at Until, or after Take has returned it Count times.
package fault

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Target identifies the part that a fault affects, such as "keyvalue" or "engine/a1".
type Target string

// Kind is the kind of a fault.
type Kind string

// Kinds of faults.
const (
	// Outage refuses connections; the order interface of one data centre responds with status 503 instead.
	Outage Kind = "outage"
	// Slow delays each call by Delay.
	Slow Kind = "slow"
	// LoseAnswer closes the connection without a response after the call took effect.
	LoseAnswer Kind = "lose_answer"
	// Crash refuses connections and aborts running requests. An engine also loses its cache.
	Crash Kind = "crash"
	// Slowdown multiplies an engine's step time by Factor.
	Slowdown Kind = "slowdown"
	// ReportLag delays load reports by Delay in addition to the configured lag.
	ReportLag Kind = "report_lag"
	// Reclaim makes endpoints leave like Leave. With a target cheap/, no cheap engine can be ordered
	// in the data centre meanwhile.
	Reclaim Kind = "reclaim"
	// Leave makes endpoints leave after a notice of Delay. They return after Duration, if it is set.
	Leave Kind = "leave"
	// Reject responds with status 503; the call has no effect.
	Reject Kind = "reject"
	// Cold makes a plain service cold for Delay. One that then gets more requests than it survives crashes.
	Cold Kind = "cold"
)

// Known reports whether the kind exists.
func (k Kind) Known() bool {
	switch k {
	case Outage, Slow, LoseAnswer, Crash, Slowdown, ReportLag, Reclaim, Leave, Reject, Cold:
		return true
	}
	return false
}

// Fault is an injected fault. Its kind determines which fields it uses.
type Fault struct {
	Target Target
	Kind   Kind
	// Until is when the fault ends; zero means never.
	Until time.Time
	Delay time.Duration
	// Factor multiplies the step time under Slowdown.
	Factor float64
	// Count is how often the fault takes effect; zero means no limit.
	Count int
}

type faultKey struct {
	target Target
	kind   Kind
}

// Board holds the active faults. It is safe for concurrent use.
type Board struct {
	everAdded atomic.Bool
	mu        sync.Mutex
	faults    map[faultKey]*Fault
}

// NewBoard returns a board without faults.
func NewBoard() *Board { return &Board{faults: map[faultKey]*Fault{}} }

// Add adds a fault and replaces an earlier one of the same target and kind.
func (b *Board) Add(fault Fault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults[faultKey{fault.Target, fault.Kind}] = &fault
	b.everAdded.Store(true)
}

// Take returns the fault of the target and kind when it is active, and counts the use.
func (b *Board) Take(now time.Time, target Target, kind Kind) (Fault, bool) {
	if !b.everAdded.Load() {
		return Fault{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	key := faultKey{target, kind}
	fault, found := b.faults[key]
	if !found {
		return Fault{}, false
	}
	if !fault.Until.IsZero() && !now.Before(fault.Until) {
		delete(b.faults, key)
		return Fault{}, false
	}
	current := *fault
	if fault.Count == 1 {
		delete(b.faults, key)
	}
	fault.Count-- // A count of 0 becomes negative and never reaches 1, so that the fault has no limit.
	return current, true
}

// Guard wraps the handler of a platform service with the faults Slow, Reject and
// LoseAnswer. LoseAnswer affects only calls for which writes returns true; a nil writes
// selects all calls.
func (b *Board) Guard(target Target, writes func(*http.Request) bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		now := time.Now()
		if slow, active := b.Take(now, target, Slow); active && !Pause(r, slow.Delay) {
			return
		}
		if _, active := b.Take(now, target, Reject); active {
			w.Header().Set("Retry-After", "1")
			http.Error(w, `{"Code":"unavailable","Message":"the service is unavailable"}`, http.StatusServiceUnavailable)
			return
		}
		if b.losesResponse(now, target, writes, r) {
			next.ServeHTTP(&discardResponse{header: http.Header{}}, r)
			CloseUnanswered(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (b *Board) losesResponse(now time.Time, target Target, writes func(*http.Request) bool, r *http.Request) bool {
	if writes != nil && !writes(r) {
		return false
	}
	_, active := b.Take(now, target, LoseAnswer)
	return active
}

// Pause waits for the delay. It returns false when the request is cancelled before.
func Pause(r *http.Request, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// CloseUnanswered closes the connection without a response.
func CloseUnanswered(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = conn.Close()
}

// discardResponse is a ResponseWriter that drops the response.
type discardResponse struct{ header http.Header }

func (d *discardResponse) Header() http.Header            { return d.header }
func (d *discardResponse) Write(body []byte) (int, error) { return len(body), nil }
func (d *discardResponse) WriteHeader(int)                {}
