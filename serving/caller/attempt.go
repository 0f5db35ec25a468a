package caller

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/internal/ledger"
)

const (
	// stallChecks is how often in its limit the silence of an endpoint is looked at.
	stallChecks = 4
	// refusalLimit is the most that is read of an endpoint's refusal, in bytes.
	refusalLimit = 16 << 10
)

// attempt is one try to run a request on an endpoint.
type attempt struct {
	slot     winch.Slot
	endpoint winch.Endpoint
	ctx      context.Context
	cancel   context.CancelCauseFunc
	reply    *winch.Reply
	started  time.Time
	// progress counts what the endpoint sent, for the detection of stalls.
	progress atomic.Int64
	// complete says that nothing is left to cancel at the endpoint.
	complete bool
	account  account
}

// watch cancels the attempt when its slot is preempted or the endpoint falls silent.
func (s *Server) watch(a *attempt, class winch.Class, stream bool) {
	first, next := s.options.Limits.stallAfter(class)
	if !stream {
		// A whole answer shows no progress before its end; its limit is the deadline.
		first, next = math.MaxInt64, math.MaxInt64
	}
	ticker := time.NewTicker(first / stallChecks)
	defer ticker.Stop()
	silent, seen := 0, int64(0)
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-a.slot.Preempted():
			a.cancel(winch.ErrPreempted)
			return
		case <-ticker.C:
		}
		progress := a.progress.Load()
		if progress != seen {
			if seen == 0 {
				ticker.Reset(next / stallChecks)
			}
			silent, seen = 0, progress
			continue
		}
		if silent++; silent >= stallChecks {
			a.cancel(errStalled)
			return
		}
	}
}

// dispatch gets the request to an endpoint that answers it, trying others as far as the ledger allows.
func (s *Server) dispatch(ctx context.Context, req *request) (*attempt, *fault) {
	for {
		a, f := s.acquire(ctx, req)
		if f != nil {
			return nil, f
		}
		reply, err := s.sender(req, a.endpoint).Send(a.ctx, a.endpoint, s.call(req))
		if err == nil {
			a.reply = reply
			err = s.screen(req, a)
		}
		if err == nil {
			req.move(ledger.AnswerCame)
			return a, nil
		}
		if f := s.recover(ctx, req, a, err); f != nil {
			return nil, f
		}
	}
}

// acquire waits for a slot and checks once more that the request may run.
func (s *Server) acquire(ctx context.Context, req *request) (*attempt, *fault) {
	if err := s.stillAuthorized(s.now(), req); err != nil {
		return nil, faultOf(err)
	}
	started := s.now()
	slot, err := s.options.Dispatcher.Acquire(ctx, started, s.work(ctx, req))
	if err != nil {
		return nil, s.unacquired(ctx, req, err)
	}
	req.move(ledger.SlotGranted)
	now := s.now()
	if err := s.stillAuthorized(now, req); err != nil {
		slot.Release(now, winch.OutcomeCancelled)
		req.move(ledger.SlotReturned)
		return nil, faultOf(err)
	}
	a := &attempt{slot: slot, endpoint: slot.Endpoint(), started: now}
	a.ctx, a.cancel = attemptContext(ctx, req)
	a.account = account{base: req.tokens, peer: a.endpoint.Kind == winch.EndpointPeer}
	req.attempts = append(req.attempts, AttemptExplanation{Endpoint: a.endpoint.ID, Waited: now.Sub(started)})
	req.move(ledger.SendStarted)
	if req.route.ID == "" {
		go s.watch(a, req.class, req.stream)
	}
	return a, nil
}

// attemptContext returns the context of an attempt. A call that may not be repeated
// goes on when its caller leaves: broken off, its outcome would be unknown, and
// finished, its answer can be kept for the caller's repeat.
func attemptContext(ctx context.Context, req *request) (context.Context, context.CancelCauseFunc) {
	if req.ledger.Repeatable {
		return context.WithCancelCause(ctx)
	}
	return context.WithCancelCause(req.own)
}

func (s *Server) unacquired(ctx context.Context, req *request, err error) *fault {
	if ctx.Err() != nil && !errors.Is(err, winch.ErrRefused) {
		err = context.Cause(ctx)
	}
	if f := faultOf(err); f != nil {
		if req.lastRefusal != nil && f.code == string(winch.RefusedNoEndpoint) {
			return req.lastRefusal
		}
		return f
	}
	if ctx.Err() != nil {
		return gone()
	}
	return refused(winch.RefusedNoEndpoint, "no endpoint could be assigned", time.Second)
}

