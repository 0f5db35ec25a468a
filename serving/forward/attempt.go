package forward

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/internal/runstate"
)

// attempt is one call of an endpoint on behalf of a request.
type attempt struct {
	slot     winch.Slot
	endpoint winch.Endpoint
	ctx      context.Context
	cancel   context.CancelCauseFunc
	// pause stops the timeout of the attempt, and restart starts it again with its whole length.
	pause   func()
	restart func()
	reply   *winch.ForwardReply
	started time.Time
	// outputStarted reports whether the endpoint has sent part of its output.
	outputStarted bool
	// answering reports whether the endpoint has sent an event, or the whole of a response that is not streamed.
	answering bool
	// events is the number of events that the endpoint has sent, lastEventAt when it sent the latest.
	events      int
	lastEventAt time.Time
	// confirms reports whether the attempt asked for the rest of a stream whose end was assumed.
	confirms bool
}

// attemptRecord is the summary of an attempt for the log.
type attemptRecord struct {
	endpoint winch.EndpointID
	software winch.SoftwareVersion
	waited   time.Duration
	took     time.Duration
	status   int
	outcome  string
	// endsWithConnection is that of winch.ExchangeAnswer.
	endsWithConnection bool
	// events is the number of events of a stream that the attempt has brought, and silence the time from the latest one to its end.
	events  int
	silence time.Duration
}

// run sends the request to one endpoint after another until one of them responds, as far as
// the tracker, the route and the retry budget allow.
func (s *Server) run(ctx context.Context, w http.ResponseWriter, req *request) *fault {
	for {
		if f := s.findOrigin(ctx, req); f != nil {
			return s.faultAfterAttempts(req, f)
		}
		a, f := s.acquire(ctx, req)
		if f != nil {
			return f
		}
		err := s.send(w, req, a)
		f = s.finishAttempt(ctx, req, a, err)
		if f != nil || err == nil {
			return f
		}
	}
}

// acquire waits for a slot, at an endpoint that is still the run that was listed if the request needs a software version, and whose
// data centre has not been evacuated since. It checks, before the wait and last of all, whether the request is still admitted.
func (s *Server) acquire(ctx context.Context, req *request) (*attempt, *fault) {
	started := s.now()
	for {
		if f := s.checkSend(s.now(), req); f != nil {
			return nil, s.faultAfterAttempts(req, f)
		}
		slot, f := s.waitForSlot(ctx, req)
		if f != nil {
			return nil, f
		}
		req.updateTracker(runstate.SlotGranted)
		if !req.fits(slot.Endpoint()) {
			// A second version has appeared while the request waited.
			slot.Release(s.now(), winch.OutcomeCancelled)
			req.updateTracker(runstate.SlotReturned)
			req.software = req.origin.Software
			continue
		}
		_, err := s.checkStillListed(ctx, req.streamKey(), req.software, slot)
		if err == nil && slot.Evacuated(s.now()) {
			slot.Release(s.now(), winch.OutcomeCancelled)
			req.updateTracker(runstate.SlotReturned)
			continue
		}
		if err == nil {
			return s.beginAttempt(ctx, req, slot, started)
		}
		s.options.Logger.Info("endpoint not used for a stream", "Event", EventOriginDoubted, "Stream", string(req.streamKey()),
			"Endpoint", string(slot.Endpoint().ID), "Error", err)
		slot.Release(s.now(), winch.OutcomeRestarted)
		req.updateTracker(runstate.SlotReturned)
		req.excluded = append(req.excluded, slot.Endpoint().ID)
	}
}

// waitForSlot waits for a slot for the request.
func (s *Server) waitForSlot(ctx context.Context, req *request) (winch.Slot, *fault) {
	if req.asksForRest() {
		limited, cancelLimit := context.WithTimeoutCause(ctx, req.restUntil.Sub(s.now()), errDeadline)
		defer cancelLimit()
		ctx = limited
	}
	waiting, cancel := s.slotContext(ctx, req)
	defer cancel()
	slot, err := s.options.Dispatcher.Acquire(waiting, s.now(), s.newWork(req))
	if err != nil {
		return nil, s.acquireFailure(waiting, req, err)
	}
	return slot, nil
}

