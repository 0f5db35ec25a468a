package caller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/internal/runstate"
)

const (
	// claimTimeout bounds the update of a claim after its call.
	claimTimeout = 30 * time.Second
	// claimWait is the longest time for which the response to the caller is held back until the
	// claim is updated.
	claimWait = 250 * time.Millisecond
)

// serviceResponse is the complete response of a plain service.
type serviceResponse struct {
	reply *winch.Reply
	body  []byte
	state runstate.RunState
}

func (r serviceResponse) write(w http.ResponseWriter, req *request) {
	req.responseStarted = true
	writeReply(w, r.reply, r.body, r.state)
}

// serveService serves a call to a plain service. A non-repeatable call with an idempotency
// key is run under a claim, except if a peer forwarded it: the peer holds the claim.
func (s *Server) serveService(ctx context.Context, w http.ResponseWriter, req *request) *apiError {
	if req.idempotencyKey == "" || req.tracker.Repeatable || req.fromPeer {
		response, apiErr := s.callService(ctx, req)
		if apiErr == nil {
			response.write(w, req)
		}
		return apiErr
	}
	if s.options.Claims == nil {
		return refusalError(winch.RefusedClaimUnknown, "keyed calls are not taken here", time.Second)
	}
	claim, err := s.options.Claims.Acquire(ctx, s.now(), s.claimRequest(req))
	if err != nil {
		return s.claimError(ctx, err)
	}
	if claim.State != winch.ClaimGranted {
		return replay(w, req, claim)
	}
	response, apiErr := s.callService(ctx, req)
	s.finishOrReleaseClaim(req, response, apiErr)
	if apiErr == nil {
		response.write(w, req)
	}
	return apiErr
}

// claimError converts an error of Claims.Acquire. After ErrUnavailable no claim was recorded;
// after any other error one may have been, and the claims store removes it later.
func (s *Server) claimError(ctx context.Context, err error) *apiError {
	if ctx.Err() != nil {
		if apiErr := errorForCause(context.Cause(ctx)); apiErr != nil {
			return apiErr
		}
		return callerDisconnected()
	}
	message := "the claim of the Idempotency-Key could not be recorded; the call was not run"
	if !errors.Is(err, winch.ErrUnavailable) {
		message = "the claim of the Idempotency-Key may have been recorded; the call was not run"
	}
	return refusalError(winch.RefusedClaimUnknown, message, time.Second)
}

// replay answers a call whose idempotency key was used before, from the stored claim.
func replay(w http.ResponseWriter, req *request, claim winch.Claim) *apiError {
	switch claim.State {
	case winch.ClaimMismatch:
		return &apiError{
			status: http.StatusUnprocessableEntity, code: "idempotency_mismatch", param: "Idempotency-Key",
			message: "the key was used for a different request",
		}
	case winch.ClaimPending:
		return outcomeUnknown()
	}
	// The claims store keeps no status if the response exceeded its size limit.
	if claim.Status == 0 {
		return &apiError{
			status: http.StatusGone, code: "answer_not_kept", state: runstate.Ran,
			message: "the call was executed; its answer was too large to be kept",
		}
	}
	req.responseStarted = true
	w.Header().Set("X-Idempotent-Replay", "true")
	header := http.Header{"Content-Type": {claim.ContentType}}
	writeReply(w, &winch.Reply{Status: claim.Status, Header: header}, claim.Body, runstate.Ran)
	return nil
}

// finishOrReleaseClaim stores the response for later calls with the same idempotency key,
// or releases the claim if the call was not run. If the outcome is unknown, the claim stays
// pending.
func (s *Server) finishOrReleaseClaim(req *request, response serviceResponse, apiErr *apiError) {
	state := req.tracker.RunState()
	claim := s.claimRequest(req)
	now := s.now()
	if apiErr == nil && state == runstate.Ran {
		finished := winch.Claim{
			State: winch.ClaimFinished, Status: response.reply.Status, Body: response.body, ContentType: response.reply.Header.Get("Content-Type"),
		}
		s.updateClaim(func(ctx context.Context) error { return s.options.Claims.Finish(ctx, now, claim, finished) })
	}
	if apiErr != nil && state == runstate.NotRun {
		s.updateClaim(func(ctx context.Context) error { return s.options.Claims.Abandon(ctx, now, claim) })
	}
}

// updateClaim runs update in the background, since it may outlive the request. It waits up
// to claimWait for its end, so that a caller that repeats the call right after the response
// usually finds the claim updated.
func (s *Server) updateClaim(update func(ctx context.Context) error) {
	updated := make(chan struct{})
	s.background.Go(func() {
		defer close(updated)
		ctx, stop := context.WithTimeout(context.Background(), claimTimeout)
		defer stop()
		if err := update(ctx); err != nil {
			s.options.Logger.Warn("could not update claim of an idempotency key after the call", "Event", EventClaimUpdateFailed, "Error", err)
		}
	})
	timer := time.NewTimer(claimWait)
	defer timer.Stop()
	select {
	case <-updated:
	case <-timer.C:
	}
}

// callService sends the call to a plain service and reads the whole response.
func (s *Server) callService(ctx context.Context, req *request) (serviceResponse, *apiError) {
	for {
		a, apiErr := s.dispatch(ctx, req)
		if apiErr != nil {
			return serviceResponse{}, apiErr
		}
		body, err := s.readResponseBody(a.reply.Body)
		if err != nil {
			if apiErr := s.handleFailure(ctx, req, a, err); apiErr != nil {
				return serviceResponse{}, apiErr
			}
			continue
		}
		a.complete = true
		// The response counts as the first token of a service call.
		s.noteFirstToken(s.now(), req, a)
		s.endAttempt(req, a, serviceOutcome(a.reply.Status))
		return serviceResponse{reply: a.reply, body: body, state: s.responseState(req, a.reply)}, nil
	}
}

func serviceOutcome(status int) winch.Outcome {
	if status >= http.StatusInternalServerError {
		return winch.OutcomeFailed
	}
	return winch.OutcomeDone
}

// responseState returns Unknown for status codes that may come from a proxy in front of
// the service, since the service may still have run the call, and Ran otherwise. For Unknown
// it also records in the tracker that the outcome is lost, so that the claim stays pending.
func (s *Server) responseState(req *request, reply *winch.Reply) runstate.RunState {
	switch reply.Status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		req.advance(runstate.ConnectionLost)
		return runstate.Unknown
	}
	return runstate.Ran
}

func (s *Server) claimRequest(req *request) winch.ClaimRequest {
	return winch.ClaimRequest{
		Organisation: req.organisation, Route: req.route.ID, Key: req.idempotencyKey, BodyHash: hashRequest(req),
	}
}
