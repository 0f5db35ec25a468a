// Package service is a stand-in for a plain service: an HTTP service that hosts call and that is
// not a model engine. It counts how often each request was executed, by request id and by
// idempotency key.
//
// # Usage
//
//	svc := service.New(service.Options{ID: "desk-a", Time: 2 * time.Millisecond})
//	running, err := server.Start("127.0.0.1:0", svc)
//	executed := svc.Executions(false)
//
// The query parameter "time", as in "?time=50ms", sets the execution time of one request. The
// fault lose_answer closes the connection without a response after the execution.
package service

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutuswinch/winch/standin/cold"
	"github.com/arbutuswinch/winch/standin/counts"
	"github.com/arbutuswinch/winch/standin/fault"
	"github.com/arbutuswinch/winch/standin/wire"

	"github.com/cespare/xxhash/v2"
)

// Defaults of Options.
const (
	DefaultTime        = 2 * time.Millisecond
	DefaultSlots       = 256
	DefaultRecordLimit = 500_000
	DefaultReportLag   = 200 * time.Millisecond
)

const (
	maxTime = time.Minute
	// copyBufferBytes is small because it is allocated for each request and most bodies are small.
	copyBufferBytes = 1 << 10
)

// State is whether the service accepts requests.
type State string

// The states of a service.
const (
	StateReady   State = "ready"
	StateWarming State = "warming"
	StateLeaving State = "leaving"
)

// Options configure a service. Zero numbers stand for the defaults.
type Options struct {
	ID string
	// Time is the execution time of a request once it has a slot.
	Time time.Duration
	// Slots is the number of requests executed at once; others wait.
	Slots int
	// RecordLimit is the largest number of request ids whose executions are counted.
	// Idempotency keys are always counted.
	RecordLimit int
	ReportLag   time.Duration
	Counts      *counts.Table
	Board       *fault.Board
	// Cold is how the service behaves when it is cold. Overrun is called when it gets more requests than it survives.
	Cold    cold.Limit
	Overrun func()
}

// Service is a simulated plain service and its HTTP handler.
type Service struct {
	options Options
	target  fault.Target
	cold    *cold.Meter
	slots   chan struct{}
	running atomic.Int64
	waiting atomic.Int64

	mu                sync.Mutex
	byRequest         map[string]int
	byKey             map[string]int
	executed          int64
	state             State
	noticeAt          time.Time
	afterNotice       int64
	latestAfterNotice time.Duration
	samples           []loadSample
}

type loadSample struct {
	at               time.Time
	running, waiting int64
}

// New returns a service in the state StateReady.
func New(options Options) *Service {
	if options.Time == 0 {
		options.Time = DefaultTime
	}
	if options.Slots == 0 {
		options.Slots = DefaultSlots
	}
	if options.RecordLimit == 0 {
		options.RecordLimit = DefaultRecordLimit
	}
	if options.ReportLag == 0 {
		options.ReportLag = DefaultReportLag
	}
	if options.Counts == nil {
		options.Counts = counts.New()
	}
	if options.Board == nil {
		options.Board = fault.NewBoard()
	}
	if options.Overrun == nil {
		options.Overrun = func() {}
	}
	return &Service{
		options:   options,
		cold:      cold.New(options.Cold),
		target:    fault.Target("service/" + options.ID),
		slots:     make(chan struct{}, options.Slots),
		byRequest: map[string]int{},
		byKey:     map[string]int{},
		state:     StateReady,
	}
}

type executionResponse struct {
	Service        string
	Request        string
	IdempotencyKey string `json:",omitempty"`
	Method         string
	Path           string
	// BodyHash is the xxHash of the request body.
	BodyHash uint64
	// Execution is the number of executions of this idempotency key or, without a key, of
	// this request id, including this one. It is 0 for a request that is not counted, because it has
	// neither or because RecordLimit other ids are counted already.
	Execution int
}

