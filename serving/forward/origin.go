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

// reasonOriginUnknown: no host knows which software version began the stream.
const reasonOriginUnknown = "origin_unknown"

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
	req.originSource, req.software = found.Source, ""
	switch {
	case err == nil:
		req.origin = found.StreamOrigin
		if !found.SingleVersion {
			req.software = found.Software
		}
		return req.keepModel()
	case found.MayBeKnownLater:
		return notRun(reasonOriginUnknown, originRetryAfter)
	}
	return notRun(reasonOriginUnknown, 0)
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

// fits reports whether the endpoint does not have another software version than the one that began the stream.
func (req *request) fits(endpoint winch.Endpoint) bool {
	return req.origin.Software == "" || endpoint.Software == "" || endpoint.Software == req.origin.Software
}

// startCheckTimeout limits the time for which an endpoint is asked when it started.
const startCheckTimeout = 250 * time.Millisecond

// errRestarted: the endpoint has started again since it was listed, perhaps with another software version.
var errRestarted = errors.New("endpoint has started again since it was listed")

// checkStillListed returns errRestarted if the stream needs a software version and the endpoint no longer is the run
// that was listed with it, and when that run started. Without an answer the list is believed.
func (s *Server) checkStillListed(ctx context.Context, stream winch.RequestID, software winch.SoftwareVersion, slot winch.Slot) (time.Time, error) {
	listed, endpoint := slot.StartedAt(), slot.Endpoint()
	if software == "" || listed.IsZero() || endpoint.Kind != winch.EndpointEngine {
		return listed, nil
	}
	ctx, cancel := context.WithTimeout(ctx, startCheckTimeout)
	defer cancel()
	started, err := s.options.Sender.StartedAt(ctx, endpoint)
	switch {
	case err != nil:
		s.options.Logger.Info("start time of an endpoint not read", "Event", EventStartUnread, "Stream", string(stream),
			"Endpoint", string(endpoint.ID), "Error", err)
	case !started.IsZero() && !started.Equal(listed):
		return started, fmt.Errorf("listed with start %s, started %s: %w", listed, started, errRestarted)
	}
	return started, nil
}

// recordOrigin records, before the first event of an attempt is sent to the caller, which software version began the stream.
func (s *Server) recordOrigin(req *request, a *attempt) {
	if a.outputStarted || !req.admission.route.Resumable {
		return
	}
	if req.continues() {
		// What becomes known of the endpoint that began the stream no longer matters.
		req.origin.Endpoint, req.origin.StartedAt = "", time.Time{}
	} else {
		req.origin = winch.StreamOrigin{Model: req.admission.model, Endpoint: a.endpoint.ID, Software: a.endpoint.Software}
	}
	req.origin.At = s.now()
	req.origin.ConnectedAt = req.origin.At.Add(-a.reply.ConnectionAge)
	if s.options.Origins.Record(req.streamKey(), req.origin) {
		go s.confirmOrigin(req.detached, req.streamKey(), req.origin, a)
	}
}

// confirmOrigin records whether the endpoint at which the stream began is the run that was listed. If it has started again
// since, its version is not known.
func (s *Server) confirmOrigin(ctx context.Context, stream winch.RequestID, origin winch.StreamOrigin, a *attempt) {
	started, err := s.checkStillListed(ctx, stream, origin.Software, a.slot)
	if err == nil {
		origin.StartedAt = started
		s.options.Origins.Record(stream, origin)
		return
	}
	a.slot.Restarted(s.now())
	s.options.Logger.Info("stream began at an unknown software version", "Event", EventOriginDoubted, "Stream", string(stream),
		"Endpoint", string(a.endpoint.ID), "Error", err)
	origin.Software, origin.StartedAt, origin.At = "", started, s.now()
	s.options.Origins.Record(stream, origin)
}
