package forward

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/abort"
	"github.com/arbutuswinch/winch/internal/memory"
	"github.com/arbutuswinch/winch/serving/internal/bodyend"
	"github.com/arbutuswinch/winch/serving/internal/inflight"
	"github.com/arbutuswinch/winch/serving/internal/runstate"
)

// Server forwards callers' requests to endpoints. It is safe for concurrent use.
type Server struct {
	options Options
	open    *inflight.Set
	drain   inflight.Drain
	metrics *metrics
	// answers is the memory for responses that are kept until they are complete, events that for large events.
	answers, events *memory.Shared
	// bodyWaiters is the number of requests that wait for memory for their bodies.
	bodyWaiters atomic.Int64
	// discards is the number of refused requests whose remaining body is being discarded.
	discards        atomic.Int64
	freshnessLimits atomic.Pointer[freshnessLimits]
	// stopTimes is nil until a shutdown begins. longOver ends with stopTimes.longUntil, when endLong is called.
	stopTimes atomic.Pointer[stopTimes]
	longOver  context.Context
	endLong   context.CancelFunc
	runTimes  runTimes
}

// New checks the options and returns a server.
func New(options Options) (*Server, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	set := inflight.NewSet()
	instruments, err := newMetrics(options.Meter, set.Count)
	if err != nil {
		return nil, err
	}
	server := &Server{
		options: options, open: set, metrics: instruments,
		answers: options.Memory.Part(keptAnswersSize), events: options.Memory.Part(largeEventsSize),
	}
	server.longOver, server.endLong = context.WithCancel(context.Background())
	server.SetFreshnessLimits(options.Limits.RejectMaxAge, options.Limits.KeyMaxAge)
	return server, nil
}

// SetFreshnessLimits replaces Limits.RejectMaxAge and Limits.KeyMaxAge while the server runs.
func (s *Server) SetFreshnessLimits(reject, key time.Duration) {
	s.freshnessLimits.Store(&freshnessLimits{reject: reject, key: key})
}

// request is a caller's request and the state of its processing.
type request struct {
	*winch.ForwardRequest
	// detached is the context of the request without the caller's cancellation: it ends at
	// the deadline or at shutdown, but not when the caller disconnects.
	detached  context.Context
	admission admission
	body      []byte
	arrived   time.Time
	deadline  time.Time
	tracker   runstate.Tracker
	// configurationAge is the time since the configuration was last confirmed, at the
	// latest check of the request.
	configurationAge time.Duration
	excluded         []winch.EndpointID
	attempts         []attemptRecord
	// sends counts the failed attempts in which the endpoint may have received the request.
	sends int
	// responseStarted reports whether part of the response was written to the caller.
	responseStarted bool
	// closeDelimited reports whether the response to the caller has neither a length nor chunks.
	closeDelimited bool
	// withoutChunks reports whether the caller speaks a version of HTTP that has no chunks.
	withoutChunks bool
	// restUntil is until when a response whose end is assumed waits for the rest that it may lack.
	restUntil time.Time
	// proof tells how far the response that was written to the caller is known to be whole.
	proof bodyend.Proof
	// contentType is that of the stream that was begun.
	contentType string
	// lastEvent is the id of the latest event that was relayed, or of the one that the
	// caller resumes after.
	lastEvent int64
	// origin tells which software version began the stream; its Model is empty while no event has reached the caller.
	origin       winch.StreamOrigin
	originSource winch.OriginSource
	// software is the version that the stream needs; empty if any endpoint can continue it.
	software          winch.SoftwareVersion
	status            int
	timeToFirstOutput time.Duration
	// lastEventAt is when the latest event arrived, longestPause the longest time between two
	// consecutive events.
	lastEventAt   time.Time
	longestPause  time.Duration
	usageRecorded bool
	// tailBytes is the number of bytes that followed the last complete event of a stream.
	tailBytes int
}