// beginAttempt returns an attempt with the slot, for which the request has waited since started, if the request is still admitted.
func (s *Server) beginAttempt(ctx context.Context, req *request, slot winch.Slot, started time.Time) (*attempt, *fault) {
	now := s.now()
	model := req.admission.model
	f := s.checkSend(now, req)
	if f == nil && req.admission.model != model {
		f = notRun("route_changed", notReadyRetryAfter)
	}
	if f == nil && ctx.Err() != nil {
		f = contextFault(ctx, req.sends > 0)
	}
	if f != nil {
		slot.Release(now, winch.OutcomeCancelled)
		req.updateTracker(runstate.SlotReturned)
		return nil, s.faultAfterAttempts(req, f)
	}
	a := &attempt{slot: slot, endpoint: slot.Endpoint(), started: now}
	s.setContext(ctx, req, a)
	req.attempts = append(req.attempts, attemptRecord{endpoint: a.endpoint.ID, software: a.endpoint.Software, waited: now.Sub(started)})
	req.updateTracker(runstate.SendStarted)
	return a, nil
}

// checkSend checks whether the request may be sent to an endpoint now.
func (s *Server) checkSend(now time.Time, req *request) *fault {
	if f := s.checkAdmission(now, req); f != nil {
		return f
	}
	if !s.options.Quarantine.Admit(now, req.ForwardRequest) {
		return quarantined()
	}
	return s.checkStop(now, req)
}

// faultAfterAttempts returns f. If an attempt may have run, and f would tell the caller that the
// request was not run, it returns a fault with an unknown outcome instead.
func (s *Server) faultAfterAttempts(req *request, f *fault) *fault {
	if req.tracker.RunState() == runstate.NotRun || f.leavesOutcomeOpen() {
		return f
	}
	return outcomeUnknown(f.reason)
}

func (s *Server) acquireFailure(ctx context.Context, req *request, err error) *fault {
	var refusal *winch.Refusal
	switch {
	case errors.As(err, &refusal):
		return s.faultAfterAttempts(req, dispatcherRefusal(refusal))
	case ctx.Err() != nil:
		return s.faultAfterAttempts(req, contextFault(ctx, false))
	}
	return s.faultAfterAttempts(req, notRun(string(winch.RefusedNoEndpoint), notReadyRetryAfter))
}

// setContext gives the attempt its context. A call of a ForwardOnce route continues
// after its caller has disconnected, because its outcome would be unknown if it were cancelled. An attempt has no timeout while
// a shutdown leaves no time for another one.
func (s *Server) setContext(ctx context.Context, req *request, a *attempt) {
	if req.admission.route.Kind == winch.ForwardOnce {
		ctx = req.detached
	}
	attempting, cancel := context.WithCancelCause(ctx)
	a.ctx, a.cancel, a.pause, a.restart = attempting, cancel, func() {}, func() {}
	if req.asksForRest() {
		timer := time.AfterFunc(req.restUntil.Sub(a.started), func() { cancel(errRestTimeout) })
		a.pause = func() { timer.Stop() }
		return
	}
	limit := attemptTimeout(req.admission, req.sends)
	if limit == 0 {
		return
	}
	retry := s.stopCandidate(s.now(), req)
	retry.mayHaveRun = true
	timer := time.AfterFunc(limit, func() {
		if times := s.stopTimes.Load(); times == nil || times.maySend(s.now(), retry) {
			cancel(errAttemptTimeout)
		}
	})
	a.pause, a.restart = func() { timer.Stop() }, func() { timer.Reset(limit) }
	a.cancel = func(cause error) {
		timer.Stop()
		cancel(cause)
	}
}

const (
	// attemptTargetFactor times the class's first-token target is the timeout of an attempt
	// that can be retried.
	attemptTargetFactor = 2.5
	minAttemptTimeout   = 200 * time.Millisecond
)

// attemptTimeout returns the timeout of an idempotent request's attempt if another attempt
// is allowed after it; sends does not count the attempt itself. Zero means that only the
// request's deadline applies.
func attemptTimeout(admitted admission, sends int) time.Duration {
	if admitted.route.Kind != winch.ForwardIdempotent || sends+1 >= admitted.route.MaxAttempts || admitted.class.FirstTokenTarget <= 0 {
		return 0
	}
	return max(minAttemptTimeout, time.Duration(attemptTargetFactor*float64(admitted.class.FirstTokenTarget)))
}

func (s *Server) newWork(req *request) winch.Work {
	// NotResumable: only a resumable stream can continue at another endpoint. Other repeatable requests
	// are run again from the beginning.
	work := winch.Work{
		Request: req.ID, Organisation: req.admission.organisation, Class: req.admission.class.ID, Model: req.admission.model,
		InputTokens: req.InputTokens, OutputTokens: req.OutputTokens, OutputHint: req.OutputHint, Parts: req.Parts, Arrived: req.arrived, Deadline: req.deadline,
		Excluded: req.excluded, NotResumable: !req.admission.route.Repeatable() || req.admission.route.Kind != winch.ForwardStream,
		NonStreaming: req.admission.route.Kind != winch.ForwardStream, Software: req.software,
	}
	if req.responseStarted {
		// The number of delivered tokens is not known here. Any number above zero marks a request
		// whose response has started.
		work.OutputDone = 1
	}
	return work
}

