package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/internal/ledger"
)

const (
	maxRequestID      = 128
	maxIdempotencyKey = 255
	maxHeaderValue    = 4 << 10
	servicesPrefix    = "/services/"
	maxPreallocated   = 64 << 10
)

// Headers of callers that are passed on. Keys, cookies and proxy headers are not among them.
func passedHeaders() []string {
	return []string{"Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match", "Traceparent", "Tracestate"}
}

// request is a caller's request and what became of it so far.
type request struct {
	// own is the context of the request without its caller: it ends with the request's
	// time, its key or the host, but not when the caller leaves.
	own          context.Context
	id           winch.RequestID
	keyed        bool
	hash         winch.KeyHash
	organisation winch.OrganisationID
	class        winch.Class
	route        winch.Route
	idempotency  winch.IdempotencyKey
	// local: handed over by a peer.
	local   bool
	method  string
	path    string
	header  http.Header
	timeout time.Duration
	arrived time.Time
	completion
	ledger   ledger.Ledger
	excluded []winch.EndpointID
	attempts []AttemptExplanation
	// lastRefusal is what an endpoint that refused said.
	lastRefusal *fault
	began       bool
	// first is the first attempt that delivered something.
	first *attempt
	// handedOn: a peer hands over a stream that has begun.
	handedOn   bool
	firstToken time.Duration
	output     winch.Tokens
	// held are the output tokens of an answer that is being collected.
	held winch.Tokens
	// rigid says that output was delivered from which no engine can resume.
	rigid bool
}

// chat reports whether the request is a chat completion.
func (req *request) chat() bool { return strings.HasSuffix(req.path, "/chat/completions") }

// requestID returns the caller's id for the request, or a new one.
func requestID(header http.Header) (winch.RequestID, *fault) {
	id := header.Get("X-Request-Id")
	if id == "" {
		return winch.RequestID(uuid.NewString()), nil
	}
	if len(id) > maxRequestID || strings.ContainsFunc(id, func(c rune) bool {
		return c <= ' ' || c > '~' || c == '"' || c == '\\' || c == '/'
	}) {
		return winch.RequestID(uuid.NewString()), invalid("X-Request-Id", "the id is too long or holds other than plain characters")
	}
	return winch.RequestID(id), nil
}

// authorize finds the organisation: by the caller's key, or by the header of an authenticated peer.
func (s *Server) authorize(now time.Time, header http.Header, req *request) *fault {
	if s.options.Configurations.Authority(now) == winch.AuthorityNone {
		return &fault{
			status: http.StatusServiceUnavailable, code: "not_ready", retryAfter: time.Second,
			message: "this host has no configuration yet",
		}
	}
	if req.local {
		return s.authorizePeer(header, req)
	}
	value := header.Get("Authorization")
	if value == "" {
		return nil
	}
	scheme, secret, _ := strings.Cut(value, " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return unauthorized(winch.ErrUnauthorized)
	}
	req.hash = winch.HashKey(strings.TrimSpace(secret))
	key, err := s.options.Configurations.Authorize(now, req.hash)
	if err != nil {
		return unauthorized(err)
	}
	req.keyed, req.organisation = true, key.Organisation
	return nil
}

func (s *Server) authorizePeer(header http.Header, req *request) *fault {
	req.organisation = winch.OrganisationID(header.Get("X-Organisation"))
	if req.organisation == "" {
		return nil
	}
	if _, found := s.options.Configurations.Current().Organisations[req.organisation]; !found {
		return refused(winch.RefusedNoEndpoint, "the organisation is not known here", time.Second)
	}
	req.keyed = true
	return nil
}

