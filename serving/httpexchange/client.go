// Package httpexchange is an HTTP/1.1 client for code that must know whether a failed call may have
// been executed.
//
// A call is written once, on one connection, and never retried. The error says whether any
// byte can have reached the server. Responses are matched to calls by a header that the
// server echoes: a response to another call is skipped, and its connection is not reused.
// A failure without that header is believed only as the first response on its connection: later
// it may be bytes that belong to no call, and the outcome is unknown.
// The client does not add this header to the call, so Header must hold it. A body ends with
// io.EOF only if it is complete according to its framing, and a response that breaks the rules of
// the protocol is none; see package http1. Idle connections are kept for a
// fraction of the time that the server states, and checked before reuse.
//
// # Usage
//
//	client := httpexchange.New(httpexchange.Options{DialTimeout: time.Second})
//	response, err := client.Exchange(ctx, winch.ExchangeCall{
//		Address: "127.0.0.1:8080", Host: "example.com", Method: "GET", Target: "/",
//		Header: http.Header{"X-Request-Id": {"1"}}, ID: "1", IDHeader: "X-Request-Id",
//	})
//	if errors.Is(err, winch.ErrUnavailable) {
//		// No byte was written.
//	}
//	defer response.Body.Close()
package httpexchange

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/http1"
	"github.com/arbutuswinch/winch/internal/periodic"
	"github.com/arbutuswinch/winch/internal/socket"
)

const (
	defaultDialTimeout = time.Second
	// defaultAckTimeout is how long sent bytes may stay unacknowledged. A link that drops all
	// packets can only be detected this way.
	defaultAckTimeout = 1500 * time.Millisecond
	// ackResetShare is the fraction of AckTimeout after which the client resets the connection
	// of an unacknowledged call. After the whole AckTimeout the kernel would close it without a
	// reset: packets that are delayed on the link could then still reach the server, which
	// would execute the call.
	ackResetShare = 0.75
	// probeIdle, probeInterval and probeCount configure the TCP keep-alive probes.
	probeIdle      = time.Second
	probeInterval  = time.Second
	probeCount     = 2
	readBufferSize = 4 << 10
	// maxInlineBody is the size in bytes up to which a body is written before the response is
	// read; a larger one is written concurrently.
	maxInlineBody = 2 << 10
	// maxResponsesRead bounds the responses that are read for one call, including those to
	// other calls.
	maxResponsesRead = 4
	// maxSkippedBody bounds the body of a skipped response, in bytes.
	maxSkippedBody = 1 << 20
)

// Options are the settings of a client. A zero duration is replaced by its default.
type Options struct {
	// DialTimeout bounds the time to open a connection. The default is 1 s.
	DialTimeout time.Duration
	// AckTimeout is how long sent bytes may stay unacknowledged. The default is 1.5 s.
	AckTimeout time.Duration
	// Control is called before each connection is opened; see net.Dialer.ControlContext. It may be nil.
	Control func(ctx context.Context, network, address string, raw syscall.RawConn) error
	// Dialer opens the connections of calls, whose Peer is then the ID of an endpoint. If it is nil, the client connects directly.
	Dialer winch.EndpointDialer
}

// Client implements winch.Exchanger. It is safe for concurrent use.
type Client struct {
	options Options
	dialer  net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn
}

var (
	_ winch.Exchanger        = (*Client)(nil)
	_ winch.ConnectionProber = (*Client)(nil)
)

// New returns a client.
func New(options Options) *Client {
	options.DialTimeout = cmp.Or(options.DialTimeout, defaultDialTimeout)
	options.AckTimeout = cmp.Or(options.AckTimeout, defaultAckTimeout)
	return &Client{
		options: options, idle: map[string][]*conn{},
		dialer: net.Dialer{
			Timeout:         options.DialTimeout,
			ControlContext:  options.Control,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		},
	}
}

