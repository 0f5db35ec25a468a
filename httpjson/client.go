// Package httpjson implements JSON over HTTP between the system's processes and with
// the platform: a client whose errors state whether a failed call may have taken
// effect, and helpers for handlers.
//
// # Usage
//
//	client, err := httpjson.NewClient(httpjson.Options{Address: "127.0.0.1:7000", Timeout: time.Second})
//	if err != nil {
//		return err
//	}
//	var response listResponse
//	err = client.Call(ctx, "/v1/list", listCall{Prefix: "notes/"}, &response)
//
// Errors match the sentinel errors of package winch. ErrUnavailable, ErrRateLimited,
// ErrConflict, ErrFenced, ErrNotFound, ErrUnauthorized and ErrInvalid mean that the
// call had no effect; ErrOutcomeUnknown means that it may have had one.
package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/http1"
	"github.com/arbutuswinch/winch/internal/memory"
)

const (
	defaultTimeout     = 2 * time.Second
	dialTimeout        = time.Second
	defaultAnswerLimit = 8 << 20
	// maxHeadBytes bounds the head of a response, in bytes.
	maxHeadBytes = 64 << 10
)

// Options configures a client. Zero values of Timeout, AnswerLimit and Transport are replaced by
// their defaults.
type Options struct {
	// Address is the IP address and port of the server.
	Address string
	// Secret is sent as bearer token if it is not empty.
	Secret string
	// Timeout limits a call whose context has no earlier deadline.
	Timeout time.Duration
	// AnswerLimit is the maximum size of a response body in bytes.
	AnswerLimit int64
	// Memory is what the calls of several clients share for response bodies while they are read. The default is that of
	// one response for each call.
	Memory *memory.Shared
	// Header holds additional headers that are sent with each call.
	Header http.Header
	// Transport replaces the default transport.
	Transport http.RoundTripper
	// Observe, if not nil, is called with each response, error responses too, before its body is read. The context is that of the call.
	Observe func(ctx context.Context, response *http.Response)
	// Compactor compresses the bodies. The server's handler must use the same dictionary.
	Compactor *Compactor
}

// Client calls one server. It is safe for concurrent use.
type Client struct {
	options Options
	http    *khttp.Client
}

// Error is an error response of the server. It matches the sentinel error of its status.
type Error struct {
	Status  int
	Code    string
	Message string
	// Body is the response body as received.
	Body []byte
	// RetryAfter is zero when the response has no Retry-After header with a number of seconds.
	RetryAfter time.Duration
	sentinel   error
}

// Error returns the code, the message and the status.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s (status %d)", e.Code, e.Message, e.Status) }

// Unwrap returns the sentinel error of the status.
func (e *Error) Unwrap() error { return e.sentinel }

// NewTransport returns a transport for calls to IP addresses, without proxies.
func NewTransport() *http.Transport { return newTransport("") }

func newTransport(source string) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}
	if source != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(source)}
	}
	return &http.Transport{
		DialContext:         http1.Dial(dialer.DialContext),
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// NewClient returns a client for the server at options.Address.
func NewClient(options Options) (*Client, error) {
	if options.Timeout == 0 {
		options.Timeout = defaultTimeout
	}
	if options.AnswerLimit == 0 {
		options.AnswerLimit = defaultAnswerLimit
	}
	if options.Transport == nil {
		options.Transport = NewTransport()
	}
	client, err := khttp.NewClient(context.Background(),
		khttp.WithEndpoint(options.Address),
		khttp.WithTransport(unredirected{options.Transport}),
		khttp.WithTimeout(0),
		// Do decodes error responses itself (see statusError).
		khttp.WithErrorDecoder(func(context.Context, *http.Response) error { return nil }),
	)
	if err != nil {
		return nil, fmt.Errorf("create client for %s: %w", options.Address, err)
	}
	return &Client{options: options, http: client}, nil
}

// Call posts in as JSON to the path and decodes the response into out, unless out is nil.
func (c *Client) Call(ctx context.Context, path string, in, out any) error {
	return c.Do(ctx, http.MethodPost, path, in, out)
}

// Fetch sends a GET request for the path and decodes the response into out.
func (c *Client) Fetch(ctx context.Context, path string, out any) error {
	return c.Do(ctx, http.MethodGet, path, nil, out)
}

// Do sends a call with the method and decodes the response into out. Both in and out may be nil.
func (c *Client) Do(ctx context.Context, method, path string, in, out any) error {
	return c.do(ctx, method, path, in, out, func(*http.Response) {})
}

// do sends a call. It calls observe with the response before it reads the body.
func (c *Client) do(ctx context.Context, method, path string, in, out any, observe func(*http.Response)) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	request, connected, err := c.request(ctx, method, path, in)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return sendError(method, path, connected.Load(), err)
	}
	defer response.Body.Close()
	if c.options.Observe != nil {
		c.options.Observe(ctx, response)
	}
	observe(response)
	return c.readResponse(response, method, path, out)
}