// Handler returns the handler for callers' requests.
func (s *Server) Handler() http.Handler { return http.HandlerFunc(s.serve) }

// Draining reports whether a shutdown has begun; the host is then not ready for new connections.
func (s *Server) Draining() bool { return s.drain.Begun() }

// Open returns the number of open requests.
func (s *Server) Open() int64 { return s.open.Count() }

// Drain shuts the server down gracefully. New requests are accepted at most for Limits.AcceptRequests,
// and new streams at most for Limits.AcceptStreams. All are refused earlier if, after
// Limits.ReadinessDelay, no request has been open or has arrived for a short time. Refused
// requests are not run, and open requests are finished. A request that could run until after the end of ctx is not sent to an
// endpoint later than Limits.AcceptLong, even if it was accepted before. Requests that are still open when
// ctx ends are cancelled, and Drain returns an error.
func (s *Server) Drain(ctx context.Context) error {
	s.options.Logger.Info("graceful shutdown started", "Event", EventDrainStarted, "Open", s.open.Count())
	limits := &s.options.Limits
	defer s.beginStop(ctx)()
	cancelled := s.drain.Run(ctx, s.open, inflight.DrainOptions{
		ReadinessDelay: limits.ReadinessDelay, AcceptLong: limits.AcceptStreams, AcceptAll: limits.AcceptRequests, Cause: errStopping,
	})
	s.options.Logger.Info("graceful shutdown ended", "Event", EventDrainEnded, "Cut", cancelled)
	if cancelled == 0 {
		return nil
	}
	return fmt.Errorf("shut down forwarding server: %d requests cancelled: %w", cancelled, ctx.Err())
}

func (s *Server) now() time.Time { return s.options.Clock.Now() }

// serve serves one request and logs its outcome.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.closeIfStopping(w)
	detached, cancel := context.WithCancelCause(context.WithoutCancel(r.Context()))
	defer cancel(nil)
	entry := s.open.Add(cancel)
	defer s.open.Remove(entry)
	defer context.AfterFunc(detached, func() { s.endWrites(w) })()
	// Decode returns the fields that it could read even if it returns an error.
	call, err := s.options.Protocol.Decode(r)
	req := &request{ForwardRequest: call, detached: detached, arrived: s.now(), withoutChunks: !r.ProtoAtLeast(1, 1)}
	f := s.checkRequest(err, req)
	if f == nil {
		f = s.handle(w, r, req)
	}
	s.finish(w, r, req, f)
	if f != nil && f.closes {
		s.discardRest(w, r)
	}
}

// checkRequest makes the checks that do not depend on the configuration.
func (s *Server) checkRequest(decodeErr error, req *request) *fault {
	switch {
	case s.drain.Refuses():
		return notRun(string(winch.RefusedStopping), stoppingRetryAfter)
	case decodeErr != nil:
		return &fault{status: http.StatusBadRequest, reason: "bad_header", message: decodeErr.Error()}
	case req.ID == "":
		return &fault{status: http.StatusBadRequest, reason: "no_id", message: "the request has no id"}
	}
	return nil
}

// handle admits the request, reads its body and forwards it.
func (s *Server) handle(w http.ResponseWriter, r *http.Request, req *request) *fault {
	if f := s.checkAdmission(req.arrived, req); f != nil {
		return f
	}
	if req.admission.route.Kind == winch.ForwardStream && s.drain.RefusesLong() {
		return notRun(string(winch.RefusedStopping), stoppingRetryAfter)
	}
	if f := checkHeaderSize(r, req.admission.configuration.ForwardLimits.HeaderBytes); f != nil {
		return f
	}
	if req.admission.route.Resumable {
		// The caller already has all events up to this one.
		req.lastEvent = req.LastEvent
	}
	limit := req.admission.configuration.ForwardLimits.BodyBytes
	if limit <= 0 {
		limit = s.options.Limits.Body
	}
	if r.ContentLength != 0 {
		// The claim holds the memory of the body until the request ends, since a further attempt may send the body again.
		claim := s.openClaim(r, &req.admission)
		defer claim.Close()
		body, f := s.readBodyUntil(req.detached, w, r, claim, bodyLimits{size: limit, time: s.timeout(req)})
		if f != nil {
			return f
		}
		req.body = body
	}
	req.tracker.Repeatable = req.admission.route.Repeatable()
	return s.withDeadline(r.Context(), req, func(ctx context.Context) *fault { return s.run(ctx, w, req) })
}