// Exchange sends the call and returns once the head of the response has been read. An error
// matches winch.ErrUnavailable if no byte was written, and winch.ErrOutcomeUnknown if some
// may have been.
func (c *Client) Exchange(ctx context.Context, call winch.ExchangeCall) (*winch.ExchangeAnswer, error) {
	head := encodeRequestHead(call)
	conn, err := c.getConn(ctx, call)
	if err != nil {
		return nil, err
	}
	conn.stopContextWatch = context.AfterFunc(ctx, conn.abort)
	conn.write(head, call.Body)
	watch := conn.watchAck(time.Duration(ackResetShare * float64(c.options.AckTimeout)))
	response, err := c.readResponse(conn, call)
	if watch.stop() {
		err = errNotAcknowledged
		c.observeSilence(conn, call)
	}
	if err != nil {
		conn.discard()
		conn.waitForWrite()
		if !conn.wroteAny() {
			return nil, fmt.Errorf("send request: %w: %w", winch.ErrUnavailable, err)
		}
		return nil, fmt.Errorf("read response: %w: %w", winch.ErrOutcomeUnknown, err)
	}
	conn.setKeepAlive(true)
	return response, nil
}

func encodeRequestHead(call winch.ExchangeCall) []byte {
	head := bytes.Buffer{}
	head.Grow(len(call.Target) + 512)
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", call.Method, call.Target, call.Host)
	// Writes to a bytes.Buffer do not fail.
	_ = call.Header.Write(&head)
	if len(call.Body) > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(call.Body))
	}
	head.WriteString("\r\n")
	return head.Bytes()
}

// getConn returns a usable idle connection, or opens a new one. A call without an ID always gets a new one: only there is the first
// response known to be its own.
func (c *Client) getConn(ctx context.Context, call winch.ExchangeCall) (*conn, error) {
	for {
		if call.NewConnection || call.ID == "" {
			return c.dial(ctx, call)
		}
		idle := c.popIdle(call)
		if idle == nil {
			return c.dial(ctx, call)
		}
		if idle.usable(time.Now()) {
			return idle, nil
		}
		idle.discard()
	}
}

func poolKey(call winch.ExchangeCall) string { return call.Peer + " " + call.Address }

func (c *Client) popIdle(call winch.ExchangeCall) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := poolKey(call)
	conns := c.idle[key]
	if len(conns) == 0 {
		return nil
	}
	last := conns[len(conns)-1]
	conns[len(conns)-1] = nil
	if conns = conns[:len(conns)-1]; len(conns) == 0 {
		delete(c.idle, key)
	} else {
		c.idle[key] = conns
	}
	return last
}

// observeSilence processes that the server acknowledged nothing of a call. Its idle connections lead over the same link.
func (c *Client) observeSilence(silent *conn, call winch.ExchangeCall) {
	if silent.relayed {
		return
	}
	c.discardIdle(silent.key)
	if c.options.Dialer != nil {
		c.options.Dialer.ObserveSilence(winch.EndpointID(call.Peer))
	}
}

// discardIdle closes the idle connections with the key.
func (c *Client) discardIdle(key string) {
	c.mu.Lock()
	idle := c.idle[key]
	delete(c.idle, key)
	c.mu.Unlock()
	for _, conn := range idle {
		conn.discard()
	}
}

// connect opens a connection for the call.
func (c *Client) connect(ctx context.Context, call winch.ExchangeCall) (winch.EndpointConnection, error) {
	if c.options.Dialer != nil {
		return c.options.Dialer.DialEndpoint(ctx, winch.EndpointID(call.Peer), call.Address)
	}
	dialed, err := c.dialer.DialContext(ctx, "tcp", call.Address)
	if err != nil {
		return winch.EndpointConnection{}, fmt.Errorf("connect: %w: %w", winch.ErrUnavailable, err)
	}
	return winch.EndpointConnection{TCPConn: dialed.(*net.TCPConn)}, nil
}