// ServeHTTP executes a request, or responds with the load to GET /v1/load.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/v1/load" {
		s.load(w)
		return
	}
	now := time.Now()
	if s.overrun(now) {
		fault.CloseUnanswered(w)
		return
	}
	if slow, active := s.options.Board.Take(now, s.target, fault.Slow); active && !fault.Pause(r, slow.Delay) {
		return
	}
	if _, active := s.options.Board.Take(now, s.target, fault.Reject); active || s.warming() {
		s.options.Counts.Add(counts.Service(s.target), "overloaded")
		wire.WriteRetry(w, http.StatusServiceUnavailable, "overloaded", time.Second)
		return
	}
	hash := xxhash.New()
	if _, err := io.CopyBuffer(hash, http.MaxBytesReader(w, r.Body, wire.LargeBody), make([]byte, copyBufferBytes)); err != nil {
		wire.WriteError(w, http.StatusBadRequest, "invalid", err.Error())
		return
	}
	if !s.acquireSlot(r) {
		return
	}
	defer s.releaseSlot()
	// A request counts as executed from its start, so that a cancelled one counts too.
	execution := s.record(now, r)
	if !fault.Pause(r, s.executionTime(r)) {
		return
	}
	if _, active := s.options.Board.Take(now, s.target, fault.LoseAnswer); active {
		fault.CloseUnanswered(w)
		return
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	wire.Write(w, http.StatusOK, executionResponse{
		Service: s.options.ID, Request: r.Header.Get("X-Request-Id"), IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Method: r.Method, Path: r.URL.Path, BodyHash: hash.Sum64(), Execution: execution,
	})
}

// acquireSlot waits for a slot. It returns false when the request is cancelled before.
func (s *Service) acquireSlot(r *http.Request) bool {
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	select {
	case s.slots <- struct{}{}:
		s.running.Add(1)
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Service) releaseSlot() {
	<-s.slots
	s.running.Add(-1)
}

func (s *Service) executionTime(r *http.Request) time.Duration {
	if r.URL.RawQuery == "" {
		return s.options.Time
	}
	requested, err := time.ParseDuration(r.URL.Query().Get("time"))
	if err != nil || requested < 0 {
		return s.options.Time
	}
	return min(requested, maxTime)
}

func (s *Service) record(now time.Time, r *http.Request) int {
	request, key := r.Header.Get("X-Request-Id"), r.Header.Get("Idempotency-Key")
	s.options.Counts.Add(counts.Service(s.target), "execution")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executed++
	if s.state == StateLeaving {
		s.afterNotice++
		s.latestAfterNotice = now.Sub(s.noticeAt)
	}
	if _, known := s.byRequest[request]; request != "" && (known || len(s.byRequest) < s.options.RecordLimit) {
		s.byRequest[request]++
	}
	if key == "" {
		return s.byRequest[request]
	}
	s.byKey[key]++
	return s.byKey[key]
}

// Executions holds how often requests were executed.
type Executions struct {
	Total     int64
	ByRequest map[string]int
	ByKey     map[string]int
	// RequestsAfterNotice is the number of requests that got a slot after the service was given
	// notice. LatestAfterNotice is the time from the notice to the arrival of the last of them,
	// and is negative if that request had arrived before the notice.
	RequestsAfterNotice int64
	LatestAfterNotice   wire.Duration
}

// Executions returns the counts. With repeated set, it lists only request ids and keys that
// were executed more than once.
func (s *Service) Executions(repeated bool) Executions {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Executions{
		Total: s.executed, ByRequest: copyCounts(s.byRequest, repeated), ByKey: copyCounts(s.byKey, repeated),
		RequestsAfterNotice: s.afterNotice, LatestAfterNotice: wire.Duration(s.latestAfterNotice),
	}
}

func copyCounts(counted map[string]int, repeated bool) map[string]int {
	copied := map[string]int{}
	for name, count := range counted {
		if count > 1 || !repeated {
			copied[name] = count
		}
	}
	return copied
}
