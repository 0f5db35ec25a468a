// Package noretry sends HTTP calls without the automatic retries of net/http.
//
// When a reused connection breaks, http.Transport retries calls that have an idempotent
// method or an Idempotency-Key header, if it can rewind their body; a call without a body
// counts as rewindable. This package gives each call a body that cannot be rewound. A call
// that may not be repeated also gets a connection of its own: on a reused one it could be lost if
// the server closes the idle connection at the same moment. The call does not ask the server to
// close that connection, but the transport closes it after the response. Asked to, a server of
// net/http that answers before it has read the body resets the connection, and the response may
// be lost.
//
// # Usage
//
//	transport := noretry.New(noretry.Options{})
//	response, err := transport.Send(ctx, "http://127.0.0.1:8080/bookings", call, nil)
//	if errors.Is(err, winch.ErrUnavailable) {
//		// No byte was written.
//	}
package noretry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/http1"
)

const (
	defaultDialTimeout     = time.Second
	defaultIdleConnections = 256
	idleTimeout            = 30 * time.Second
	keepAlivePeriod        = 15 * time.Second
	// maxHeadBytes bounds the head of a response, with the informational responses before it, in bytes.
	maxHeadBytes = 32 << 10
)

// Options are the settings of a transport. Limits that are zero get their defaults.
type Options struct {
	// IdleConnections is the maximum number of idle connections to one server.
	IdleConnections int
	// DialTimeout is the timeout for opening a connection.
	DialTimeout time.Duration
	// AllowRetries leaves the retries of http.Transport on and lets all calls reuse connections.
	// It is for tests that show that calls are then run more than once.
	AllowRetries bool
}

// Transport sends HTTP calls, each at most once. It is safe for concurrent use.
type Transport struct {
	allowRetries bool
	// pooled reuses connections and sends calls that the sender may repeat; unpooled sends
	// all others, each on a connection of its own.
	pooled   *http.Transport
	unpooled *http.Transport
}

// New returns a transport.
func New(options Options) *Transport {
	if options.IdleConnections == 0 {
		options.IdleConnections = defaultIdleConnections
	}
	if options.DialTimeout == 0 {
		options.DialTimeout = defaultDialTimeout
	}
	return &Transport{
		allowRetries: options.AllowRetries,
		pooled:       newHTTPTransport(options, options.IdleConnections),
		unpooled:     newHTTPTransport(options, noIdleConnections),
	}
}

// noIdleConnections makes http.Transport close each connection after its response. DisableKeepAlives would do so too, but would also add the
// field "Connection: close" to the request.
const noIdleConnections = -1

func newHTTPTransport(options Options, idleConnections int) *http.Transport {
	dialer := &net.Dialer{Timeout: options.DialTimeout, KeepAlive: keepAlivePeriod}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		// Drops unsent bytes when the connection is closed, as it is when a call is cancelled.
		// Otherwise bytes that the network does not deliver at the moment would stay in the send
		// buffer and arrive after the caller has stopped waiting.
		if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
			_ = conn.Close()
			return nil, fmt.Errorf("set linger: %w", err)
		}
		return http1.NewConn(conn), nil
	}
	return &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout: idleTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// Send sends the call to the address. The extra headers replace headers of the call with the
// same name. Errors: ErrUnavailable means that no byte was written, ErrOutcomeUnknown that
// some may have been, ErrResponseMismatch that the response may be one to another call.
func (t *Transport) Send(ctx context.Context, address string, call winch.Call, extra http.Header) (*http.Response, error) {
	connection := &atomic.Pointer[httptrace.GotConnInfo]{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// From here on bytes may have been written.
		GotConn: func(info httptrace.GotConnInfo) { connection.Store(&info) },
	})
	request, err := http.NewRequestWithContext(ctx, call.Method, address, bytes.NewReader(call.Body))
	if err != nil {
		return nil, fmt.Errorf("build call: %w: %w", winch.ErrUnavailable, err)
	}
	if !t.allowRetries {
		setUnrewindableBody(request, call.Body)
	}
	for name, values := range call.Header {
		request.Header[name] = values
	}
	for name, values := range extra {
		request.Header[name] = values
	}
	response, err := t.transportFor(call).RoundTrip(request)
	if err == nil {
		if err := checkAnswered(request, response, connection.Load()); err != nil {
			return nil, err
		}
		return response, nil
	}
	if connection.Load() != nil {
		return nil, fmt.Errorf("send call: %w: %w", winch.ErrOutcomeUnknown, err)
	}
	return nil, fmt.Errorf("send call: %w: %w", winch.ErrUnavailable, err)
}

const requestIDHeader = "X-Request-Id"

// checkAnswered returns ErrResponseMismatch, and closes the connection, if the response names another request or several, or if it says that
// the request was not run, names none, and came on a connection that has carried other calls: a server may have written
// an earlier refusal once more.
func checkAnswered(request *http.Request, response *http.Response, connection *httptrace.GotConnInfo) error {
	id, err := http1.SingleValue(response.Header, requestIDHeader)
	reused := connection != nil && connection.Reused
	unproven := id == "" && reused && response.StatusCode == http.StatusServiceUnavailable
	if err == nil && !unproven && (id == "" || id == request.Header.Get(requestIDHeader)) {
		return nil
	}
	_ = response.Body.Close()
	if connection != nil {
		// Closing the body does not close the connection of a response without one.
		_ = connection.Conn.Close()
	}
	return fmt.Errorf("match response: %w", winch.ErrResponseMismatch)
}

// Close closes all idle connections.
func (t *Transport) Close() {
	t.pooled.CloseIdleConnections()
	t.unpooled.CloseIdleConnections()
}

func (t *Transport) transportFor(call winch.Call) *http.Transport {
	if call.Repeatable || t.allowRetries {
		return t.pooled
	}
	return t.unpooled
}

// setUnrewindableBody gives the request a body that cannot be rewound. An empty body must not
// be nil or http.NoBody, because net/http treats both as rewindable.
func setUnrewindableBody(request *http.Request, body []byte) {
	request.GetBody = nil
	request.ContentLength = int64(len(body))
	request.Body = io.NopCloser(bytes.NewReader(body))
}
