package caller

import (
	"sync"
	"time"

	"github.com/arbutuswinch/winch"
)

// AttemptExplanation describes one attempt to run a request.
type AttemptExplanation struct {
	Endpoint winch.EndpointID
	// Waited is the time in the queue, Took the time at the endpoint.
	Waited   time.Duration
	Duration time.Duration
	Outcome  winch.Outcome
	Tokens   winch.Tokens
}

// Explanation describes how a request was processed and how it ended.
type Explanation struct {
	Request      winch.RequestID
	Organisation winch.OrganisationID
	Class        winch.ClassID
	Model        winch.ModelID
	Route        winch.RouteID
	Arrived      time.Time
	// FirstToken is the time from arrival to the first token; zero if there was none.
	FirstToken time.Duration
	Took       time.Duration
	Tokens     winch.Tokens
	// Code is "done" or an error code.
	Code     string
	RunState string
	Attempts []AttemptExplanation
}

// history keeps the most recent explanations in a ring buffer.
type history struct {
	mutex sync.Mutex
	ring  []Explanation
	next  int
	byID  map[winch.RequestID]int
}

func newHistory(size int) *history {
	return &history{ring: make([]Explanation, size), byID: make(map[winch.RequestID]int, size)}
}

func (h *history) add(explanation Explanation) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	old := h.ring[h.next].Request
	// A later request may have used the same ID; its entry stays.
	if h.byID[old] == h.next {
		delete(h.byID, old)
	}
	h.ring[h.next] = explanation
	h.byID[explanation.Request] = h.next
	h.next = (h.next + 1) % len(h.ring)
}

func (h *history) find(id winch.RequestID) (Explanation, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	index, found := h.byID[id]
	if !found {
		return Explanation{}, false
	}
	return h.ring[index], true
}

// Explain returns the explanation of a request that ended recently on this host. Limits.History
// bounds how many are kept.
func (s *Server) Explain(id winch.RequestID) (Explanation, bool) { return s.history.find(id) }

// finishRequest records the usage and metrics of a request, logs it and keeps its
// explanation.
func (s *Server) finishRequest(req *request, apiErr *apiError) {
	now := s.now()
	s.recordRequest(now, req)
	code := "done"
	if apiErr != nil {
		code = apiErr.code
	}
	took := now.Sub(req.arrived)
	// The arrival is not set if the request was refused before admit, because its ID is invalid
	// or the server shuts down.
	if req.arrived.IsZero() {
		took = 0
	}
	state := req.tracker.RunState()
	last := winch.EndpointID("")
	if len(req.attempts) > 0 {
		last = req.attempts[len(req.attempts)-1].Endpoint
	}
	s.options.Logger.Info("request ended", "Event", EventRequestDone, "Request", req.id,
		"Organisation", req.organisation, "Class", req.class.ID, "Endpoint", last, "State", string(state), "Code", code,
		"FirstToken", req.timeToFirstToken.String(), "Took", took.String(), "Tokens", req.outputTokens, "Attempts", len(req.attempts))
	s.metrics.requestDone(req, code, took)
	s.history.add(Explanation{
		Request: req.id, Organisation: req.organisation, Class: req.class.ID, Model: req.model, Route: req.route.ID,
		Arrived: req.arrived, FirstToken: req.timeToFirstToken, Took: took, Tokens: req.outputTokens,
		Code: code, RunState: string(state), Attempts: req.attempts,
	})
}

func (s *Server) logFailedAttempt(req *request, a *attempt, err error) {
	s.options.Logger.Info("attempt ended early", "Event", EventAttemptFailed, "Request", req.id, "Class", req.class.ID,
		"Endpoint", a.endpoint.ID, "Tokens", req.deliveredTokens, "Error", err)
}
