// Package exact is an HTTP/1.1 client for calls whose fate must be known exactly.
//
// A call is written once, on one connection, and never repeated. The error says
// whether any byte can have reached the server. Answers are matched to calls by a header
// that the server echoes: an answer of another call is skipped, and its connection is not
// used again. A body ends with io.EOF only when it is complete by its own framing.
// Connections are kept for as long as the server says, less a margin, and looked at
// before they are used again.
//
// # Usage
//
//	client := exact.New(exact.Options{DialTimeout: time.Second})
//	answer, err := client.Exchange(ctx, winch.ExchangeCall{Address: "127.0.0.1:8080", Method: "GET", Target: "/", ID: "1", IDHeader: "X-Request-Id"})
//	if errors.Is(err, winch.ErrUnavailable) {
//		// No byte was written.
//	}
//	defer answer.Body.Close()
package exact

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/periodic"
	"github.com/arbutuswinch/winch/internal/socket"
)

const (
	defaultDialTimeout = time.Second
	// defaultAckTimeout is how long sent bytes may stay unacknowledged: silent links show only so.
	defaultAckTimeout = 1500 * time.Millisecond
	// ackShare is the part of that time after which a call that is not acknowledged is reset by
	// the client itself: what the system ends may still arrive from a link that holds it up.
	ackShare      = 0.75
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	readSize      = 4 << 10
	// inlineBody is the largest body that is written before the answer is waited for.
	inlineBody = 2 << 10
	// skipLimit bounds the answers of other calls that are skipped.
	skipLimit = 4
	// skipBytes bounds the body of an answer that is skipped.
	skipBytes = 1 << 20
)

// Options are the settings of a client. The zero value of a duration stands for its default.
type Options struct {
	// DialTimeout bounds the opening of a connection. The default is 1 s.
	DialTimeout time.Duration
	// AckTimeout is how long sent bytes may stay unacknowledged. The default is 1.5 s.
	AckTimeout time.Duration
}

// Client implements winch.Exchanger. It is safe for concurrent use.
type Client struct {
	options Options
	dialer  net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn
}

var _ winch.Exchanger = (*Client)(nil)

// New returns a client.
func New(options Options) *Client {
	options.DialTimeout = cmp.Or(options.DialTimeout, defaultDialTimeout)
	options.AckTimeout = cmp.Or(options.AckTimeout, defaultAckTimeout)
	return &Client{
		options: options, idle: map[string][]*conn{},
		dialer: net.Dialer{
			Timeout:         options.DialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		},
	}
}

// Exchange makes the call. ErrUnavailable says that no byte was written, ErrOutcomeUnknown that some may have been.
func (c *Client) Exchange(ctx context.Context, call winch.ExchangeCall) (*winch.ExchangeAnswer, error) {
	head := encodeHead(call)
	conn, err := c.take(ctx, call)
	if err != nil {
		return nil, err
	}
	conn.stop = context.AfterFunc(ctx, conn.abort)
	conn.write(head, call.Body)
	watch := conn.expectAck(time.Duration(ackShare * float64(c.options.AckTimeout)))
	response, err := c.await(conn, call)
	if watch.stop() {
		err = errSilent
	}
	if err != nil {
		conn.discard()
		conn.waitWritten()
		if !conn.wrote() {
			return nil, fmt.Errorf("write call: %w: %w", winch.ErrUnavailable, err)
		}
		return nil, fmt.Errorf("read answer: %w: %w", winch.ErrOutcomeUnknown, err)
	}
	conn.probe(true)
	return response, nil
}

func encodeHead(call winch.ExchangeCall) []byte {
	head := bytes.Buffer{}
	head.Grow(len(call.Target) + 512)
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", call.Method, call.Target, call.Host)
	// Writing to a buffer cannot fail.
	_ = call.Header.Write(&head)
	if len(call.Body) > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(call.Body))
	}
	head.WriteString("\r\n")
	return head.Bytes()
}