// send sends the request and relays the response. The error tells why the attempt failed.
func (s *Server) send(w http.ResponseWriter, req *request, a *attempt) error {
	call := winch.ForwardCall{
		Request: req.ForwardRequest, Body: req.body, Organisation: req.admission.organisation, Tier: req.admission.class.Tier,
		Timeout: req.deadline.Sub(a.started), LastEvent: req.lastEvent,
		Again: slices.Contains(req.excluded, a.endpoint.ID),
	}
	reply, err := s.options.Sender.Forward(a.ctx, a.endpoint, call)
	if err != nil {
		return err
	}
	a.reply = reply
	s.observeEndpoint(req, a)
	last := &req.attempts[len(req.attempts)-1]
	last.status, last.endsWithConnection = reply.Status, reply.EndsWithConnection
	if err := checkReply(req, reply); err != nil {
		return err
	}
	req.updateTracker(runstate.ResponseStarted)
	if req.admission.route.Kind == winch.ForwardStream && reply.Status == http.StatusOK {
		return s.relayStream(w, req, a)
	}
	return s.relayBuffered(w, req, a)
}

var (
	// errEndpointRefused: the endpoint reported that it did not run the request.
	errEndpointRefused = errors.New("endpoint refused the request")
	// errMisdirected: the address now belongs to another endpoint.
	errMisdirected = errors.New("address belongs to another endpoint")
	// errUnsigned: a response with a success status lacks the endpoint's signature.
	errUnsigned = errors.New("response lacks the endpoint's signature")
	// errErrorStatus: the endpoint returned an error that must not be relayed, because the
	// request may be retried or because the caller already has the start of another response.
	errErrorStatus = errors.New("endpoint returned an error status")
	// errOtherType: the response to a request to continue a stream is of another type than the stream.
	errOtherType = errors.New("response does not continue the stream: it has another content type")
	// errAmbiguousStatus: callers would read the status as "not run", but the endpoint did not
	// report that.
	errAmbiguousStatus = errors.New("status implies that the request was not run, but the endpoint did not report that")
)

// checkReply checks the status and the signature of a response. It returns an error for
// those that must not be relayed: refusals, responses that cannot be trusted, and errors
// after which the request may be retried.
func checkReply(req *request, reply *winch.ForwardReply) error {
	switch {
	case reply.Misdirected:
		return errMisdirected
	case reply.NotExecuted:
		return errEndpointRefused
	case !reply.Authentic && reply.Status < http.StatusBadRequest:
		// Only responses with a success status need a signature; an error claims no result.
		return errUnsigned
	case impliesNotRun(reply.Status):
		return errAmbiguousStatus
	case req.responseStarted && reply.Status != http.StatusOK:
		// The caller has already received the start of another response.
		return errErrorStatus
	case req.responseStarted && reply.Header.Get("Content-Type") != req.contentType:
		return errOtherType
	case reply.Status >= http.StatusInternalServerError && req.mayRetry():
		return errErrorStatus
	}
	return nil
}

// impliesNotRun reports whether callers understand the status as "the request was not run".
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// mayRetry reports whether another attempt is allowed after the current one, which may have run
// and is not counted in sends yet.
func (req *request) mayRetry() bool {
	return req.tracker.Repeatable && req.sends+1 < req.admission.route.MaxAttempts
}

// observeEndpoint passes on what the endpoint says of itself in the head of its response, whatever becomes of the request.
func (s *Server) observeEndpoint(req *request, a *attempt) {
	now := s.now()
	s.options.Listener.ObserveWord(now, a.slot.StartedAt(), winch.EndpointWord{
		Endpoint: a.endpoint.ID, Request: req.ID, Leaving: a.reply.Leaving, RestsFor: a.reply.RestsFor,
		Rate: a.reply.Rate, SentAt: a.started,
	})
	load := a.reply.Load
	if load == nil {
		return
	}
	s.options.Loads.ObserveLoad(now, winch.LoadReport{
		Endpoint: a.endpoint.ID, AsOf: now, Running: load.Running, Waiting: load.Waiting, Pace: load.Pace,
	})
}

// updateTracker applies an event to the request's tracker. An event that is not possible in the
// tracker's state has no effect; none is expected here.
func (req *request) updateTracker(event runstate.Event) {
	req.tracker, _ = req.tracker.Apply(event)
}
