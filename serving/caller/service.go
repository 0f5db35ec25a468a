package caller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/internal/ledger"
)

const (
	// finishTimeout bounds the keeping of a keyed call's answer.
	finishTimeout = 30 * time.Second
	// finishWait is how long a caller's answer waits until it is kept for repeats.
	finishWait = 250 * time.Millisecond
)

// served is the answer of a plain service.
type served struct {
	reply *winch.Reply
	body  []byte
	state ledger.RunState
}

func (d served) write(w http.ResponseWriter, req *request) {
	req.began = true
	writeReply(w, d.reply, d.body, d.state)
}

// serveService serves a call of a plain service, under a claim when the call is
// keyed and may not be repeated.
func (s *Server) serveService(ctx context.Context, w http.ResponseWriter, req *request) *fault {
	if req.idempotency == "" || req.ledger.Repeatable || req.local {
		done, f := s.callService(ctx, req)
		if f == nil {
			done.write(w, req)
		}
		return f
	}
	if s.options.Claims == nil {
		return refused(winch.RefusedClaimUnknown, "keyed calls are not taken here", time.Second)
	}
	claim, err := s.options.Claims.Acquire(ctx, s.now(), s.claimRequest(req))
	if err != nil {
		return s.unclaimed(ctx, err)
	}
	if claim.State != winch.ClaimGranted {
		return replay(w, req, claim)
	}
	done, f := s.callService(ctx, req)
	s.conclude(req, done, f)
	if f == nil {
		done.write(w, req)
	}
	return f
}

func (s *Server) unclaimed(ctx context.Context, err error) *fault {
	if ctx.Err() != nil {
		if f := faultOf(context.Cause(ctx)); f != nil {
			return f
		}
		return gone()
	}
	message := "the claim of the Idempotency-Key could not be recorded; the call was not run"
	if !errors.Is(err, winch.ErrUnavailable) {
		message = "the claim of the Idempotency-Key may have been recorded; the call was not run"
	}
	return refused(winch.RefusedClaimUnknown, message, time.Second)
}

// replay answers a repeat by what is known of the first call.
func replay(w http.ResponseWriter, req *request, claim winch.Claim) *fault {
	switch claim.State {
	case winch.ClaimMismatch:
		return &fault{
			status: http.StatusUnprocessableEntity, code: "idempotency_mismatch", param: "Idempotency-Key",
			message: "the key was used for a different request",
		}
	case winch.ClaimPending:
		return lost()
	}
	if claim.Status == 0 {
		return &fault{
			status: http.StatusGone, code: "answer_not_kept", state: ledger.Ran,
			message: "the call was executed; its answer was too large to be kept",
		}
	}
	req.began = true
	w.Header().Set("X-Idempotent-Replay", "true")
	header := http.Header{"Content-Type": {claim.ContentType}}
	writeReply(w, &winch.Reply{Status: claim.Status, Header: header}, claim.Body, ledger.Ran)
	return nil
}

// conclude keeps the answer for repeats, or gives the claim back when the call was
// not run. A call whose outcome is unknown leaves its claim as it is.
func (s *Server) conclude(req *request, done served, f *fault) {
	state := req.ledger.RunState()
	claim := s.claimRequest(req)
	now := s.now()
	if f == nil && state == ledger.Ran {
		answer := winch.Claim{
			State: winch.ClaimFinished, Status: done.reply.Status, Body: done.body, ContentType: done.reply.Header.Get("Content-Type"),
		}
		s.later(func(ctx context.Context) error { return s.options.Claims.Finish(ctx, now, claim, answer) })
	}
	if f != nil && state == ledger.NotRun {
		s.later(func(ctx context.Context) error { return s.options.Claims.Abandon(ctx, now, claim) })
	}
}

// later does what may outlast the request. It waits for a short time, so that a
// caller that has its answer finds the claim concluded.
func (s *Server) later(do func(ctx context.Context) error) {
	concluded := make(chan struct{})
	s.background.Go(func() {
		defer close(concluded)
		ctx, stop := context.WithTimeout(context.Background(), finishTimeout)
		defer stop()
		if err := do(ctx); err != nil {
			s.options.Logger.Warn("claim not concluded", "Event", EventClaimNotConcluded, "Error", err)
		}
	})
	timer := time.NewTimer(finishWait)
	defer timer.Stop()
	select {
	case <-concluded:
	case <-timer.C:
	}
}

// callService sends the call to a plain service and reads the answer.
func (s *Server) callService(ctx context.Context, req *request) (served, *fault) {
	for {
		a, f := s.dispatch(ctx, req)
		if f != nil {
			return served{}, f
		}
		body, err := readAnswer(a.reply.Body, s.options.Limits.Answer)
		if err != nil {
			if f := s.recover(ctx, req, a, err); f != nil {
				return served{}, f
			}
			continue
		}
		a.complete = true
		s.noteFirst(s.now(), req, a)
		s.close(req, a, serviceOutcome(a.reply.Status))
		return served{reply: a.reply, body: body, state: s.stateOfAnswer(req, a.reply)}, nil
	}
}

func serviceOutcome(status int) winch.Outcome {
	if status >= http.StatusInternalServerError {
		return winch.OutcomeFailed
	}
	return winch.OutcomeDone
}

// stateOfAnswer tells an answer of the service from that of something between,
// after which nobody knows whether the call was run.
func (s *Server) stateOfAnswer(req *request, reply *winch.Reply) ledger.RunState {
	switch reply.Status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		req.move(ledger.ConnectionBroke)
		return ledger.Unknown
	}
	return ledger.Ran
}

func (s *Server) claimRequest(req *request) winch.ClaimRequest {
	return winch.ClaimRequest{
		Organisation: req.organisation, Route: req.route.ID, Key: req.idempotency, BodyHash: hashCall(req),
	}
}