// request builds the HTTP request. It has no GetBody, so that the transport does not retry a call
// that has a body. The transport may retry a call without a body whose method is idempotent, such
// as Fetch. The returned flag is set once the request got a connection, and may therefore have
// been sent.
func (c *Client) request(ctx context.Context, method, path string, in any) (*http.Request, *atomic.Bool, error) {
	var body io.Reader
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return nil, nil, fmt.Errorf("encode call of %s: %w", path, err)
		}
		if encoded, err = c.compress(encoded); err != nil {
			return nil, nil, fmt.Errorf("encode call of %s: %w", path, err)
		}
		body = bytes.NewReader(encoded)
	}
	connected := &atomic.Bool{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, "http://"+c.options.Address+path, body)
	if err != nil {
		return nil, nil, fmt.Errorf("build call of %s: %w", path, err)
	}
	request.GetBody = nil
	c.setHeaders(request, in != nil)
	for name, values := range c.options.Header {
		request.Header[name] = values
	}
	if c.options.Secret != "" {
		request.Header.Set("Authorization", "Bearer "+c.options.Secret)
	}
	return request, connected, nil
}

func (c *Client) compress(encoded []byte) ([]byte, error) {
	if c.options.Compactor == nil {
		return encoded, nil
	}
	return c.options.Compactor.compress(encoded)
}

// setHeaders sets only the headers that the server needs: with several calls per
// second to each peer, headers are a large part of the traffic.
func (c *Client) setHeaders(request *http.Request, body bool) {
	// An empty value keeps net/http from sending its own.
	request.Header.Set("User-Agent", "")
	switch {
	case !body:
	case c.options.Compactor != nil:
		request.Header.Set("Content-Encoding", compactEncoding)
	default:
		request.Header.Set("Content-Type", "application/json")
	}
}

func (c *Client) readResponse(response *http.Response, method, path string, out any) error {
	var content io.Reader = response.Body
	if c.options.Compactor != nil && response.Header.Get("Content-Encoding") == compactEncoding {
		reader := c.options.Compactor.reader(response.Body)
		defer reader.Close()
		content = reader
	}
	body, err := c.memory().ReadAll(content, c.options.AnswerLimit)
	if err != nil {
		return fmt.Errorf("read response of %s: %w: %w", path, winch.ErrOutcomeUnknown, err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s %s: %w", method, path, statusError(response, body))
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("decode response of %s: %w: %w", path, winch.ErrOutcomeUnknown, err)
	}
	return nil
}

func (c *Client) memory() *memory.Shared {
	if c.options.Memory != nil {
		return c.options.Memory
	}
	return memory.NewShared(c.options.AnswerLimit + 1)
}

func sendError(method, path string, connected bool, err error) error {
	if connected {
		return fmt.Errorf("%s %s: %w: %w", method, path, winch.ErrOutcomeUnknown, err)
	}
	return fmt.Errorf("%s %s: %w: %w", method, path, winch.ErrUnavailable, err)
}

func statusError(response *http.Response, body []byte) *Error {
	decoded := errorResponse{}
	if err := json.Unmarshal(body, &decoded); err != nil || decoded.Code == "" {
		decoded = errorResponse{Code: "status", Message: http.StatusText(response.StatusCode)}
	}
	// Only a number of seconds is supported; a date is ignored.
	retryAfter, _ := time.ParseDuration(response.Header.Get("Retry-After") + "s")
	return &Error{
		Status: response.StatusCode, Code: decoded.Code, Message: decoded.Message,
		Body: body, RetryAfter: retryAfter, sentinel: sentinelOf(response.StatusCode),
	}
}

func sentinelOf(status int) error {
	switch status {
	case http.StatusNotFound:
		return winch.ErrNotFound
	case http.StatusConflict:
		return winch.ErrConflict
	case http.StatusPreconditionFailed:
		return winch.ErrFenced
	case http.StatusTooManyRequests:
		return winch.ErrRateLimited
	case http.StatusServiceUnavailable:
		return winch.ErrUnavailable
	case http.StatusUnauthorized, http.StatusForbidden:
		return winch.ErrUnauthorized
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return winch.ErrInvalid
	}
	return winch.ErrOutcomeUnknown
}

// StatusOf returns the server's error response that err wraps, if there is one.
func StatusOf(err error) (*Error, bool) {
	var response *Error
	found := errors.As(err, &response)
	return response, found
}
