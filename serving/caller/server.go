package caller

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/httpjson"
	"github.com/arbutuswinch/winch/internal/abort"
	"github.com/arbutuswinch/winch/internal/memory"
	"github.com/arbutuswinch/winch/serving/internal/inflight"
)

// peerPrefix is the path prefix of requests that other hosts forward.
const peerPrefix = "/peer/serve"

// Server serves requests of callers. It is safe for concurrent use.
type Server struct {
	options      Options
	classIndexes *classIndexCache
	open         *inflight.Set
	history      *history
	metrics      *metrics
	drain        inflight.Drain
	// responses is the memory for responses that are read whole.
	responses *memory.Shared
	// stopped is closed at the end of Drain and ends watchKeys.
	stopped chan struct{}
	// closeStopped closes stopped, once even if Drain is called again.
	closeStopped sync.Once
	// background tracks work that may outlive its request: cancelling streams at engines
	// and updating claims.
	background sync.WaitGroup
}

// New returns a server. A goroutine watches the configuration until Drain returns.
func New(options Options) (*Server, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	options.Limits.setDefaults()
	if options.Memory == nil {
		options.Memory = memory.NewBudget(memory.DefaultBudget)
	}
	set := inflight.NewSet()
	instruments, err := newMetrics(options.Meter, set.Count)
	if err != nil {
		return nil, err
	}
	s := &Server{
		options: options, classIndexes: &classIndexCache{configurations: options.Configurations}, open: set,
		history: newHistory(options.Limits.History), metrics: instruments, stopped: make(chan struct{}),
		responses: options.Memory.Part(responsesSize),
	}
	go s.watchKeys()
	return s, nil
}

// Handler returns the handler for requests of callers.
func (s *Server) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, false) })
}

// PeerHandler returns the handler for requests that hosts in other data centres forward,
// below /peer/serve/.
func (s *Server) PeerHandler() http.Handler {
	inner := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, true) })
	return httpjson.RequireSecret(s.options.PeerSecret, http.StripPrefix(peerPrefix, inner))
}

func (s *Server) now() time.Time { return s.options.Clock.Now() }

// serve handles one request, from its arrival to its log line.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, fromPeer bool) {
	now := s.now()
	req := &request{fromPeer: fromPeer}
	id, apiErr := requestID(r.Header)
	req.id = id
	w.Header().Set("X-Request-Id", string(id))
	if s.drain.Begun() {
		w.Header().Set("Connection", "close")
	}
	detached, cancel := context.WithCancelCause(context.WithoutCancel(r.Context()))
	defer cancel(nil)
	req.detached = detached
	entry := s.open.Add(cancel)
	defer s.open.Remove(entry)
	if apiErr == nil && s.drain.Refuses() {
		apiErr = refusalError(winch.RefusedStopping, "this host stops", time.Second)
	}
	if apiErr == nil {
		apiErr = s.admit(now, r, req)
	}
	if apiErr == nil && req.authenticated && !req.fromPeer {
		entry.SetKey(req.keyHash)
	}
	if apiErr == nil {
		req.claim = s.openClaim(r, req)
		defer req.claim.Close()
		apiErr = s.route(w, r, req)
	}
	s.writeError(w, req, apiErr)
	s.finishRequest(req, apiErr)
	if apiErr.isCallerLeft() {
		// A caller that has closed only its own side still reads, and would get what net/http sends for a handler that returns.
		abort.Response(w, r)
	}
}

// openClaim opens the memory claim of an admitted request. The caller has to close it.
func (s *Server) openClaim(r *http.Request, req *request) *memory.Claim {
	// Only tests have addresses that cannot be parsed. These requests share one account.
	address, _ := netip.ParseAddrPort(r.RemoteAddr)
	return s.options.Memory.Open(memory.Holder{Address: address.Addr(), Organisation: string(req.organisation), Rank: memory.RankUrgent})
}

// route calls the handler for the request's path.
func (s *Server) route(w http.ResponseWriter, r *http.Request, req *request) *apiError {
	path := r.URL.Path
	switch {
	case path == "/v1/chat/completions", path == "/v1/completions":
		if apiErr := s.admitCompletion(w, r, req); apiErr != nil {
			return apiErr
		}
		return s.withDeadline(r.Context(), req, func(ctx context.Context) *apiError { return s.serveCompletion(ctx, w, req) })
	case strings.HasPrefix(path, servicesPrefix):
		if apiErr := s.admitService(w, r, req); apiErr != nil {
			return apiErr
		}
		return s.withDeadline(r.Context(), req, func(ctx context.Context) *apiError { return s.serveService(ctx, w, req) })
	case path == "/v1/models" && r.Method == http.MethodGet:
		return s.listModels(w, req)
	}
	return &apiError{status: http.StatusNotFound, code: "not_found", message: "no such path"}
}

// withDeadline adds the deadline to req.detached and calls serve with a context that ends
// with req.detached or when the caller disconnects, whichever comes first.
func (s *Server) withDeadline(callerCtx context.Context, req *request, serve func(ctx context.Context) *apiError) *apiError {
	detached, cancelDetached := context.WithTimeoutCause(req.detached, req.timeout, errDeadline)
	defer cancelDetached()
	req.detached = detached
	ctx, cancel := context.WithCancelCause(detached)
	defer cancel(nil)
	defer context.AfterFunc(callerCtx, func() { cancel(context.Canceled) })()
	return serve(ctx)
}

func (s *Server) listModels(w http.ResponseWriter, req *request) *apiError {
	body, err := encodeModels(s.classIndexes.get().models(req.authenticated))
	if err != nil {
		return &apiError{status: http.StatusInternalServerError, code: "internal", message: "the list could not be written"}
	}
	req.responseStarted = true
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
	return nil
}

// writeError writes the error as a response, or as an event if a stream has begun.
func (s *Server) writeError(w http.ResponseWriter, req *request, apiErr *apiError) {
	if apiErr == nil || apiErr.isCallerLeft() {
		return
	}
	if req.responseStarted {
		newOutput(w, s.options.Limits.WriteTimeout).writeError(apiErr)
		return
	}
	apiErr.write(w, req.tracker.RunState())
}

// hashRequest hashes method, path and body. A claim is bound to this hash, so that an
// idempotency key cannot be reused for a different call.
func hashRequest(req *request) [sha256.Size]byte {
	digest := sha256.New()
	fmt.Fprintf(digest, "%s\n%s\n%d\n", req.method, req.path, len(req.body))
	digest.Write(req.body)
	return [sha256.Size]byte(digest.Sum(nil))
}
