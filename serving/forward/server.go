package forward

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/internal/ledger"
	"github.com/arbutuswinch/winch/serving/internal/open"
)

// Server serves forwarded requests. It is safe for concurrent use.
type Server struct {
	options Options
	open    *open.Set
	drain   open.Drain
	metrics *metrics
	proof   atomic.Pointer[proofLimits]
}

// New returns a server.
func New(options Options) (*Server, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	set := open.NewSet()
	instruments, err := newMetrics(options.Meter, set.Count)
	if err != nil {
		return nil, err
	}
	server := &Server{options: options, open: set, metrics: instruments}
	server.SetProofLimits(options.Limits.RejectLimit, options.Limits.KeyLimit)
	return server, nil
}

// SetProofLimits changes the ages of the evidence for the configuration up to which it
// decides that something does not exist, and up to which a key admits a request.
func (s *Server) SetProofLimits(reject, key time.Duration) {
	s.proof.Store(&proofLimits{reject: reject, key: key})
}

// request is a caller's request and what became of it so far.
type request struct {
	*winch.ForwardRequest
	// own is the context of the request without its caller: it ends with the request's time
	// or the host, but not when the caller leaves.
	own      context.Context
	grant    grant
	body     []byte
	arrived  time.Time
	deadline time.Time
	ledger   ledger.Ledger
	// proofAge is how old the evidence for the configuration was at the last look.
	proofAge time.Duration
	excluded []winch.EndpointID
	attempts []attemptRecord
	// sends counts the endpoints that may have got the request.
	sends int
	// began says that a part of the answer was passed on.
	began bool
	// lastEvent is the newest event that was passed on.
	lastEvent int64
	status    int
	first     time.Duration
	// eventAt is when the newest event came, pause the longest time between two.
	eventAt time.Time
	pause   time.Duration
	counted bool
}

// Handler serves the caller port.
func (s *Server) Handler() http.Handler { return http.HandlerFunc(s.serve) }

// Draining reports whether a stop has begun; the host is then not ready for new connections.
func (s *Server) Draining() bool { return s.drain.Begun() }

// Open returns the number of open requests.
func (s *Server) Open() int64 { return s.open.Count() }

// Drain stops the server gracefully. Requests are still taken for a while, streams for a
// shorter one, then refused as not run; open ones are finished. What is open when the
// context ends is cut off and reported as the error.
func (s *Server) Drain(ctx context.Context) error {
	s.options.Logger.Info("stop begun", "Event", EventDrainBegun, "Open", s.open.Count())
	limits := &s.options.Limits
	cut := s.drain.Run(ctx, s.open, open.Stop{
		ReadinessDelay: limits.ReadinessDelay, TakeLong: limits.TakeStreams, Take: limits.Take, Cause: errStopping,
	})
	s.options.Logger.Info("stop ended", "Event", EventDrainEnded, "Cut", cut)
	if cut == 0 {
		return nil
	}
	return fmt.Errorf("drain forwarding port: %d requests cut off: %w", cut, ctx.Err())
}

func (s *Server) now() time.Time { return s.options.Clock.Now() }

// serve serves one request from its arrival to its line in the log.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if s.drain.Begun() {
		w.Header().Set("Connection", "close")
	}
	own, cancel := context.WithCancelCause(context.WithoutCancel(r.Context()))
	defer cancel(nil)
	entry := s.open.Add(cancel)
	defer s.open.Remove(entry)
	call, err := s.options.Protocol.Decode(r)
	req := &request{ForwardRequest: call, own: own, arrived: s.now()}
	f := s.accept(err, req)
	if f == nil {
		f = s.handle(w, r, req)
	}
	s.conclude(w, req, f)
}

// accept looks at what needs no configuration.
func (s *Server) accept(decoding error, req *request) *fault {
	switch {
	case s.drain.Refuses():
		return notRun(string(winch.RefusedStopping), stoppingRetry)
	case decoding != nil:
		return &fault{status: http.StatusBadRequest, reason: "bad_header", message: decoding.Error()}
	case req.ID == "":
		return &fault{status: http.StatusBadRequest, reason: "no_id", message: "the request has no id"}
	}
	return nil
}

// handle admits the request, reads its body and gets it answered.
func (s *Server) handle(w http.ResponseWriter, r *http.Request, req *request) *fault {
	if f := s.admit(req.arrived, req); f != nil {
		return f
	}
	if req.grant.forward.Kind == winch.ForwardStream && s.drain.RefusesLong() {
		return notRun(string(winch.RefusedStopping), stoppingRetry)
	}
	if f := checkHeader(r, req.grant.configuration.ForwardLimits.HeaderBytes); f != nil {
		return f
	}
	if req.grant.forward.Resumable {
		// The caller has the events up to this one already.
		req.lastEvent = req.LastEvent
	}
	limit := req.grant.configuration.ForwardLimits.BodyBytes
	if limit <= 0 {
		limit = s.options.Limits.Body
	}
	body, f := readBody(w, r, limit)
	if f != nil {
		return f
	}
	req.body = body
	req.ledger.Repeatable = req.grant.forward.Repeatable()
	return s.within(r.Context(), req, func(ctx context.Context) *fault { return s.run(ctx, w, req) })
}

// admit looks up what the configuration in force allows the request.
func (s *Server) admit(now time.Time, req *request) *fault {
	proof := evidence{age: now.Sub(s.options.Configurations.ConfirmedAt()), limits: *s.proof.Load()}
	granted, f := admit(s.options.Configurations.Current(), req.ForwardRequest, proof, func(hash winch.KeyHash) (winch.Key, error) {
		return s.options.Configurations.Authorize(now, hash)
	})
	req.proofAge = proof.age
	if f == nil {
		req.grant = granted
	}
	return f
}

// within serves the request in a context that ends with its time, the host or its
// caller, whichever is first.
func (s *Server) within(caller context.Context, req *request, do func(ctx context.Context) *fault) *fault {
	timeout := s.options.Limits.Timeout
	if limit := req.grant.forward.Timeout; limit > 0 {
		timeout = limit
	}
	if req.Timeout > 0 {
		timeout = min(timeout, req.Timeout)
	}
	req.deadline = req.arrived.Add(timeout)
	own, stop := context.WithTimeoutCause(req.own, req.deadline.Sub(s.now()), errDeadline)
	defer stop()
	req.own = own
	ctx, leave := context.WithCancelCause(own)
	defer leave(nil)
	defer context.AfterFunc(caller, func() { leave(context.Canceled) })()
	return do(ctx)
}

// conclude answers with the fault, if there is one, and logs what became of the request.
func (s *Server) conclude(w http.ResponseWriter, req *request, f *fault) {
	s.record(req, f)
	switch {
	case f == nil:
	case req.began || f.reason == reasonCallerLeft:
		// Ending the connection keeps an answer that broke off from looking complete.
		panic(http.ErrAbortHandler)
	default:
		f.write(w, s.options.Protocol, req.ForwardRequest)
	}
}
