package forward

import (
	"context"
	"errors"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/internal/ledger"
)

// errCallerGone: the caller takes nothing more.
var errCallerGone = errors.New("caller takes nothing more")

// verdict says what follows from the end of an attempt.
type attemptResult struct {
	event   ledger.Happening
	outcome winch.Outcome
	// sent: the endpoint may have got the request.
	sent bool
	// spends: a further attempt must be paid for from the retry budget.
	needsRetryBudget bool
}

// judge decides by the error of an attempt and the cause of its cancellation.
func classifyFailure(err, cause error) attemptResult {
	result := attemptResult{event: ledger.ConnectionBroke, outcome: winch.OutcomeFailed, sent: true, needsRetryBudget: true}
	switch {
	case errors.Is(err, errMisdirected):
		result.event, result.outcome, result.sent = ledger.EndpointRefused, winch.OutcomeUnsent, false
	case errors.Is(err, errEndpointRefused):
		result.event, result.outcome = ledger.EndpointRefused, winch.OutcomeRejected
	case errors.Is(err, winch.ErrUnavailable):
		result.event, result.outcome, result.sent, result.needsRetryBudget = ledger.NothingWritten, winch.OutcomeUnsent, false, false
	}
	// What this host has cancelled is no failure of the endpoint.
	if errors.Is(err, errCallerGone) || cause != nil && !errors.Is(cause, errAttemptTimeout) {
		result.outcome = winch.OutcomeCancelled
	}
	return result
}

// settle ends an attempt. After a failed one it returns the fault to answer with, or nil
// when the request may be dispatched again.
func (s *Server) finishAttempt(ctx context.Context, req *request, a *attempt, err error) *fault {
	if err == nil {
		s.endAttempt(req, a, winch.OutcomeDone, nil)
		return nil
	}
	result := classifyFailure(err, context.Cause(a.ctx))
	s.endAttempt(req, a, result.outcome, err)
	req.updateLedger(result.event)
	if result.sent {
		req.sends++
	}
	switch {
	case errors.Is(err, errCallerGone):
		return callerLeft()
	case ctx.Err() != nil:
		return s.refuse(req, contextFault(ctx, req.ledger.RunState() != ledger.NotRun))
	case !req.ledger.MayDispatch(), req.sends >= req.admission.forward.MaxAttempts:
		return s.exhausted(req, err)
	}
	req.excluded = append(req.excluded, a.endpoint.ID)
	if result.needsRetryBudget && !s.options.Dispatcher.Retry(s.now(), s.newWork(req)) {
		return s.exhausted(req, err)
	}
	return nil
}

// exhausted is the answer to a request that gets no further attempt.
func (s *Server) exhausted(req *request, err error) *fault {
	if req.ledger.RunState() != ledger.NotRun {
		return outcomeUnknown(failureReason(err))
	}
	return notRun(failureReason(err), endpointRefusedRetryAfter)
}

// refusedRetry is when a caller should come back whom an endpoint refused for its load.
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
	case errors.Is(err, errServerError):
		return "endpoint_failed"
	case errors.Is(err, errCallerGone):
		return reasonCallerLeft
	case errors.Is(err, winch.ErrUnavailable):
		return "endpoint_unreachable"
	case errors.Is(err, winch.ErrCrossed):
		return "crossed"
	case errors.Is(err, errEventOrder):
		return "disorder"
	}
	return "broken"
}

// close ends an attempt: it ends what still runs, gives the slot back and notes the outcome.
func (s *Server) endAttempt(req *request, a *attempt, outcome winch.Outcome, err error) {
	now, cause := s.now(), causeText(a.ctx)
	a.cancel(nil)
	if a.reply != nil {
		// The body is closed before its end only when the connection is given up.
		_ = a.reply.Body.Close()
	}
	a.slot.Release(now, outcome)
	last := &req.attempts[len(req.attempts)-1]
	last.took = now.Sub(a.started)
	last.outcome = "done"
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