// checkAdmission checks the request against the current configuration. If the request is
// admitted, the result replaces that of its previous check; otherwise the previous one is kept
// for the log.
func (s *Server) checkAdmission(now time.Time, req *request) *fault {
	fresh := freshness{
		age: now.Sub(s.options.Configurations.ConfirmedAt()), superseded: s.options.Configurations.Superseded(now), limits: *s.freshnessLimits.Load(),
	}
	admitted, f := admit(s.options.Configurations.Current(), req.ForwardRequest, fresh, func(hash winch.KeyHash) (winch.Key, error) {
		return s.options.Configurations.Authorize(now, hash)
	})
	req.configurationAge = fresh.age
	if f == nil {
		req.admission = admitted
		f = req.keepModel()
	}
	return f
}

// timeout returns the time that an admitted request has from its arrival.
func (s *Server) timeout(req *request) time.Duration {
	timeout := s.options.Limits.Timeout
	if limit := req.admission.route.Timeout; limit > 0 {
		timeout = limit
	}
	if req.Timeout > 0 {
		timeout = min(timeout, req.Timeout)
	}
	return timeout
}

// withDeadline calls serveRequest with a context that ends at the request's deadline, at
// shutdown or when the caller disconnects, whichever comes first.
func (s *Server) withDeadline(caller context.Context, req *request, serveRequest func(ctx context.Context) *fault) *fault {
	req.deadline = req.arrived.Add(s.timeout(req))
	detached, cancelDetached := context.WithTimeoutCause(req.detached, req.deadline.Sub(s.now()), errDeadline)
	defer cancelDetached()
	req.detached = detached
	ctx, cancel := context.WithCancelCause(detached)
	defer cancel(nil)
	defer context.AfterFunc(caller, func() { cancel(context.Canceled) })()
	return serveRequest(ctx)
}

// finish logs the outcome of the request, sends the fault if no response has started, and ends the response. It aborts a response that is
// not known to be whole, so that the response does not look complete.
func (s *Server) finish(w http.ResponseWriter, r *http.Request, req *request, f *fault) {
	s.record(req, f)
	switch {
	case req.mayEndResponse() && s.endResponse(w, req):
	case req.responseStarted, f == nil, f.reason == reasonCallerLeft:
		// A caller that has disconnected gets no response.
		abort.Response(w, r)
	default:
		s.closeIfStopping(w)
		if f.closes {
			w.Header().Set("Connection", "close")
		}
		s.extendWriteDeadline(w)
		f.write(w, s.options.Protocol, req.ForwardRequest)
	}
}

// mayEndResponse reports whether the end of the response to the caller claims no more than is known. A last chunk and a length say that
// the response is whole; the end of a connection says no more than that of the endpoint's did.
func (req *request) mayEndResponse() bool {
	return req.proof == bodyend.Proved || req.proof == bodyend.Assumed && req.closeDelimited
}

// endResponse writes what net/http still holds of a response that ends with its connection, and reports whether the response is whole then.
// Other responses show it themselves if their end is missing.
func (s *Server) endResponse(w http.ResponseWriter, req *request) bool {
	if !req.closeDelimited {
		return true
	}
	s.extendWriteDeadline(w)
	if err := http.NewResponseController(w).Flush(); err != nil {
		return false
	}
	abort.CloseInOrder(req.detached)
	return true
}
