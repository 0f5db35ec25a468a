// Package once sends HTTP calls that are never repeated silently.
//
// Go's HTTP transport repeats some calls by itself when a reused connection breaks:
// those with an idempotent method or an Idempotency-Key header whose body it can
// rewind, which includes every call without a body. Here each call has a body that
// cannot be rewound, and a call that may not be repeated gets a connection of its
// own, which also keeps it from racing with the server's closing of an idle one.
//
// # Usage
//
//	transport := once.New(once.Options{})
//	response, err := transport.Send(ctx, "http://127.0.0.1:8080/bookings", call, nil)
//	if errors.Is(err, winch.ErrUnavailable) {
//		// No byte was written.
//	}
package once

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
)

const (
	defaultDialTimeout     = time.Second
	defaultIdleConnections = 256
	idleTimeout            = 30 * time.Second
	keepAlivePeriod        = 15 * time.Second
)

// Options are the settings of a transport. The zero value of a limit stands for its default.
type Options struct {
	// IdleConnections is the most connections that are kept open to one server.
	IdleConnections int
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// Unguarded leaves Go's transport free to repeat calls; for tests of the guard.
	Unguarded bool
}

// Transport sends calls. It is safe for concurrent use.
type Transport struct {
	unguarded bool
	// pooled carries calls that may be repeated by the sender, single the others.
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
		unguarded: options.Unguarded,
		pooled:    newHTTPTransport(options, false),
		unpooled:  newHTTPTransport(options, true),
	}
}

func newHTTPTransport(options Options, unpooled bool) *http.Transport {
	dialer := &net.Dialer{Timeout: options.DialTimeout, KeepAlive: keepAlivePeriod}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		// What of a call that was given up waits in this machine is dropped: behind a silent
		// link it would arrive when nobody waits for it any more.
		if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
			_ = conn.Close()
			return nil, fmt.Errorf("set linger: %w", err)
		}
		return conn, nil
	}
	return &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: options.IdleConnections,
		IdleConnTimeout: idleTimeout, DisableCompression: true, DisableKeepAlives: unpooled,
	}
}

// Send sends the call to the address with the call's headers and the own ones,
// which win. ErrUnavailable says that no byte was written, ErrOutcomeUnknown that
// some may have been.
func (t *Transport) Send(ctx context.Context, address string, call winch.Call, extra http.Header) (*http.Response, error) {
	written := &atomic.Bool{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { written.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, call.Method, address, bytes.NewReader(call.Body))
	if err != nil {
		return nil, fmt.Errorf("build call: %w: %w", winch.ErrUnavailable, err)
	}
	if !t.unguarded {
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
		return response, nil
	}
	if written.Load() {
		return nil, fmt.Errorf("send call: %w: %w", winch.ErrOutcomeUnknown, err)
	}
	return nil, fmt.Errorf("send call: %w: %w", winch.ErrUnavailable, err)
}

// Close closes the idle connections.
func (t *Transport) Close() {
	t.pooled.CloseIdleConnections()
	t.unpooled.CloseIdleConnections()
}

func (t *Transport) transportFor(call winch.Call) *http.Transport {
	if call.Repeatable || t.unguarded {
		return t.pooled
	}
	return t.unpooled
}

// readOnce gives the request a body that cannot be rewound. An empty body must not
// be nil or http.NoBody, which count as rewindable.
func setUnrewindableBody(request *http.Request, body []byte) {
	request.GetBody = nil
	request.ContentLength = int64(len(body))
	request.Body = io.NopCloser(bytes.NewReader(body))
}
