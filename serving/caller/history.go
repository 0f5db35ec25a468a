package caller

import (
	"sync"
	"time"

	"github.com/arbutuswinch/winch"
)

// AttemptExplanation tells of one try to run a request.
type AttemptExplanation struct {
	Endpoint winch.EndpointID
	// Waited is the time in the queue, Took the time on the endpoint.
	Waited  time.Duration
	Took    time.Duration
	Outcome winch.Outcome
	Tokens  winch.Tokens
}

// Explanation tells what became of a request.
type Explanation struct {
	Request      winch.RequestID
	Organisation winch.OrganisationID
	Class        winch.ClassID
	Model        winch.ModelID
	Route        winch.RouteID
	Arrived      time.Time
	// FirstToken is zero when there was none.
	FirstToken time.Duration
	Took       time.Duration
	Tokens     winch.Tokens
	// Code is "done" or the code of the error.
	Code     string
	RunState string
	Attempts []AttemptExplanation
}

// history keeps the newest explanations.
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

// Explain tells what became of a request that ended here not long ago.
func (s *Server) Explain(id winch.RequestID) (Explanation, bool) { return s.history.find(id) }

// conclusion writes the request's line in the log and keeps its explanation.
func (s *Server) finishRequest(req *request, apiErr *apiError) {
	now := s.now()
	s.recordRequest(now, req)
	code := "done"
	if apiErr != nil {
		code = apiErr.code
	}
	took := now.Sub(req.arrived)
	if req.arrived.IsZero() {
		took = 0
	}
	state := req.ledger.RunState()
	last := winch.EndpointID("")
	if len(req.attempts) > 0 {
		last = req.attempts[len(req.attempts)-1].Endpoint
	}
	s.options.Logger.Info("request done", "Event", EventRequestDone, "Request", req.id,
		"Organisation", req.organisation, "Class", req.class.ID, "Endpoint", last, "State", string(state), "Code", code,
		"FirstToken", req.firstToken.String(), "Took", took.String(), "Tokens", req.outputTokens, "Attempts", len(req.attempts))
	s.metrics.requestDone(req, code, took)
	s.history.add(Explanation{
		Request: req.id, Organisation: req.organisation, Class: req.class.ID, Model: req.model, Route: req.route.ID,
		Arrived: req.arrived, FirstToken: req.firstToken, Took: took, Tokens: req.outputTokens,
		Code: code, RunState: string(state), Attempts: req.attempts,
	})
}

func (s *Server) logFailedAttempt(req *request, a *attempt, err error) {
	s.options.Logger.Info("attempt broken", "Event", EventAttemptBroken, "Request", req.id, "Class", req.class.ID,
		"Endpoint", a.endpoint.ID, "Tokens", req.deliveredTokens, "Error", err)
}
