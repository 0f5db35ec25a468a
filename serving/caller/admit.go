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
	"github.com/arbutuswinch/winch/internal/memory"
	"github.com/arbutuswinch/winch/serving/internal/runstate"
	"github.com/arbutuswinch/winch/serving/peer"
)

const (
	maxRequestID      = 128
	maxIdempotencyKey = 255
	// maxHeaderValue is the size in bytes above which a header is not forwarded.
	maxHeaderValue = 4 << 10
	servicesPrefix = "/services/"
	// firstBodyStep is the number of bytes for which a body takes memory at first. Each further step is bodyStepFactor times as large.
	firstBodyStep  = 16 << 10
	bodyStepFactor = 4
)

// forwardedRequestHeaders returns the request headers that are forwarded to endpoints. API
// keys, cookies and proxy headers are deliberately absent.
func forwardedRequestHeaders() []string {
	return []string{"Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match", "Traceparent", "Tracestate"}
}

// request holds a caller's request and its progress.
type request struct {
	// detached is the request's context without the caller's connection: it ends at the
	// deadline, when the API key is withdrawn or when the server shuts down, but not when
	// the caller disconnects.
	detached context.Context
	// claim holds the memory of the body until the request ends.
	claim          *memory.Claim
	id             winch.RequestID
	authenticated  bool
	keyHash        winch.KeyHash
	organisation   winch.OrganisationID
	class          winch.Class
	route          winch.Route
	idempotencyKey winch.IdempotencyKey
	// fromPeer says that a host in another data centre forwarded the request.
	fromPeer bool
	method   string
	// path is the path at the endpoint, for plain services with the query.
	path string
	// header holds only the headers that are forwarded to the endpoint.
	header  http.Header
	timeout time.Duration
	arrived time.Time
	completion
	tracker           runstate.Tracker
	excludedEndpoints []winch.EndpointID
	attempts          []AttemptExplanation
	// lastRefusal is the latest refusal that a peer returned.
	lastRefusal     *apiError
	responseStarted bool
	// firstWithOutput is the first attempt that delivered output or completed.
	firstWithOutput *attempt
	// continuesStream says that a peer already delivered the beginning of the stream.
	continuesStream bool
	// timeToFirstToken is the time from arrival to the first token; zero if there was none yet.
	timeToFirstToken time.Duration
	outputTokens     winch.Tokens
	// collectedTokens are the output tokens of a response that is being collected.
	collectedTokens winch.Tokens
	// notResumable says that no engine can resume the stream, because several choices were
	// requested or the output delivered so far is not plain text.
	notResumable bool
	// software is the software version that began the response; empty while it has not begun, and if the version is not known.
	software winch.SoftwareVersion
}

// chat reports whether the request is a chat completion.
func (req *request) chat() bool { return strings.HasSuffix(req.path, "/chat/completions") }

// requestID returns the ID from the header X-Request-Id, or a new one.
func requestID(header http.Header) (winch.RequestID, *apiError) {
	id := header.Get("X-Request-Id")
	if id == "" {
		return winch.RequestID(uuid.NewString()), nil
	}
	if len(id) > maxRequestID || strings.ContainsFunc(id, func(c rune) bool {
		return c <= ' ' || c > '~' || c == '"' || c == '\\' || c == '/'
	}) {
		return winch.RequestID(uuid.NewString()), invalidRequest("X-Request-Id", "the id is too long or holds other than plain characters")
	}
	return winch.RequestID(id), nil
}

// authorize determines the organisation from the caller's API key, or from the header
// X-Organisation of an authenticated peer. A request without them is accepted as
// unauthenticated; it may use open classes and routes only, which is checked when its class
// or route is known.
func (s *Server) authorize(now time.Time, header http.Header, req *request) *apiError {
	if s.options.Configurations.Authority(now) == winch.AuthorityNone {
		return &apiError{
			status: http.StatusServiceUnavailable, code: "not_ready", retryAfter: time.Second,
			message: "this host has no configuration yet",
		}
	}
	if req.fromPeer {
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
	req.keyHash = winch.HashKey(strings.TrimSpace(secret))
	key, err := s.options.Configurations.Authorize(now, req.keyHash)
	if err != nil {
		return unauthorized(err)
	}
	req.authenticated, req.organisation = true, key.Organisation
	return nil
}

func (s *Server) authorizePeer(header http.Header, req *request) *apiError {
	req.software = winch.SoftwareVersion(header.Get(peer.SoftwareHeader))
	req.organisation = winch.OrganisationID(header.Get("X-Organisation"))
	if req.organisation == "" {
		return nil
	}
	if _, found := s.options.Configurations.Current().Organisations[req.organisation]; !found {
		// This host may not have received the peer's configuration yet, so the caller may retry.
		return refusalError(winch.RefusedNoEndpoint, "the organisation is not known here", time.Second)
	}
	req.authenticated = true
	return nil
}

// admit authorizes the request and reads the headers that all kinds of requests share.
func (s *Server) admit(now time.Time, r *http.Request, req *request) *apiError {
	req.arrived, req.method = now, r.Method
	if apiErr := s.authorize(now, r.Header, req); apiErr != nil {
		return apiErr
	}
	req.timeout = s.options.Limits.Timeout
	if requestedTimeout := r.Header.Get("X-Request-Timeout"); requestedTimeout != "" {
		timeout, err := time.ParseDuration(requestedTimeout)
		if err != nil || timeout <= 0 {
			return invalidRequest("X-Request-Timeout", "the header is not a positive duration")
		}
		req.timeout = min(timeout, s.options.Limits.MaxTimeout)
	}
	req.idempotencyKey = winch.IdempotencyKey(r.Header.Get("Idempotency-Key"))
	if len(req.idempotencyKey) > maxIdempotencyKey {
		return invalidRequest("Idempotency-Key", "the key is too long")
	}
	req.header = http.Header{}
	// Of a repeated header only the first value is forwarded.
	for _, name := range forwardedRequestHeaders() {
		if values := r.Header.Values(name); len(values) > 0 && len(values[0]) <= maxHeaderValue {
			req.header[name] = values[:1]
		}
	}
	return nil
}

// readBody reads the whole request body within the limits of size and time. The request's claim takes memory for it in steps, as it
// arrives. The buffer is one byte larger than a body of declared length; the extra byte lets Read report the end without growing the buffer.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, req *request) ([]byte, *apiError) {
	limit := s.options.Limits.RequestBody
	if r.ContentLength > limit {
		return nil, bodyTooLarge()
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(s.options.Limits.ReadTimeout))
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	// Without a declared length nothing is expected.
	stopExpecting, err := req.claim.ExpectBriefly(max(0, r.ContentLength+1))
	if err != nil {
		return nil, noMemory(w)
	}
	defer stopExpecting()
	reader := http.MaxBytesReader(w, r.Body, limit)
	for body := []byte(nil); ; {
		if len(body) == cap(body) {
			grown := nextBodySize(int64(cap(body)), r.ContentLength, limit)
			if req.claim.TakeExpected(grown-int64(cap(body))) != nil {
				return nil, noMemory(w)
			}
			body = append(make([]byte, 0, grown), body...)
		}
		count, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		var sizeErr *http.MaxBytesError
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case errors.As(err, &sizeErr):
			return nil, bodyTooLarge()
		case err != nil:
			// The read deadline has passed, or the connection or its framing is broken. Only in
			// the first case can the caller read this response.
			return nil, &apiError{status: http.StatusRequestTimeout, code: "body_incomplete", param: "body", message: "the body did not arrive in time"}
		}
	}
}

