package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/arbutuswinch/winch/standin/counts"
	"github.com/arbutuswinch/winch/standin/fault"
	"github.com/arbutuswinch/winch/standin/wire"
)

func (e *Engine) routes() {
	e.mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.completion(w, r, true) })
	e.mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.completion(w, r, false) })
	e.mux.HandleFunc("POST /v1/streams/{id}/cancel", e.cancel)
	e.mux.HandleFunc("POST /v1/streams/{id}/export", e.export)
	e.mux.HandleFunc("GET /v1/load", e.load)
	e.mux.HandleFunc("GET /v1/cache/events", e.cacheEvents)
	e.mux.HandleFunc("POST /v1/orders", e.order)
}

// ServeHTTP implements http.Handler and records the credentials of each request.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.secrets.note(r.Header)
	if slow, hit := e.options.Board.Take(time.Now(), e.target, fault.Slow); hit && !fault.Pause(r, slow.Delay) {
		return
	}
	e.mux.ServeHTTP(w, r)
}

func (e *Engine) count(kind counts.Kind) { e.options.Counts.Add(counts.Service(e.target), kind) }

func (e *Engine) completion(w http.ResponseWriter, r *http.Request, chat bool) {
	e.count("completion")
	call := completionCall{}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, wire.LargeBody)).Decode(&call); err != nil {
		writeError(w, http.StatusBadRequest, "invalid", err.Error())
		return
	}
	if !e.has(call.Model) {
		writeError(w, http.StatusNotFound, "model_not_found", "the model is not loaded")
		return
	}
	text, err := call.text()
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid", err.Error())
		return
	}
	read := readPrompt(text, call.limit())
	read.prefixHash = call.prefixHash()
	own, from, err := newSequence(call, read, r.Header.Get("X-Priority"))
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid", err.Error())
		return
	}
	_, rejected := e.options.Board.Take(time.Now(), e.target, fault.Reject)
	if rejected || !e.submit(time.Now(), r.Header.Get("X-Request-Id"), own) {
		e.count("overloaded")
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusServiceUnavailable, "overloaded", "the engine takes no more work")
		return
	}
	defer e.leave(own, from)
	answer := newAnswer(own, call, r.Header.Get("X-Request-Id"), chat, from)
	w.Header().Set("X-Stream-Id", own.id)
	if call.Stream {
		answer.stream(w, r)
		return
	}
	answer.whole(w, r)
}

// newSequence returns the sequence of a request and the index of its first output token.
func newSequence(call completionCall, read prompt, priority string) (*sequence, int, error) {
	own := &sequence{prompt: read, prefill: read.tokens, wake: make(chan struct{}, 1)}
	if priority != "" {
		urgency, err := strconv.Atoi(priority)
		if err != nil {
			return nil, 0, fmt.Errorf("read X-Priority: %w", err)
		}
		own.priority = urgency
	}
	from := 0
	if call.Resume != nil {
		if call.Resume.Tokens < 0 || call.Resume.Tokens > read.length {
			return nil, 0, fmt.Errorf("resume.tokens: %d is out of range", call.Resume.Tokens)
		}
		from = call.Resume.Tokens
		own.prefill += from
		own.produced.Store(int64(from))
	}
	if call.ImportHandle != "" {
		state, err := parseHandle(call.ImportHandle)
		if err != nil {
			return nil, 0, err
		}
		if state.hash != read.hash {
			return nil, 0, fmt.Errorf("import_handle: belongs to another prompt")
		}
		known := min(state.tokens, own.prefill)
		own.prefill = max(own.prefill-known+known/importGain, 1)
	}
	own.id = newStreamID()
	return own, from, nil
}

func (e *Engine) has(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, held := range e.loaded {
		if model == held.Model && held.Adapter == "" || model == held.Adapter || model == held.Model+":"+held.Adapter {
			return true
		}
	}
	return false
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.count("cancel")
	s := e.stream(r.PathValue("id"))
	if s == nil {
		wire.WriteError(w, http.StatusNotFound, "not_found", "no such stream")
		return
	}
	s.ended.Store(true)
	s.signal()
	wire.Write(w, http.StatusOK, struct{}{})
}

func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	e.count("export")
	s := e.stream(r.PathValue("id"))
	if s == nil {
		wire.WriteError(w, http.StatusNotFound, "not_found", "no such stream")
		return
	}
	state := handle{hash: s.prompt.hash, tokens: s.prompt.tokens + int(s.produced.Load())}
	wire.Write(w, http.StatusOK, exportAnswer{Handle: state.String()})
}

func (e *Engine) stream(id string) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[id]
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.count("load")
	now := time.Now()
	lag := e.options.ReportLag
	if late, hit := e.options.Board.Take(now, e.target, fault.ReportLag); hit {
		lag += late.Delay
	}
	wire.Write(w, http.StatusOK, e.loadAt(now.Add(-lag)))
}

func (e *Engine) loadAt(instant time.Time) loadAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	past, rate := e.reports.at(instant)
	return loadAnswer{
		AsOf:            instant,
		Running:         past.running,
		Waiting:         past.waiting,
		TokensPerSecond: rate,
		CacheUsed:       past.cacheUsed,
		CacheLimit:      e.options.CacheTokens,
		Models:          append([]Weights{}, e.loaded...),
		Role:            e.role,
		State:           e.current(),
	}
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	e.count("cache_events")
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	e.mu.Lock()
	events := e.cache.since(after, time.Now().Add(-e.options.EventLag))
	e.mu.Unlock()
	answer := eventsAnswer{Events: make([]eventAnswer, 0, len(events)), Next: after}
	for _, event := range events {
		answer.Events = append(answer.Events, eventAnswer{Sequence: event.sequence, Prefix: event.prefix, Evicted: event.evicted})
		answer.Next = event.sequence
	}
	wire.Write(w, http.StatusOK, answer)
}

func writeError(w http.ResponseWriter, status int, code, text string) {
	kind := "invalid_request_error"
	if status >= http.StatusInternalServerError {
		kind = "server_error"
	}
	wire.Write(w, status, errorAnswer{Error: errorDetail{Message: text, Type: kind, Code: code}, Code: code, Message: text})
}

// handle identifies exported computed state that another engine can import: the hash of
// the prompt and the number of computed tokens.
type handle struct {
	hash   uint64
	tokens int
}

// String returns the text that parseHandle reads.
func (h handle) String() string { return fmt.Sprintf("%x.%d", h.hash, h.tokens) }

func parseHandle(text string) (handle, error) {
	left, right, found := strings.Cut(text, ".")
	hash, hashErr := strconv.ParseUint(left, 16, 64)
	tokens, tokensErr := strconv.Atoi(right)
	if !found || hashErr != nil || tokensErr != nil || tokens < 0 {
		return handle{}, fmt.Errorf("import_handle: not a handle")
	}
	return handle{hash: hash, tokens: tokens}, nil
}
