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
	"github.com/arbutuswinch/winch/serving/internal/runstate"
)

const (
	// stallChecksPerTimeout is how often progress is checked within one stall timeout.
	stallChecksPerTimeout = 4
	// refusalBodyLimit is the maximum number of bytes read from an endpoint's refusal.
	refusalBodyLimit = 16 << 10
)

// attempt is one attempt to run a request on an endpoint.
type attempt struct {
	slot     winch.Slot
	endpoint winch.Endpoint
	ctx      context.Context
	cancel   context.CancelCauseFunc
	reply    *winch.Reply
	// started is when the slot was granted.
	started time.Time
	// progress counts the events that the endpoint sent, to detect stalls.
	progress atomic.Int64
	// complete says that the whole response was read, so there is nothing to cancel at the
	// endpoint.
	complete bool
	usage    attemptUsage
}

// watchProgress cancels the attempt when its slot is preempted or the endpoint stalls.
func (s *Server) watchProgress(a *attempt, class winch.Class, stream bool) {
	first, next := s.options.Limits.stallTimeouts(class)
	if !stream {
		// A non-streaming response shows no progress before it is complete; only the
		// request's deadline bounds it.
		first, next = math.MaxInt64, math.MaxInt64
	}
	ticker := time.NewTicker(first / stallChecksPerTimeout)
	defer ticker.Stop()
	silentChecks, lastProgress := 0, int64(0)
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
		if progress != lastProgress {
			if lastProgress == 0 {
				ticker.Reset(next / stallChecksPerTimeout)
			}
			silentChecks, lastProgress = 0, progress
			continue
		}
		if silentChecks++; silentChecks >= stallChecksPerTimeout {
			a.cancel(errStalled)
			return
		}
	}
}

// dispatch sends the request to an endpoint and returns the attempt once a response has
// begun. After a failure it tries other endpoints as long as handleFailure permits it.
func (s *Server) dispatch(ctx context.Context, req *request) (*attempt, *apiError) {
	for {
		a, apiErr := s.acquire(ctx, req)
		if apiErr != nil {
			return nil, apiErr
		}
		reply, err := s.senderFor(req, a.endpoint).Send(a.ctx, a.endpoint, s.newCall(req))
		if err == nil {
			a.reply = reply
			err = s.checkStatus(req, a)
		}
		if err == nil {
			req.advance(runstate.ResponseStarted)
			return a, nil
		}
		if apiErr := s.handleFailure(ctx, req, a, err); apiErr != nil {
			return nil, apiErr
		}
	}
}

// acquire waits for a slot. The API key may be withdrawn during the wait, so it is checked
// before and after it.
func (s *Server) acquire(ctx context.Context, req *request) (*attempt, *apiError) {
	if err := s.verifyKey(s.now(), req); err != nil {
		return nil, errorForCause(err)
	}
	waitStarted := s.now()
	slot, apiErr := s.acquireSlot(ctx, waitStarted, req)
	if apiErr != nil {
		return nil, apiErr
	}
	now := s.now()
	if err := s.verifyKey(now, req); err != nil {
		slot.Release(now, winch.OutcomeCancelled)
		req.advance(runstate.SlotReturned)
		return nil, errorForCause(err)
	}
	a := &attempt{slot: slot, endpoint: slot.Endpoint(), started: now}
	a.ctx, a.cancel = attemptContext(ctx, req)
	a.usage = attemptUsage{previouslyDelivered: req.deliveredTokens, recordedByPeer: a.endpoint.Kind == winch.EndpointPeer}
	req.attempts = append(req.attempts, AttemptExplanation{Endpoint: a.endpoint.ID, Waited: now.Sub(waitStarted)})
	req.advance(runstate.SendStarted)
	// Calls to plain services are not watched: they show no progress before the response and
	// are not preempted. Only their deadline bounds them.
	if req.route.ID == "" {
		go s.watchProgress(a, req.class, req.stream)
	}
	return a, nil
}

// acquireSlot waits for a slot at an endpoint whose data centre has not been evacuated during the wait.
func (s *Server) acquireSlot(ctx context.Context, now time.Time, req *request) (winch.Slot, *apiError) {
	for {
		slot, err := s.options.Dispatcher.Acquire(ctx, now, s.newWork(ctx, req))
		if err != nil {
			return nil, s.acquireError(ctx, req, err)
		}
		req.advance(runstate.SlotGranted)
		now = s.now()
		if !slot.Evacuated(now) {
			return slot, nil
		}
		slot.Release(now, winch.OutcomeCancelled)
		req.advance(runstate.SlotReturned)
	}
}

// attemptContext returns the context of an attempt. A non-repeatable call continues after
// its caller disconnects: cancelling it would leave its outcome unknown. With an idempotency
// key its response can be stored for the caller's next call; without one the response is
// lost, but the call is still run to its end.
func attemptContext(ctx context.Context, req *request) (context.Context, context.CancelCauseFunc) {
	if req.tracker.Repeatable {
		return context.WithCancelCause(ctx)
	}
	return context.WithCancelCause(req.detached)
}

// acquireError converts an error of Acquire. A refusal takes precedence over the end of the
// context. If no endpoint is left after a peer refused the request, the caller gets the
// peer's refusal, which says more.
func (s *Server) acquireError(ctx context.Context, req *request, err error) *apiError {
	if ctx.Err() != nil && !errors.Is(err, winch.ErrRefused) {
		err = context.Cause(ctx)
	}
	if apiErr := errorForCause(err); apiErr != nil {
		if req.lastRefusal != nil && apiErr.code == string(winch.RefusedNoEndpoint) {
			return req.lastRefusal
		}
		return apiErr
	}
	if ctx.Err() != nil {
		return callerDisconnected()
	}
	return refusalError(winch.RefusedNoEndpoint, "no endpoint could be assigned", time.Second)
}