func (c *Client) dial(ctx context.Context, call winch.ExchangeCall) (*conn, error) {
	connection, err := c.connect(ctx, call)
	if err != nil {
		return nil, err
	}
	tcp := connection.TCPConn
	if err := socket.SetAckTimeout(tcp, c.options.AckTimeout); err != nil {
		_ = tcp.Close()
		return nil, fmt.Errorf("connect: %w: %w", winch.ErrUnavailable, err)
	}
	checked := http1.NewConn(connection)
	limit := &headLimit{source: checked}
	opened := &conn{
		client: c, key: poolKey(call), relayed: connection.Relayed, tcp: tcp, checked: checked, reader: bufio.NewReaderSize(limit, readBufferSize), headLimit: limit, openedAt: time.Now(),
	}
	opened.setKeepAlive(false)
	return opened, nil
}

// Refuses implements winch.ConnectionProber.
func (c *Client) Refuses(ctx context.Context, address string) bool {
	dialed, err := c.dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		// Nothing was sent on the connection.
		_ = dialed.Close()
	}
	return errors.Is(err, unix.ECONNREFUSED)
}

// readResponse reads the head of the response to the call and skips responses to other calls.
func (c *Client) readResponse(conn *conn, call winch.ExchangeCall) (*winch.ExchangeAnswer, error) {
	for range maxResponsesRead {
		response, err := conn.readResponseHead(call.Method)
		if err != nil {
			return nil, err
		}
		id, err := http1.SingleValue(response.Header, call.IDHeader)
		if err != nil {
			return nil, fmt.Errorf("match response: %w: %w", winch.ErrResponseMismatch, err)
		}
		if conn.unproven(response, id) {
			return nil, fmt.Errorf("status %d without an ID on a connection that has carried another exchange: %w", response.StatusCode, winch.ErrResponseMismatch)
		}
		if isResponseTo(response, id, call) {
			// A late copy of a response without an ID could not be told from the response to the next call.
			body := &responseBody{conn: conn, reader: response.Body, reusable: id != "" && reusable(response)}
			body.idleTime = idleTime(response.Header)
			return &winch.ExchangeAnswer{
				Status: response.StatusCode, Header: response.Header, Body: body, EndsWithConnection: !framed(response),
				Length: bodyLength(response, call.Method), ConnectionAge: time.Since(conn.openedAt),
			}, nil
		}
		conn.receivedOtherResponse = true
		if err := skipResponse(response); err != nil {
			return nil, err
		}
	}
	return nil, fmt.Errorf("only responses to other calls received: %w", winch.ErrResponseMismatch)
}

// isResponseTo reports whether the response with the ID belongs to the call. An error response without
// an ID is accepted, since some servers do not echo the ID when they refuse a call; see unproven.
func isResponseTo(response *http.Response, id string, call winch.ExchangeCall) bool {
	return id == call.ID || id == "" && response.StatusCode >= http.StatusBadRequest
}

// skipResponse reads a response to another call to its end.
func skipResponse(response *http.Response) error {
	if !framed(response) {
		return fmt.Errorf("skip response to another call: %w: its length is not known", winch.ErrResponseMismatch)
	}
	// Without an error from CopyN the body has at least maxSkippedBody bytes and is not read
	// to its end.
	if _, err := io.CopyN(io.Discard, response.Body, maxSkippedBody); err != io.EOF {
		return fmt.Errorf("skip response to another call: %w: %w", winch.ErrResponseMismatch, cmp.Or(err, io.ErrShortBuffer))
	}
	return nil
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	idle := c.idle
	c.idle = map[string][]*conn{}
	c.mu.Unlock()
	for _, conns := range idle {
		for _, conn := range conns {
			conn.discard()
		}
	}
}

// pruneInterval is the interval at which expired idle connections are closed.
const pruneInterval = 5 * time.Second

// Run closes expired idle connections periodically until ctx ends. It returns nil.
func (c *Client) Run(ctx context.Context) error {
	return periodic.Run(ctx, pruneInterval, func(context.Context) { c.prune(time.Now()) })
}

func (c *Client) prune(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, conns := range c.idle {
		live := conns[:0]
		for _, idle := range conns {
			if now.After(idle.idleUntil) {
				_ = idle.tcp.Close()
				continue
			}
			live = append(live, idle)
		}
		clear(conns[len(live):])
		if c.idle[key] = live; len(live) == 0 {
			delete(c.idle, key)
		}
	}
}
