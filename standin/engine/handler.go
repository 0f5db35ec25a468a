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
	e.credentials.record(r.Header)
	if slow, active := e.options.Board.Take(time.Now(), e.target, fault.Slow); active && !fault.Pause(r, slow.Delay) {
		return
	}
	e.mux.ServeHTTP(w, r)
}

func (e *Engine) count(kind counts.Kind) { e.options.Counts.Add(counts.Service(e.target), kind) }

func (e *Engine) completion(w http.ResponseWriter, r *http.Request, chat bool) {
	e.count("completion")
	request := completionRequest{}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, wire.LargeBody)).Decode(&request); err != nil {
		writeError(w, http.StatusBadRequest, "invalid", err.Error())
		return
	}
	if !e.hasModel(request.Model) {
		writeError(w, http.StatusNotFound, "model_not_found", "the model is not loaded")
		return
	}
	text, err := request.text()
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid", err.Error())
		return
	}
	parsed := parsePrompt(text, request.limit())
	parsed.prefixHash = request.prefixHash()
	added, firstToken, err := newSequence(request, parsed, r.Header.Get("X-Priority"))
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid", err.Error())
		return
	}
	_, rejected := e.options.Board.Take(time.Now(), e.target, fault.Reject)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if rejected || !e.submit(time.Now(), r.Header.Get("X-Request-Id"), added) {
		e.count("overloaded")
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusServiceUnavailable, "overloaded", "the engine takes no more work")
		return
	}
	defer e.closeStream(added, firstToken)
	writer := newCompletionWriter(added, request, r.Header.Get("X-Request-Id"), chat, firstToken)
	w.Header().Set("X-Stream-Id", added.id)
	if request.Stream {
		writer.writeStream(w, r)
		return
	}
	writer.writeJSON(w, r)
}

// newSequence returns the sequence of a request and the index of its first output token.
func newSequence(request completionRequest, parsed prompt, priority string) (*sequence, int, error) {
	added := &sequence{prompt: parsed, prefill: parsed.tokens, wake: make(chan struct{}, 1)}
	if priority != "" {
		urgency, err := strconv.Atoi(priority)
		if err != nil {
			return nil, 0, fmt.Errorf("read X-Priority: %w", err)
		}
		added.priority = urgency
	}
	firstToken := 0
	if request.Resume != nil {
		if request.Resume.Tokens < 0 || request.Resume.Tokens > parsed.outputTokens {
			return nil, 0, fmt.Errorf("resume.tokens: %d is out of range", request.Resume.Tokens)
		}
		firstToken = request.Resume.Tokens
		added.prefill += firstToken
		added.produced.Store(int64(firstToken))
	}
	if request.ImportHandle != "" {
		state, err := parseStateHandle(request.ImportHandle)
		if err != nil {
			return nil, 0, err
		}
		if state.hash != parsed.hash {
			return nil, 0, fmt.Errorf("import_handle: belongs to another prompt")
		}
		known := min(state.tokens, added.prefill)
		added.prefill = max(added.prefill-known+known/importSpeedup, 1)
	}
	added.id = newStreamID()
	return added, firstToken, nil
}

func (e *Engine) hasModel(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, weights := range e.models {
		if model == weights.Model && weights.Adapter == "" || model == weights.Adapter || model == weights.Model+":"+weights.Adapter {
			return true
		}
	}
	return false
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.count("cancel")
	s := e.streamByID(r.PathValue("id"))
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
	s := e.streamByID(r.PathValue("id"))
	if s == nil {
		wire.WriteError(w, http.StatusNotFound, "not_found", "no such stream")
		return
	}
	state := stateHandle{hash: s.prompt.hash, tokens: s.prompt.tokens + int(s.produced.Load())}
	wire.Write(w, http.StatusOK, exportResponse{Handle: state.String()})
}

// streamByID returns the sequence of a stream, or nil.
func (e *Engine) streamByID(id string) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[id]
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.count("load")
	now := time.Now()
	lag := e.options.ReportLag
	if added, active := e.options.Board.Take(now, e.target, fault.ReportLag); active {
		lag += added.Delay
	}
	wire.Write(w, http.StatusOK, e.loadAt(now.Add(-lag)))
}

func (e *Engine) loadAt(instant time.Time) loadResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	sample, rate := e.loadHistory.at(instant)
	return loadResponse{
		AsOf:            instant,
		Running:         sample.running,
		Waiting:         sample.waiting,
		TokensPerSecond: rate,
		CacheUsed:       sample.cacheUsed,
		CacheLimit:      e.options.CacheTokens,
		Models:          append([]Weights{}, e.models...),
		Role:            e.role,
		State:           e.effectiveState(),
	}
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	e.count("cache_events")
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil { // Without a valid number, all kept events are returned.
		after = 0
	}
	e.mu.Lock()
	events := e.cache.since(after, time.Now().Add(-e.options.EventLag))
	e.mu.Unlock()
	response := eventsResponse{Events: make([]eventResponse, 0, len(events)), Next: after}
	for _, event := range events {
		response.Events = append(response.Events, eventResponse{Sequence: event.sequence, Prefix: event.prefix, Evicted: event.evicted})
		response.Next = event.sequence
	}
	wire.Write(w, http.StatusOK, response)
}

func writeError(w http.ResponseWriter, status int, code, text string) {
	kind := "invalid_request_error"
	if status >= http.StatusInternalServerError {
		kind = "server_error"
	}
	wire.Write(w, status, errorResponse{Error: errorDetail{Message: text, Type: kind, Code: code}, Code: code, Message: text})
}

// stateHandle identifies exported computed state that another engine can import: the hash of
// the prompt and the number of computed tokens.
type stateHandle struct {
	hash   uint64
	tokens int
}

// String returns the text that parseStateHandle reads.
func (h stateHandle) String() string { return fmt.Sprintf("%x.%d", h.hash, h.tokens) }

func parseStateHandle(text string) (stateHandle, error) {
	left, right, found := strings.Cut(text, ".")
	hash, hashErr := strconv.ParseUint(left, 16, 64)
	tokens, tokensErr := strconv.Atoi(right)
	if !found || hashErr != nil || tokensErr != nil || tokens < 0 {
		return stateHandle{}, fmt.Errorf("import_handle: not a handle")
	}
	return stateHandle{hash: hash, tokens: tokens}, nil
}
