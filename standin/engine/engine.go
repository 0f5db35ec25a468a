// Package engine is a stand-in for a model engine with continuous batching, a prefix
// cache of limited size, priorities, and streams that can be resumed, cancelled, exported
// and imported. It publishes its load and its cache events with a delay.
//
// One goroutine steps the whole batch, and the constant parts of a chunk are encoded before
// the first token, so that each token costs one counter update, one signal and at most one write.
//
// # Usage
//
//	eng := engine.New(engine.Options{ID: "a1", Models: []engine.Weights{{Model: "small"}}})
//	go eng.Run(ctx)
//	running, err := server.Start("127.0.0.1:0", eng)
//
// The text of an output token depends only on the prompt and the index of the token (see
// Token), so that a client can verify each token of a resumed stream.
package engine

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/arbutuswinch/winch/standin/fault"
	"github.com/arbutuswinch/winch/standin/wire"
)

const (
	// jitter is the largest relative deviation of the duration of a step.
	jitter = 0.05
	// When a step ends late, the waits for the next steps are shorter until the schedule is met
	// again. maxCatchUp is the longest delay that is made up in this way.
	maxCatchUp = 100 * time.Millisecond
	// importSpeedup is the factor by which importing computed state is faster than computing it.
	importSpeedup = 10
	// requestRecordLimit is the largest number of request ids whose acceptance is counted.
	requestRecordLimit = 200_000
)

// State is whether the engine accepts requests.
type State string

// The states of an engine.
const (
	StateReady   State = "ready"
	StateWarming State = "warming"
	StateLeaving State = "leaving"
)

// Totals are the counters of an engine since its start.
type Totals struct {
	Requests     int64
	Completed    int64
	Cancelled    int64
	Overloaded   int64
	Preempted    int64
	OutputTokens int64
	// CancelledTokens are the output tokens of streams that did not complete.
	CancelledTokens int64
	PrefillTokens   int64
	CachedTokens    int64
	// RequestsAfterNotice is the number of requests that began after the engine was given
	// notice; the last of them began LatestAfterNotice after the notice.
	RequestsAfterNotice int64
	LatestAfterNotice   wire.Duration
}

// Engine is a simulated model engine and its HTTP handler.
type Engine struct {
	options     Options
	target      fault.Target
	mux         *http.ServeMux
	wake        chan struct{}
	credentials *credentials

	mu          sync.Mutex
	batch       batch
	cache       *cache
	loadHistory loadHistory
	totals      Totals
	streams     map[string]*sequence
	accepted    map[string]int
	arrivals    int64
	random      *rand.Rand
	state       State
	fetching    bool
	noticeAt    time.Time
	orders      orders
	models      []Weights
	role        string
}

// New returns an engine in the state StateReady. It produces tokens while Run is running.
func New(options Options) *Engine {
	options = withDefaults(options)
	random := rand.New(rand.NewPCG(options.Seed, Hash(options.ID)))
	e := &Engine{
		options:     options,
		target:      fault.Target("engine/" + options.ID),
		mux:         http.NewServeMux(),
		wake:        make(chan struct{}, 1),
		credentials: &credentials{values: map[string]struct{}{}},
		batch: batch{limit: options.BatchLimit, preempts: options.Preempts, stepCosts: stepCosts{
			stepBase:        options.StepBase,
			stepPerSequence: options.StepPerSequence,
			prefillPerToken: time.Second / time.Duration(options.PrefillTokensPerSecond),
			chunkTokens:     options.ChunkTokens,
		}},
		cache:    newCache(options.CacheTokens, options.EventGap, random),
		streams:  map[string]*sequence{},
		accepted: map[string]int{},
		random:   random,
		state:    StateReady,
		orders:   orders{applied: map[string]bool{}},
		models:   options.Models,
	}
	e.routes()
	return e
}

// Run steps the batch until ctx is done.
func (e *Engine) Run(ctx context.Context) {
	due := time.Now()
	for {
		planned, busy := e.planStep(time.Now())
		if !busy {
			select {
			case <-e.wake:
				due = time.Now()
				continue
			case <-ctx.Done():
				return
			}
		}
		if earliest := time.Now().Add(-maxCatchUp); due.Before(earliest) {
			due = earliest
		}
		due = due.Add(planned.duration)
		if !sleepUntil(ctx, due) {
			return
		}
		e.completeStep(time.Now(), planned)
	}
}