// take returns a kept connection, or opens one.
func (c *Client) take(ctx context.Context, call winch.ExchangeCall) (*conn, error) {
	for {
		kept := c.takeIdle(call)
		if kept == nil {
			return c.open(ctx, call)
		}
		if kept.sound(time.Now()) {
			return kept, nil
		}
		kept.discard()
	}
}

func poolKey(call winch.ExchangeCall) string { return call.Peer + " " + call.Address }

func (c *Client) takeIdle(call winch.ExchangeCall) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := poolKey(call)
	kept := c.idle[key]
	if len(kept) == 0 {
		return nil
	}
	last := kept[len(kept)-1]
	kept[len(kept)-1] = nil
	if kept = kept[:len(kept)-1]; len(kept) == 0 {
		delete(c.idle, key)
	} else {
		c.idle[key] = kept
	}
	return last
}

func (c *Client) open(ctx context.Context, call winch.ExchangeCall) (*conn, error) {
	plain, err := c.dialer.DialContext(ctx, "tcp", call.Address)
	if err != nil {
		return nil, fmt.Errorf("connect: %w: %w", winch.ErrUnavailable, err)
	}
	opened := plain.(*net.TCPConn)
	if err := socket.SetAckTimeout(opened, c.options.AckTimeout); err != nil {
		_ = opened.Close()
		return nil, fmt.Errorf("connect: %w: %w", winch.ErrUnavailable, err)
	}
	built := &conn{client: c, key: poolKey(call), plain: opened, reader: bufio.NewReaderSize(opened, readSize)}
	built.probe(false)
	return built, nil
}

// await reads the answer of the call, and skips those of others.
func (c *Client) await(conn *conn, call winch.ExchangeCall) (*winch.ExchangeAnswer, error) {
	for range skipLimit {
		answer, err := conn.readHead(call.Method)
		if err != nil {
			return nil, err
		}
		if matches(answer, call) {
			body := &body{conn: conn, reader: answer.Body, reusable: reusable(answer)}
			body.keep = keepTime(answer.Header)
			return &winch.ExchangeAnswer{Status: answer.StatusCode, Header: answer.Header, Body: body}, nil
		}
		conn.spoiled = true
		if err := skip(answer); err != nil {
			return nil, err
		}
	}
	return nil, fmt.Errorf("skip answers: %w", winch.ErrCrossed)
}

// matches tells whether the answer is the call's. Some servers name no call in answers by
// which they refuse it.
func matches(answer *http.Response, call winch.ExchangeCall) bool {
	named := answer.Header.Get(call.IDHeader)
	return named == call.ID || named == "" && answer.StatusCode >= http.StatusBadRequest
}

// skip reads the answer of another call to its end.
func skip(answer *http.Response) error {
	if answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 {
		return fmt.Errorf("skip answer without a length: %w", winch.ErrCrossed)
	}
	if _, err := io.CopyN(io.Discard, answer.Body, skipBytes); err != io.EOF {
		return fmt.Errorf("skip answer: %w: %w", winch.ErrCrossed, cmp.Or(err, io.ErrShortBuffer))
	}
	return nil
}

// Close closes the connections that are kept.
func (c *Client) Close() {
	c.mu.Lock()
	kept := c.idle
	c.idle = map[string][]*conn{}
	c.mu.Unlock()
	for _, conns := range kept {
		for _, each := range conns {
			each.discard()
		}
	}
}

// pruneEvery is the time between two searches for connections that were kept for long enough.
const pruneEvery = 5 * time.Second

// Run closes kept connections whose time is over, until ctx ends. It returns nil.
func (c *Client) Run(ctx context.Context) error {
	return periodic.Run(ctx, pruneEvery, func(context.Context) { c.prune(time.Now()) })
}

func (c *Client) prune(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, kept := range c.idle {
		live := kept[:0]
		for _, each := range kept {
			if now.After(each.keepUntil) {
				_ = each.plain.Close()
				continue
			}
			live = append(live, each)
		}
		clear(kept[len(live):])
		if c.idle[key] = live; len(live) == 0 {
			delete(c.idle, key)
		}
	}
}
