package caller

import (
	"context"
	"errors"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/internal/runstate"
)

// failureAction says how to proceed after a failed attempt.
type failureAction struct {
	runstate.Failure
	// usesRetryBudget: the next attempt counts against the retry budget.
	usesRetryBudget bool
	// excludeEndpoint: the request must not be sent to this endpoint again.
	excludeEndpoint bool
}

// actionFor chooses the action from the error of an attempt and the cause of its cancellation, if it was cancelled.
func actionFor(err, cause error) failureAction {
	cancelled := errors.Is(err, errCallerDisconnected) || errors.Is(err, errNotCollectable) || cause != nil && !errors.Is(cause, errStalled)
	failure := runstate.ClassifyFailure(err, errEndpointRefused, cancelled)
	return failureAction{Failure: failure, usesRetryBudget: !cancelled, excludeEndpoint: !cancelled}
}

// handleFailure ends a failed attempt. It returns the error for the caller, or nil if the
// request may be dispatched again.
func (s *Server) handleFailure(ctx context.Context, req *request, a *attempt, err error) *apiError {
	action := actionFor(err, context.Cause(a.ctx))
	// After an attempt that delivered output, the next one does not count against the retry
	// budget: it continues from there, so it does not multiply the load as a retry does.
	action.usesRetryBudget = action.usesRetryBudget && a.usage.delivered == 0
	s.logFailedAttempt(req, a, err)
	s.endAttempt(req, a, action.Outcome)
	req.advance(action.Event)
	switch {
	case errors.Is(err, errCallerDisconnected):
		return callerDisconnected()
	case errors.Is(err, errResponseTooLarge):
		return &apiError{status: 502, code: "answer_too_large", message: "the endpoint's answer is too large to pass on"}
	case ctx.Err() != nil:
		return s.cancellationError(ctx, req)
	}
	if !req.tracker.MayDispatch() {
		return outcomeUnknown()
	}
	if req.notResumable && req.responseStarted {
		return &apiError{status: 502, code: "stream_broken", message: "the stream broke and holds output that cannot be continued"}
	}
	if action.excludeEndpoint {
		req.excludedEndpoints = append(req.excludedEndpoints, a.endpoint.ID)
	}
	// Retry takes one retry from the budget.
	if action.usesRetryBudget && !s.options.Dispatcher.Retry(s.now(), s.newWork(ctx, req)) {
		if req.lastRefusal != nil && errors.Is(err, errEndpointRefused) {
			// The peer's refusal tells the caller more than the empty budget.
			return req.lastRefusal
		}
		return refusalError(winch.RefusedRetryBudget, "the attempt failed and too many others did; it is not tried again now", time.Second)
	}
	return nil
}

// cancellationError returns the error for a request whose context has ended.
func (s *Server) cancellationError(ctx context.Context, req *request) *apiError {
	apiErr := errorForCause(context.Cause(ctx))
	switch {
	case apiErr == nil:
		return callerDisconnected()
	case req.tracker.State == runstate.StateOutcomeUnknown:
		apiErr = &apiError{status: apiErr.status, code: "outcome_unknown", message: apiErr.message + "; the request was sent and may have been executed"}
	}
	return apiErr
}

// endAttempt ends an attempt: it cancels a stream that is still running, releases the slot
// and records the usage.
func (s *Server) endAttempt(req *request, a *attempt, outcome winch.Outcome) {
	now := s.now()
	if a.reply != nil && !a.complete && a.reply.Stream != "" {
		s.cancelStream(a)
	}
	a.cancel(nil)
	if a.reply != nil {
		_ = a.reply.Body.Close()
	}
	a.slot.Release(now, outcome)
	s.recordRemaining(now, req, a)
	last := &req.attempts[len(req.attempts)-1]
	last.Outcome, last.Duration, last.Tokens = outcome, now.Sub(a.started), a.usage.delivered
}

// cancelStream tells the engine, in the background, to stop generating the stream.
func (s *Server) cancelStream(a *attempt) {
	endpoint, stream := a.endpoint, a.reply.Stream
	s.background.Go(func() {
		if err := s.options.Engines.Cancel(context.Background(), endpoint, stream); err != nil {
			s.options.Logger.Debug("could not cancel stream at engine", "Event", EventCancelFailed, "Endpoint", endpoint.ID, "Error", err)
		}
	})
}

// advance applies an event to the request's tracker. An event that does not fit the state
// leaves the tracker unchanged. During an attempt the step is not StateQueued, so the request
// then cannot be dispatched again.
func (req *request) advance(event runstate.Event) {
	req.tracker, _ = req.tracker.Apply(event)
}
