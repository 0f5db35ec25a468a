package caller

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/httpjson"
	"github.com/arbutuswinch/winch/serving/internal/open"
)

// peerPrefix is the path below which peers hand requests over.
const peerPrefix = "/peer/serve"

// Server serves callers. It is safe for concurrent use.
type Server struct {
	options    Options
	catalogues *catalogues
	open       *open.Set
	history    *history
	metrics    *metrics
	drain      open.Drain
	// stopped is closed at the end of a planned stop; it ends the watch over keys.
	stopped   chan struct{}
	stopWatch sync.Once
	// background holds what outlives its request: cancels at engines and claims.
	background sync.WaitGroup
}

// New returns a server. It watches the configuration until Drain has ended.
func New(options Options) (*Server, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	options.Limits.fill()
	set := open.NewSet()
	instruments, err := newMetrics(options.Meter, set.Count)
	if err != nil {
		return nil, err
	}
	s := &Server{
		options: options, catalogues: &catalogues{source: options.Configurations}, open: set,
		history: newHistory(options.Limits.History), metrics: instruments, stopped: make(chan struct{}),
	}
	go s.watchKeys()
	return s, nil
}

// Handler serves the caller port.
func (s *Server) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, false) })
}

// PeerHandler serves requests that other data centres hand over, below /peer/serve/.
func (s *Server) PeerHandler() http.Handler {
	inner := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, true) })
	return httpjson.RequireSecret(s.options.PeerSecret, http.StripPrefix(peerPrefix, inner))
}

func (s *Server) now() time.Time { return s.options.Clock.Now() }

// serve serves one request from its arrival to its line in the log.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, local bool) {
	now := s.now()
	req := &request{local: local}
	id, f := requestID(r.Header)
	req.id = id
	w.Header().Set("X-Request-Id", string(id))
	if s.drain.Begun() {
		w.Header().Set("Connection", "close")
	}
	own, cancel := context.WithCancelCause(context.WithoutCancel(r.Context()))
	defer cancel(nil)
	req.own = own
	entry := s.open.Add(cancel)
	defer s.open.Remove(entry)
	if f == nil && s.drain.Refuses() {
		f = refused(winch.RefusedStopping, "this host stops", time.Second)
	}
	if f == nil {
		f = s.admit(now, r, req)
	}
	if f == nil && req.keyed && !req.local {
		entry.Identify(req.hash)
	}
	if f == nil {
		f = s.route(w, r, req)
	}
	s.answer(w, req, f)
	s.conclusion(req, f)
}

// route serves the request by its path.
func (s *Server) route(w http.ResponseWriter, r *http.Request, req *request) *fault {
	path := r.URL.Path
	switch {
	case path == "/v1/chat/completions", path == "/v1/completions":
		if f := s.admitCompletion(w, r, req); f != nil {
			return f
		}
		return s.within(r.Context(), req, func(ctx context.Context) *fault { return s.complete(ctx, w, req) })
	case strings.HasPrefix(path, servicesPrefix):
		if f := s.admitService(w, r, req); f != nil {
			return f
		}
		return s.within(r.Context(), req, func(ctx context.Context) *fault { return s.serveService(ctx, w, req) })
	case path == "/v1/models" && r.Method == http.MethodGet:
		return s.listModels(w, req)
	}
	return &fault{status: http.StatusNotFound, code: "not_found", message: "no such path"}
}

// within serves the request in a context that ends with its time limit, its key, the
// host or its caller, whichever is first.
func (s *Server) within(caller context.Context, req *request, do func(ctx context.Context) *fault) *fault {
	own, stop := context.WithTimeoutCause(req.own, req.timeout, errDeadline)
	defer stop()
	req.own = own
	ctx, leave := context.WithCancelCause(own)
	defer leave(nil)
	defer context.AfterFunc(caller, func() { leave(context.Canceled) })()
	return do(ctx)
}

func (s *Server) listModels(w http.ResponseWriter, req *request) *fault {
	body, err := encodeModels(s.catalogues.get().models(req.keyed))
	if err != nil {
		return &fault{status: http.StatusInternalServerError, code: "internal", message: "the list could not be written"}
	}
	req.began = true
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
	return nil
}

// answer writes the fault: as an answer of its own, or as an event of a stream that has begun.
func (s *Server) answer(w http.ResponseWriter, req *request, f *fault) {
	if f == nil || f.code == "caller_left" {
		return
	}
	if req.began {
		newOutput(w, s.options.Limits.WriteTimeout).fail(f)
		return
	}
	f.write(w, req.ledger.RunState())
}

// hashCall binds a claim to everything that makes the call what it is.
func hashCall(req *request) [sha256.Size]byte {
	digest := sha256.New()
	fmt.Fprintf(digest, "%s\n%s\n%d\n", req.method, req.path, len(req.body))
	digest.Write(req.body)
	return [sha256.Size]byte(digest.Sum(nil))
}