// admit reads the headers that all requests have in common.
func (s *Server) admit(now time.Time, r *http.Request, req *request) *fault {
	req.arrived, req.method = now, r.Method
	if f := s.authorize(now, r.Header, req); f != nil {
		return f
	}
	req.timeout = s.options.Limits.Timeout
	if named := r.Header.Get("X-Request-Timeout"); named != "" {
		timeout, err := time.ParseDuration(named)
		if err != nil || timeout <= 0 {
			return invalid("X-Request-Timeout", "the header is not a positive duration")
		}
		req.timeout = min(timeout, s.options.Limits.MaxTimeout)
	}
	req.idempotency = winch.IdempotencyKey(r.Header.Get("Idempotency-Key"))
	if len(req.idempotency) > maxIdempotencyKey {
		return invalid("Idempotency-Key", "the key is too long")
	}
	req.header = http.Header{}
	for _, name := range passedHeaders() {
		if values := r.Header.Values(name); len(values) > 0 && len(values[0]) <= maxHeaderValue {
			req.header[name] = values[:1]
		}
	}
	return nil
}

// readBody reads the whole body within the limits of size and time.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *fault) {
	limit := s.options.Limits.Body
	if r.ContentLength > limit {
		return nil, tooLarge()
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(s.options.Limits.ReadTimeout))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	body := make([]byte, 0, min(max(r.ContentLength, 0), maxPreallocated)+1)
	reader := http.MaxBytesReader(w, r.Body, limit)
	for {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		count, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		var large *http.MaxBytesError
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case errors.As(err, &large):
			return nil, tooLarge()
		case err != nil:
			return nil, &fault{status: http.StatusRequestTimeout, code: "body_incomplete", param: "body", message: "the body did not arrive in time"}
		}
	}
}

func tooLarge() *fault {
	return &fault{status: http.StatusRequestEntityTooLarge, code: "too_large", param: "body", message: "the body is too large"}
}

// admitCompletion reads the body of a completion and picks its class.
func (s *Server) admitCompletion(w http.ResponseWriter, r *http.Request, req *request) *fault {
	if r.Method != http.MethodPost {
		return &fault{status: http.StatusMethodNotAllowed, code: "method_not_allowed", message: "the path takes POST only"}
	}
	body, f := s.readBody(w, r)
	if f != nil {
		return f
	}
	if req.completion, f = decodeCompletion(body, req.local); f != nil {
		return f
	}
	req.rigid, req.handedOn = req.several, req.tokens > 0
	req.path = r.URL.Path
	req.ledger.Repeatable = true
	named := winch.ClassID(r.Header.Get("X-Request-Class"))
	req.class, f = s.catalogues.get().class(req.model, named, req.keyed)
	return f
}

// admitService reads the body of a call of a plain service and finds its route and class.
func (s *Server) admitService(w http.ResponseWriter, r *http.Request, req *request) *fault {
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicesPrefix), "/")
	configuration := s.options.Configurations.Current()
	route, found := configuration.Routes[winch.RouteID(name)]
	if !found {
		return &fault{status: http.StatusNotFound, code: "route_not_found", message: "no such route"}
	}
	if !req.keyed && !route.Open {
		return unauthorized(winch.ErrUnauthorized)
	}
	if hasDotSegment(r.URL.Path) {
		return invalid("path", "the path holds . or .. segments")
	}
	class, found := configuration.Classes[route.Class]
	if !found {
		return refused(winch.RefusedNoEndpoint, "the route's class does not exist", time.Second)
	}
	req.route, req.class = route, class
	req.ledger.Repeatable = route.Idempotent || s.options.unguarded.resends
	req.path = "/" + rest
	if r.URL.RawQuery != "" {
		req.path += "?" + r.URL.RawQuery
	}
	if req.idempotency != "" {
		req.header.Set("Idempotency-Key", string(req.idempotency))
	}
	body, f := s.readBody(w, r)
	req.body = body
	return f
}

func hasDotSegment(path string) bool {
	for _, segment := range strings.Split(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// stillAuthorized reports why a request may no longer run, or nil.
func (s *Server) stillAuthorized(now time.Time, req *request) error {
	if !req.keyed || req.local || s.options.unguarded.keys {
		return nil
	}
	_, err := s.options.Configurations.Authorize(now, req.hash)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, winch.ErrIsolated):
		return errIsolated
	}
	return errKeyWithdrawn
}