const codeCallerLeft = "caller_left"

// callerDisconnected is the error for a caller that has disconnected; it is logged, but
// never sent. 499 is nginx's "client closed request".
func callerDisconnected() *apiError {
	return &apiError{status: 499, code: codeCallerLeft, message: "the caller went away"}
}

func (e *apiError) isCallerLeft() bool { return e != nil && e.code == codeCallerLeft }

// newWork describes the request to the dispatcher. A request from a peer is marked as local,
// so that it is not forwarded again.
func (s *Server) newWork(ctx context.Context, req *request) winch.Work {
	deadline, _ := ctx.Deadline()
	return winch.Work{
		Request: req.id, Organisation: req.organisation, Class: req.class.ID,
		Model: req.model, Route: req.route.ID, Prefix: req.prefix,
		InputTokens: req.inputTokens, OutputDone: req.deliveredTokens,
		Arrived: req.arrived, Deadline: deadline, Excluded: req.excludedEndpoints, LocalOnly: req.fromPeer,
		Software: req.software,
	}
}

func (s *Server) newCall(req *request) winch.Call {
	body := req.body
	if req.deliveredTokens > 0 && !s.options.guardSwitches.noResume {
		body = withResume(body, req.deliveredTokens, req.deliveredText)
	}
	return winch.Call{
		Request: req.id, Organisation: req.organisation, Class: req.class.ID, Tier: req.class.Tier, Route: req.route.ID,
		Method: req.method, Path: req.path, Header: req.header, Body: body, Repeatable: req.tracker.Repeatable,
		Software: req.software,
	}
}

func (s *Server) senderFor(req *request, endpoint winch.Endpoint) winch.Sender {
	switch {
	// Options permits Peers to be nil if there are no endpoints of this kind.
	case endpoint.Kind == winch.EndpointPeer && s.options.Peers != nil:
		return s.options.Peers
	case req.route.ID != "":
		return s.options.Services
	}
	return s.options.Engines
}

// errEndpointRefused says that the endpoint reported that it did not run the request.
var errEndpointRefused = errors.New("refused by the endpoint")

// checkStatus returns an error for responses that must not go to the caller: refusals, and
// failures after which another endpoint may be tried.
//
// An engine's 401 or 403 means that it rejected this host's credential, so both count as
// failures. From a service, 401, 403 and 500 are its own responses and go to the caller; 502
// and above may come from a proxy, and a repeatable call is then tried elsewhere. 501 goes
// to the caller, since another endpoint would respond the same.
func (s *Server) checkStatus(req *request, a *attempt) error {
	status := a.reply.Status
	if status < http.StatusBadRequest {
		return nil
	}
	if a.endpoint.Kind == winch.EndpointPeer {
		return s.checkPeerStatus(req, a)
	}
	if status == http.StatusNotFound && req.route.ID == "" {
		// The engine does not have the model loaded.
		return errEndpointRefused
	}
	if status < http.StatusInternalServerError && status != http.StatusUnauthorized && status != http.StatusForbidden {
		return nil
	}
	if status == http.StatusServiceUnavailable {
		// Endpoints send this code if they did not run the request.
		body := s.peekBody(a)
		if refusalCode(body) == "overloaded" {
			return errEndpointRefused
		}
	}
	mayRepeat := req.route.ID == "" || req.tracker.Repeatable && status >= http.StatusBadGateway
	if mayRepeat && status != http.StatusNotImplemented {
		return errFailedStatus
	}
	return nil
}

var errFailedStatus = errors.New("endpoint returned an error status")

// checkPeerStatus is checkStatus for error responses of peers, whose header X-Run-State tells
// whether the request was run. It keeps a refusal in lastRefusal, and returns
// ErrOutcomeUnknown if the header does not settle whether the request was run.
func (s *Server) checkPeerStatus(req *request, a *attempt) error {
	switch runstate.RunState(a.reply.Header.Get("X-Run-State")) {
	case runstate.NotRun:
		code := refusalCode(s.peekBody(a))
		// Retry-After is in whole seconds.
		retryAfter, _ := time.ParseDuration(a.reply.Header.Get("Retry-After") + "s")
		req.lastRefusal = refusalError(winch.RefusalReason(code), "refused in another data centre", retryAfter)
		return errEndpointRefused
	case runstate.Ran:
		return nil
	}
	if a.reply.Status == http.StatusUnauthorized {
		// The peer rejected this host's secret, so it did not run the request.
		return errEndpointRefused
	}
	return winch.ErrOutcomeUnknown
}

// peekBody returns the beginning of the response body without consuming it. If the read
// fails, it returns nil, and the bytes that were read are lost.
func (s *Server) peekBody(a *attempt) []byte {
	body, err := io.ReadAll(io.LimitReader(a.reply.Body, refusalBodyLimit))
	if err != nil {
		return nil
	}
	a.reply.Body = &peekedBody{peeked: body, rest: a.reply.Body}
	return body
}

// peekedBody reads the peeked bytes again and then the rest of the body.
type peekedBody struct {
	peeked []byte
	rest   io.ReadCloser
}

// Read implements io.Reader.
func (r *peekedBody) Read(p []byte) (int, error) {
	if len(r.peeked) > 0 {
		count := copy(p, r.peeked)
		r.peeked = r.peeked[count:]
		return count, nil
	}
	return r.rest.Read(p)
}

// Close closes the underlying body.
func (r *peekedBody) Close() error { return r.rest.Close() }