// gone stands for the answer to a caller that went away; nobody reads it.
func gone() *fault {
	return &fault{status: 499, code: "caller_left", message: "the caller went away"}
}

func (s *Server) work(ctx context.Context, req *request) winch.Work {
	deadline, _ := ctx.Deadline()
	return winch.Work{
		Request: req.id, Organisation: req.organisation, Class: req.class.ID,
		Model: req.model, Route: req.route.ID, Prefix: req.prefix,
		InputTokens: req.input, OutputDone: req.tokens,
		Arrived: req.arrived, Deadline: deadline, Excluded: req.excluded, Local: req.local,
	}
}

func (s *Server) call(req *request) winch.Call {
	body := req.body
	if req.tokens > 0 && !s.options.unguarded.resume {
		body = withResume(body, req.tokens, req.text)
	}
	return winch.Call{
		Request: req.id, Organisation: req.organisation, Class: req.class.ID, Tier: req.class.Tier, Route: req.route.ID,
		Method: req.method, Path: req.path, Header: req.header, Body: body, Repeatable: req.ledger.Repeatable,
	}
}

func (s *Server) sender(req *request, endpoint winch.Endpoint) winch.Sender {
	switch {
	case endpoint.Kind == winch.EndpointPeer && s.options.Peers != nil:
		return s.options.Peers
	case req.route.ID != "":
		return s.options.Services
	}
	return s.options.Engines
}

// errEndpointRefused: the endpoint said that it did not run the request.
var errEndpointRefused = errors.New("refused by the endpoint")

// screen looks at the status of the answer. It returns an error for answers that are
// none: refusals, and failures after which the request may be tried elsewhere.
func (s *Server) screen(req *request, a *attempt) error {
	status := a.reply.Status
	if status < http.StatusBadRequest {
		return nil
	}
	if a.endpoint.Kind == winch.EndpointPeer {
		return s.screenPeer(req, a)
	}
	if status == http.StatusNotFound && req.route.ID == "" {
		// The engine does not hold the model, or no longer.
		return errEndpointRefused
	}
	if status < http.StatusInternalServerError && status != http.StatusUnauthorized && status != http.StatusForbidden {
		return nil
	}
	if status == http.StatusServiceUnavailable {
		body := s.peek(a)
		if refusalCode(body) == "overloaded" {
			return errEndpointRefused
		}
	}
	mayRepeat := req.route.ID == "" || req.ledger.Repeatable && status >= http.StatusBadGateway
	if mayRepeat && status != http.StatusNotImplemented {
		return errFailedStatus
	}
	return nil
}

var errFailedStatus = errors.New("endpoint failed")

// screenPeer believes what a peer says of the request's state.
func (s *Server) screenPeer(req *request, a *attempt) error {
	switch ledger.RunState(a.reply.Header.Get("X-Run-State")) {
	case ledger.NotRun:
		code := refusalCode(s.peek(a))
		retryAfter, _ := time.ParseDuration(a.reply.Header.Get("Retry-After") + "s")
		req.lastRefusal = refused(winch.RefusalReason(code), "refused in another data centre", retryAfter)
		return errEndpointRefused
	case ledger.Ran:
		return nil
	}
	if a.reply.Status == http.StatusUnauthorized {
		// The peer does not take requests from this host.
		return errEndpointRefused
	}
	return winch.ErrOutcomeUnknown
}

// peek reads the beginning of the answer, and leaves it readable.
func (s *Server) peek(a *attempt) []byte {
	body, err := io.ReadAll(io.LimitReader(a.reply.Body, refusalLimit))
	if err != nil {
		return nil
	}
	a.reply.Body = &rejoined{first: body, rest: a.reply.Body}
	return body
}

// rejoined reads what was peeked at, and then the rest.
type rejoined struct {
	first []byte
	rest  io.ReadCloser
}

// Read reads on.
func (r *rejoined) Read(p []byte) (int, error) {
	if len(r.first) > 0 {
		count := copy(p, r.first)
		r.first = r.first[count:]
		return count, nil
	}
	return r.rest.Read(p)
}

// Close closes the rest.
func (r *rejoined) Close() error { return r.rest.Close() }
