// Package fault keeps the faults that are to be shown by the stand-ins.
//
// # Usage
//
//	board := fault.NewBoard()
//	board.Add(fault.Fault{Target: "keyvalue", Kind: fault.LoseAnswer, Count: 1})
//	if _, hit := board.Take(now, "keyvalue", fault.LoseAnswer); hit {
//		fault.CloseUnanswered(w)
//	}
//
// A fault ends at Until, or after it was taken Count times.
package fault

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Target names what shows a fault, such as "keyvalue" or "engine/a1".
type Target string

// Kind says how a fault shows.
type Kind string

// The kinds of faults.
const (
	// Outage refuses connections.
	Outage Kind = "outage"
	// Slow delays each call by Delay.
	Slow Kind = "slow"
	// LoseAnswer closes the connection after the call took effect.
	LoseAnswer Kind = "lose_answer"
	// Crash refuses connections, cuts what runs and loses the endpoint's state.
	Crash Kind = "crash"
	// Slowdown multiplies an engine's step time by Factor.
	Slowdown Kind = "slowdown"
	// ReportLag makes load reports older by Delay.
	ReportLag Kind = "report_lag"
	// Reclaim takes endpoints away after the notice Delay.
	Reclaim Kind = "reclaim"
	// Leave is a planned stop after the notice Delay.
	Leave Kind = "leave"
	// Reject answers 503; the call has no effect.
	Reject Kind = "reject"
)

// Known tells whether the kind exists.
func (k Kind) Known() bool {
	switch k {
	case Outage, Slow, LoseAnswer, Crash, Slowdown, ReportLag, Reclaim, Leave, Reject:
		return true
	}
	return false
}

// Fault is one fault.
type Fault struct {
	Target Target
	Kind   Kind
	// Until is the end; zero means no end.
	Until time.Time
	Delay time.Duration
	// Factor multiplies times.
	Factor float64
	// Count is how often the fault may show; zero means no bound.
	Count int
}

type place struct {
	target Target
	kind   Kind
}

// Board keeps the faults. It is safe for concurrent use.
type Board struct {
	used   atomic.Bool
	mu     sync.Mutex
	faults map[place]*Fault
}

// NewBoard returns a board without faults.
func NewBoard() *Board { return &Board{faults: map[place]*Fault{}} }

// Add puts a fault on the board, in place of one of the same target and kind.
func (b *Board) Add(fault Fault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults[place{fault.Target, fault.Kind}] = &fault
	b.used.Store(true)
}

// Take returns the fault if it shows now, and counts it.
func (b *Board) Take(now time.Time, target Target, kind Kind) (Fault, bool) {
	if !b.used.Load() {
		return Fault{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	key := place{target, kind}
	fault, found := b.faults[key]
	if !found {
		return Fault{}, false
	}
	if !fault.Until.IsZero() && !now.Before(fault.Until) {
		delete(b.faults, key)
		return Fault{}, false
	}
	taken := *fault
	if fault.Count == 1 {
		delete(b.faults, key)
	}
	fault.Count--
	return taken, true
}

// Guard shows the faults of a platform service before and after its handler:
// slow spells, rejections, and answers that are lost after the effect. Answers are
// lost only of the calls that writes names; nil names all.
func (b *Board) Guard(target Target, writes func(*http.Request) bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		now := time.Now()
		if slow, hit := b.Take(now, target, Slow); hit && !Pause(r, slow.Delay) {
			return
		}
		if _, hit := b.Take(now, target, Reject); hit {
			w.Header().Set("Retry-After", "1")
			http.Error(w, `{"Code":"unavailable","Message":"the service is unavailable"}`, http.StatusServiceUnavailable)
			return
		}
		if b.loses(now, target, writes, r) {
			next.ServeHTTP(&discard{header: http.Header{}}, r)
			CloseUnanswered(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (b *Board) loses(now time.Time, target Target, writes func(*http.Request) bool, r *http.Request) bool {
	if writes != nil && !writes(r) {
		return false
	}
	_, hit := b.Take(now, target, LoseAnswer)
	return hit
}

// Pause waits for the delay. It returns false when the caller left before.
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

// CloseUnanswered closes the connection without an answer.
func CloseUnanswered(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = conn.Close()
}

// discard takes an answer that nobody is to see.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header            { return d.header }
func (d *discard) Write(body []byte) (int, error) { return len(body), nil }
func (d *discard) WriteHeader(int)                {}
