package forward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/arbutuswinch/winch"
)

// originRetryAfter is the retry delay of requests whose stream's origin may be known soon.
const originRetryAfter = 300 * time.Millisecond

// continues reports whether the caller has received part of the stream, in this response or in that of an earlier request.
func (req *request) continues() bool {
	return req.admission.route.Resumable && (req.origin.Model != "" || req.LastEvent > 0)
}

// streamKey returns the key under which the origin of the request's stream is recorded. Callers choose their ids, so those of
// different organisations are kept apart.
func (req *request) streamKey() winch.RequestID {
	if !req.admission.byKey {
		return req.StreamID()
	}
	return winch.RequestID(string(req.admission.organisation) + "/" + string(req.StreamID()))
}

// findOrigin determines the software version at which the stream has to go on, if the caller has received part of it. It
// returns a fault if that is not known.
func (s *Server) findOrigin(ctx context.Context, req *request) *fault {
	if !req.continues() {
		return nil
	}
	key := req.streamKey()
	if req.Resumes == "" && req.origin.Model == "" {
		// The caller does not tell which request began the stream.
		key = ""
	}
	found, err := s.options.Origins.Find(ctx, s.now(), key, req.admission.model)
	req.originSource = found.Source
	if err == nil {
		req.origin = found.StreamOrigin
		return req.keepModel()
	}
	retryAfter := time.Duration(0)
	if found.MayBeKnownLater {
		retryAfter = originRetryAfter
	}
	if !errors.Is(err, winch.ErrOriginUnknown) {
		return notRun(err.Error(), retryAfter)
	}
	return notRun("origin_unknown", retryAfter)
}

// keepModel makes a stream that has begun go on at the model that began it. It returns a fault if its route no longer leads there.
func (req *request) keepModel() *fault {
	if req.origin.Model == "" || req.origin.Model == req.admission.model {
		return nil
	}
	for _, target := range req.admission.route.Targets {
		if target.Model == req.origin.Model {
			req.admission.model = target.Model
			return nil
		}
	}
	return notRun(string(winch.RefusedSoftware), 0)
}

// startCheckTimeout limits the time for which an endpoint is asked when it started.
const startCheckTimeout = 250 * time.Millisecond

// errRestarted: the endpoint has started again since it was listed, perhaps with another software version.
var errRestarted = errors.New("endpoint has started again since it was listed")

// checkStillListed returns errRestarted if the stream has to go on at one software version and the endpoint no longer is the one
// that was listed with it. Without an answer the list is believed.
func (s *Server) checkStillListed(req *request, a *attempt) error {
	listed := a.slot.StartedAt()
	if req.origin.Software == "" || listed.IsZero() || a.endpoint.Kind != winch.EndpointEngine {
		return nil
	}
	ctx, cancel := context.WithTimeout(a.ctx, startCheckTimeout)
	defer cancel()
	started, err := s.options.Sender.StartedAt(ctx, a.endpoint)
	switch {
	case err != nil:
		s.options.Logger.Info("start time of an endpoint not read", "Event", EventStartUnread, "Request", string(req.ID),
			"Endpoint", string(a.endpoint.ID), "Error", err)
	case !started.IsZero() && !started.Equal(listed):
		return fmt.Errorf("listed with start %s, started %s: %w", listed, started, errRestarted)
	}
	return nil
}

// recordOrigin records, before the first event of an attempt is sent to the caller, which software version began the stream.
func (s *Server) recordOrigin(req *request, a *attempt) {
	if a.outputStarted || !req.admission.route.Resumable {
		return
	}
	if !req.continues() {
		req.origin = winch.StreamOrigin{Model: req.admission.model, Endpoint: a.endpoint.ID, Software: a.endpoint.Software}
	}
	req.origin.At = s.now()
	s.options.Origins.Record(req.streamKey(), req.origin)
}