// nextBodySize returns the number of bytes to which the buffer of a body grows next. declared is the declared length, or negative if it
// is unknown.
func nextBodySize(size, declared, limit int64) int64 {
	whole := limit + 1
	if declared >= 0 {
		whole = declared + 1
	}
	return min(whole, max(firstBodyStep, bodyStepFactor*size))
}

// noMemory returns the error for a request that is refused because there is no memory for its body. It also makes the server close the
// connection, since the rest of the body is not read.
func noMemory(w http.ResponseWriter) *apiError {
	w.Header().Set("Connection", "close")
	return &apiError{
		status: http.StatusServiceUnavailable, code: "no_memory", retryAfter: time.Second, message: "the request was not run: there is no memory for its body at the moment",
	}
}

func bodyTooLarge() *apiError {
	return &apiError{status: http.StatusRequestEntityTooLarge, code: "too_large", param: "body", message: "the body is too large"}
}

// admitCompletion reads the body of a completion request and selects its class.
func (s *Server) admitCompletion(w http.ResponseWriter, r *http.Request, req *request) *apiError {
	if r.Method != http.MethodPost {
		return &apiError{status: http.StatusMethodNotAllowed, code: "method_not_allowed", message: "the path takes POST only"}
	}
	body, apiErr := s.readBody(w, r, req)
	if apiErr != nil {
		return apiErr
	}
	if req.completion, apiErr = decodeCompletion(body, req.fromPeer); apiErr != nil {
		return apiErr
	}
	req.notResumable, req.continuesStream = req.multipleChoices, req.deliveredTokens > 0
	req.path = r.URL.Path
	// A completion has no effect besides its output, so it may be run more than once.
	req.tracker.Repeatable = true
	requestedClass := winch.ClassID(r.Header.Get("X-Request-Class"))
	req.class, apiErr = s.classIndexes.get().class(req.model, requestedClass, req.authenticated)
	return apiErr
}

// admitService finds the route and class of a call to a plain service and reads its body.
func (s *Server) admitService(w http.ResponseWriter, r *http.Request, req *request) *apiError {
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicesPrefix), "/")
	configuration := s.options.Configurations.Current()
	route, found := configuration.Routes[winch.RouteID(name)]
	if !found {
		return &apiError{status: http.StatusNotFound, code: "route_not_found", message: "no such route"}
	}
	if !req.authenticated && !route.Open {
		return unauthorized(winch.ErrUnauthorized)
	}
	if hasDotSegment(r.URL.Path) {
		return invalidRequest("path", "the path holds . or .. segments")
	}
	class, found := configuration.Classes[route.Class]
	if !found {
		// A later configuration may contain the class, so the caller may retry.
		return refusalError(winch.RefusedNoEndpoint, "the route's class does not exist", time.Second)
	}
	req.route, req.class = route, class
	req.tracker.Repeatable = route.Idempotent || s.options.guardSwitches.noAtMostOnce
	req.path = "/" + rest
	if r.URL.RawQuery != "" {
		req.path += "?" + r.URL.RawQuery
	}
	if req.idempotencyKey != "" {
		req.header.Set("Idempotency-Key", string(req.idempotencyKey))
	}
	body, apiErr := s.readBody(w, r, req)
	req.body = body
	return apiErr
}

func hasDotSegment(path string) bool {
	for _, segment := range strings.Split(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// verifyKey checks the API key again. It returns nil if the key is still valid, or the
// cause for ending the request. Limits.UnverifiedKeyGrace does not apply here: a request gets no
// slot while its key cannot be verified.
func (s *Server) verifyKey(now time.Time, req *request) error {
	if !req.authenticated || req.fromPeer || s.options.guardSwitches.noKeyChecks {
		return nil
	}
	_, err := s.options.Configurations.Authorize(now, req.keyHash)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, winch.ErrIsolated):
		return errIsolated
	}
	return errKeyWithdrawn
}
