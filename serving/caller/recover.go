package caller

import (
	"context"
	"errors"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/internal/ledger"
)

// verdict says what follows from the end of an attempt that did not succeed.
type verdict struct {
	happening ledger.Happening
	outcome   winch.Outcome
	// spends: a further attempt must be paid for from the retry budget.
	spends bool
	// exclude: the endpoint must not be given the request again.
	exclude bool
}

// judge decides by the error of an attempt and the cause of its cancellation.
func judge(err, cause error) verdict {
	ruling := verdict{happening: ledger.ConnectionBroke, outcome: winch.OutcomeFailed, spends: true, exclude: true}
	switch {
	case errors.Is(err, errEndpointRefused):
		ruling.happening, ruling.outcome = ledger.EndpointRefused, winch.OutcomeRejected
	case errors.Is(err, winch.ErrUnavailable):
		ruling.happening, ruling.outcome = ledger.NothingWritten, winch.OutcomeUnsent
	}
	// What this host has cancelled is no failure of the endpoint.
	if errors.Is(err, errCallerGone) || errors.Is(err, errOpaque) || cause != nil && !errors.Is(cause, errStalled) {
		ruling.outcome, ruling.spends, ruling.exclude = winch.OutcomeCancelled, false, false
	}
	return ruling
}

// recover ends a failed attempt. It returns the fault to answer with, or nil when
// the request may be dispatched again.
func (s *Server) recover(ctx context.Context, req *request, a *attempt, err error) *fault {
	ruling := judge(err, context.Cause(a.ctx))
	// An attempt that delivered output needs no budget for the next: with progress in
	// each attempt, continuing cannot multiply the load as repeats do.
	ruling.spends = ruling.spends && a.account.tokens == 0
	s.logBroken(req, a, err)
	s.close(req, a, ruling.outcome)
	req.move(ruling.happening)
	switch {
	case errors.Is(err, errCallerGone):
		return gone()
	case errors.Is(err, errTooLarge):
		return &fault{status: 502, code: "answer_too_large", message: "the endpoint's answer is too large to pass on"}
	case ctx.Err() != nil:
		return s.cancelled(ctx, req)
	}
	if !req.ledger.MayDispatch() {
		return lost()
	}
	if req.rigid && req.began {
		return &fault{status: 502, code: "stream_broken", message: "the stream broke and holds output that cannot be continued"}
	}
	if ruling.exclude {
		req.excluded = append(req.excluded, a.endpoint.ID)
	}
	if ruling.spends && !s.options.Dispatcher.Retry(s.now(), s.work(ctx, req)) {
		if req.lastRefusal != nil && errors.Is(err, errEndpointRefused) {
			return req.lastRefusal
		}
		return refused(winch.RefusedRetryBudget, "the attempt failed and too many others did; it is not tried again now", time.Second)
	}
	return nil
}

// cancelled is the answer to a request whose context is over.
func (s *Server) cancelled(ctx context.Context, req *request) *fault {
	f := faultOf(context.Cause(ctx))
	switch {
	case f == nil:
		return gone()
	case req.ledger.Step == ledger.StepLost:
		f = &fault{status: f.status, code: "outcome_unknown", message: f.message + "; the request was sent and may have been executed"}
	}
	return f
}

// close ends an attempt: it cancels what still runs, gives the slot back and counts the use.
func (s *Server) close(req *request, a *attempt, outcome winch.Outcome) {
	now := s.now()
	if a.reply != nil && !a.complete && a.reply.Stream != "" {
		s.cancelStream(a)
	}
	a.cancel(nil)
	if a.reply != nil {
		_ = a.reply.Body.Close()
	}
	a.slot.Release(now, outcome)
	s.settle(now, req, a)
	last := &req.attempts[len(req.attempts)-1]
	last.Outcome, last.Took, last.Tokens = outcome, now.Sub(a.started), a.account.tokens
}

// cancelStream tells the engine that nobody waits for the stream any more.
func (s *Server) cancelStream(a *attempt) {
	endpoint, stream := a.endpoint, a.reply.Stream
	s.background.Go(func() {
		if err := s.options.Engines.Cancel(context.Background(), endpoint, stream); err != nil {
			s.options.Logger.Debug("stream not cancelled", "Event", EventCancelFailed, "Endpoint", endpoint.ID, "Error", err)
		}
	})
}

// move takes a happening into the ledger.
func (req *request) move(what ledger.Happening) {
	req.ledger, _ = req.ledger.Next(what)
}
