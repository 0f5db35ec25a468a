package forward

import (
	"context"
	"errors"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/internal/bodyend"
	"github.com/arbutuswinch/winch/serving/internal/runstate"
)

// errCallerGone: writing to the caller failed.
var errCallerGone = errors.New("caller disconnected")

// attemptResult holds the consequences of a failed attempt.
type attemptResult struct {
	runstate.Failure
	// sent reports whether the endpoint may have received the request.
	sent bool
	// needsRetryBudget reports whether another attempt counts against the retry budget.
	needsRetryBudget bool
}

// resultOf derives the result of a failed attempt from its error and the cause of its
// cancellation, which may be nil.
func resultOf(err, cause error) attemptResult {
	cancelled := errors.Is(err, errCallerGone) || cause != nil && !errors.Is(cause, errAttemptTimeout)
	result := attemptResult{Failure: runstate.ClassifyFailure(err, errEndpointRefused, cancelled), sent: true, needsRetryBudget: true}
	switch {
	case errors.Is(err, errMisdirected):
		// The call reached a host, but not the endpoint for which it was meant.
		result.Event, result.sent = runstate.EndpointRefused, false
		if !cancelled {
			result.Outcome = winch.OutcomeUnsent
		}
	case errors.Is(err, errEndAssumed):
		if !cancelled {
			// The endpoint has sent all that it is known to have.
			result.Outcome = winch.OutcomeDone
		}
	case result.Event == runstate.NothingWritten:
		result.sent, result.needsRetryBudget = false, false
	}
	return result
}

// finishAttempt ends an attempt. If it failed, finishAttempt returns the fault for the caller,
// or nil if the request may be dispatched again.
func (s *Server) finishAttempt(ctx context.Context, req *request, a *attempt, err error) *fault {
	if err == nil {
		s.endAttempt(req, a, winch.OutcomeDone, nil)
		return nil
	}
	cause := context.Cause(a.ctx)
	result := resultOf(err, cause)
	if !a.answering && result.Outcome == winch.OutcomeFailed && errors.Is(err, winch.ErrOutcomeUnknown) {
		s.options.Quarantine.ObserveBreak(s.now(), a.started, a.endpoint, req.ForwardRequest)
	}
	s.endAttempt(req, a, result.Outcome, err)
	req.updateTracker(result.Event)
	if result.sent {
		req.sends++
	}
	switch {
	case errors.Is(err, errCallerGone):
		return callerLeft()
	case ctx.Err() != nil:
		return s.faultAfterAttempts(req, contextFault(ctx, req.tracker.RunState() != runstate.NotRun))
	case errors.Is(cause, errRestTimeout):
		// Nothing has shown that there is a rest.
		req.proof = bodyend.Assumed
		return s.finalFault(req, errEndAssumed)
	case !req.tracker.MayDispatch(), req.sends >= req.admission.route.MaxAttempts:
		return s.finalFault(req, err)
	}
	req.excluded = append(req.excluded, a.endpoint.ID)
	if result.sent && !s.options.Quarantine.MayRetry(req.ForwardRequest) {
		return s.finalFault(req, err)
	}
	if result.needsRetryBudget && !s.options.Dispatcher.Retry(s.now(), s.newWork(req)) {
		return s.finalFault(req, err)
	}
	return nil
}

// finalFault returns the fault for a request that gets no further attempt.
func (s *Server) finalFault(req *request, err error) *fault {
	if req.tracker.RunState() != runstate.NotRun {
		return outcomeUnknown(failureReason(err))
	}
	return notRun(failureReason(err), endpointRefusedRetryAfter)
}

// endpointRefusedRetryAfter is the retry delay of requests that were not run, mostly because
// an endpoint refused them under load.
const endpointRefusedRetryAfter = 300 * time.Millisecond

func failureReason(err error) string {
	switch {
	case errors.Is(err, errMisdirected):
		return "misdirected"
	case errors.Is(err, errEndpointRefused):
		return "endpoint_refused"
	case errors.Is(err, errUnsigned):
		return "not_authentic"
	case errors.Is(err, errAmbiguousStatus):
		return "ambiguous_status"
	case errors.Is(err, errErrorStatus), errors.Is(err, errOtherType):
		return "endpoint_failed"
	case errors.Is(err, errCallerGone):
		return reasonCallerLeft
	case errors.Is(err, winch.ErrUnavailable):
		return "endpoint_unreachable"
	case errors.Is(err, winch.ErrResponseMismatch):
		return "crossed"
	case errors.Is(err, errEndAssumed):
		return "end_not_proved"
	case errors.Is(err, errEventOrder):
		return "disorder"
	}
	return "broken"
}

// endAttempt cancels what still runs of an attempt, releases its slot and records its outcome.
func (s *Server) endAttempt(req *request, a *attempt, outcome winch.Outcome, err error) {
	// The cause is read before cancel, which would set it to context.Canceled.
	now, cause := s.now(), causeText(a.ctx)
	a.cancel(nil)
	if a.reply != nil {
		// Closing a body before its end also closes the connection.
		_ = a.reply.Body.Close()
	}
	a.slot.Release(now, outcome)
	last := &req.attempts[len(req.attempts)-1]
	last.took = now.Sub(a.started)
	last.outcome = "done"
	if last.events = a.events; a.events > 0 {
		last.silence = now.Sub(a.lastEventAt)
	}
	if outcome == winch.OutcomeDone || outcome == winch.OutcomeCancelled {
		s.runTimes.observe(now, req.admission.route.ID, last.took)
	}
	if err == nil {
		return
	}
	last.outcome = failureReason(err)
	s.options.Logger.Info("attempt failed", "Event", EventAttemptFailed, "Request", string(req.ID), "Endpoint", string(a.endpoint.ID),
		"Status", last.status, "Reason", last.outcome, "Took", last.took.String(), "Cause", cause, "Error", err.Error())
}

func causeText(ctx context.Context) string {
	if cause := context.Cause(ctx); cause != nil {
		return cause.Error()
	}
	return ""
}