func sleepUntil(ctx context.Context, due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// planStep admits waiting sequences and plans the next step. It returns false when nothing is running.
func (e *Engine) planStep(now time.Time) (step, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.removeEnded()
	admitted, preempted := e.batch.admit()
	for _, s := range preempted {
		s.prefill = s.prompt.tokens + int(s.produced.Load())
		s.cached = 0
		e.totals.Preempted++
	}
	for _, s := range admitted {
		e.applyCache(s)
	}
	e.recordLoad(now)
	planned, busy := e.batch.plan()
	if busy {
		planned.duration = e.adjustDuration(now, planned.duration)
	}
	return planned, busy
}

// applyCache subtracts the cached tokens from the prefill; at least one token is left to compute.
func (e *Engine) applyCache(s *sequence) {
	s.cached = min(e.cache.cached(s.prompt.blocks), s.prefill-1)
	s.prefill -= s.cached
	e.totals.CachedTokens += int64(s.cached)
	e.totals.PrefillTokens += int64(s.prefill)
}

// adjustDuration applies jitter and a slowdown fault to the duration of a step.
func (e *Engine) adjustDuration(now time.Time, duration time.Duration) time.Duration {
	factor := 1 + jitter*(2*e.random.Float64()-1)
	if slowed, found := e.options.Board.Take(now, e.target, fault.Slowdown); found && slowed.Factor > 0 {
		factor *= slowed.Factor
	}
	return time.Duration(float64(duration) * factor)
}

func (e *Engine) completeStep(now time.Time, done step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	prefilled, tokens, completed := e.batch.finish(done)
	for _, s := range prefilled {
		e.cache.store(now, s.prompt)
	}
	e.totals.OutputTokens += int64(tokens)
	e.totals.Completed += int64(completed)
}

func (e *Engine) recordLoad(now time.Time) {
	e.loadHistory.add(now, loadSample{
		running:   len(e.batch.running),
		waiting:   len(e.batch.waiting),
		tokens:    e.totals.OutputTokens,
		cacheUsed: e.cache.used(),
	})
}

// submit queues a sequence. It returns false when the queue is full or the engine is warming.
func (e *Engine) submit(now time.Time, request string, added *sequence) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.effectiveState() == StateWarming || len(e.batch.waiting) >= e.options.WaitLimit {
		e.totals.Overloaded++
		return false
	}
	e.totals.Requests++
	if _, known := e.accepted[request]; known || len(e.accepted) < requestRecordLimit {
		e.accepted[request]++
	}
	if e.state == StateLeaving {
		e.totals.RequestsAfterNotice++
		e.totals.LatestAfterNotice = wire.Duration(now.Sub(e.noticeAt))
	}
	e.arrivals++
	added.arrival = e.arrivals
	e.streams[added.id] = added
	e.batch.enqueue(added)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return true
}

// closeStream removes a stream, whose first token had the index from. A stream that is not
// complete counts as cancelled.
func (e *Engine) closeStream(s *sequence, from int) {
	complete := int(s.produced.Load()) >= s.prompt.outputTokens
	s.ended.Store(true)
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.streams, s.id)
	if complete {
		return
	}
	e.totals.Cancelled++
	e.totals.CancelledTokens += s.produced.Load() - int64(from)
}

// ID returns the engine's id.
func (e *Engine) ID() string { return e.options.ID }

// Totals returns the counters.
func (e *Engine) Totals() Totals {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.totals
}

// Accepted returns how often each request was accepted, by request id. With repeated
// set, it lists only requests accepted more than once.
func (e *Engine) Accepted(repeated bool) map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string]int{}
	for request, count := range e.accepted {
		if count > 1 || !repeated {
			out[request] = count
		}
	}
	return out
}

// Secrets returns the credentials and cookies that requests carried, with the header names.
func (e *Engine) Secrets() []string { return e.credentials.list() }

// SetState changes the state that the engine reports.
func (e *Engine) SetState(now time.Time, state State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if state == StateLeaving && e.state != StateLeaving {
		e.noticeAt = now
	}
	e.state = state
}

// effectiveState returns the state, which is StateWarming while a ready engine fetches weights.
func (e *Engine) effectiveState() State {
	if e.fetching && e.state == StateReady {
		return StateWarming
	}
	return e.state
}

// Crash ends all streams and clears the cache.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		s.ended.Store(true)
		s.signal()
	}
	e.batch.removeEnded()
	e.cache.clear()
}
