// Package engine is the client of model engines: it sends completion requests, reads the
// streamed responses and cancels streams that are no longer needed.
//
// Every event is matched to its request by id; an event of another request is reported as
// winch.ErrResponseMismatch. The caller must then close the connection, because its responses can no
// longer be assigned to requests. Events are scanned for the few fields that are needed, and
// never decoded completely.
//
// # Usage
//
//	client := engine.New(engine.Options{Secret: "..."})
//	reply, err := client.Send(ctx, endpoint, call)
//	if err != nil {
//		return err
//	}
//	chunks := client.Chunks(reply, call.Request)
//	defer chunks.Close()
//	chunk, err := chunks.Next()
package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/memory"
	"github.com/arbutuswinch/winch/serving/internal/noretry"
)

const (
	cancelTimeout     = 2 * time.Second
	maxDiscardedBytes = 4 << 10
)

// Options are the settings of a client. Limits that are zero get their defaults.
type Options struct {
	// Secret is the bearer token that is sent to engines. The caller's key is never sent.
	Secret string
	// IdleConnections is the maximum number of idle connections to one engine.
	IdleConnections int
	// DialTimeout is the timeout for opening a connection.
	DialTimeout time.Duration
}

// Client sends completion requests to engines. It is safe for concurrent use.
type Client struct {
	secret    string
	transport *noretry.Transport
	buffers   *sync.Pool
	longLines *memory.Shared
}

// New returns a client.
func New(options Options) *Client {
	return &Client{
		secret:    options.Secret,
		transport: noretry.New(noretry.Options{IdleConnections: options.IdleConnections, DialTimeout: options.DialTimeout}),
		buffers: &sync.Pool{New: func() any {
			buffer := make([]byte, readBufferSize)
			return &buffer
		}},
		longLines: memory.NewShared(longLinesSize),
	}
}

// Send sends a completion request to the engine.
func (c *Client) Send(ctx context.Context, endpoint winch.Endpoint, call winch.Call) (*winch.Reply, error) {
	header := c.credential()
	header.Set("X-Request-Id", string(call.Request))
	header.Set("X-Priority", strconv.Itoa(enginePriority(call.Tier)))
	response, err := c.transport.Send(ctx, "http://"+endpoint.Address+call.Path, call, header)
	if err != nil {
		return nil, fmt.Errorf("call engine %s: %w", endpoint.ID, err)
	}
	return &winch.Reply{
		Status: response.StatusCode, Header: response.Header, Body: response.Body,
		Stream: response.Header.Get("X-Stream-Id"),
	}, nil
}

func (c *Client) credential() http.Header {
	if c.secret == "" {
		return http.Header{}
	}
	return http.Header{"Authorization": {"Bearer " + c.secret}}
}

// enginePriority maps a tier to the engines' priority: tier 1 becomes 0, the most urgent.
func enginePriority(tier winch.Tier) int { return max(0, int(tier)-1) }

// Chunks returns a reader for the events of a streamed reply.
func (c *Client) Chunks(reply *winch.Reply, request winch.RequestID) winch.ChunkReader {
	return newStream(reply.Body, request, c.buffers, c.longLines)
}

// Inspect checks the id of a complete response that was not streamed, and reads its token counts.
func (c *Client) Inspect(body []byte, request winch.RequestID) (winch.Chunk, error) {
	return parseEvent(body, string(request))
}

// Cancel cancels a stream at the engine. A stream that the engine does not know is not an
// error, and neither is any other response with a status below 500.
func (c *Client) Cancel(ctx context.Context, endpoint winch.Endpoint, id string) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	address := "http://" + endpoint.Address + "/v1/streams/" + url.PathEscape(id) + "/cancel"
	call := winch.Call{Method: http.MethodPost, Repeatable: true}
	response, err := c.transport.Send(ctx, address, call, c.credential())
	if err != nil {
		return fmt.Errorf("cancel stream at engine %s: %w", endpoint.ID, err)
	}
	defer response.Body.Close()
	// A body that was read to its end lets the connection be reused.
	_, _ = io.CopyN(io.Discard, response.Body, maxDiscardedBytes)
	if response.StatusCode >= http.StatusInternalServerError {
		return fmt.Errorf("cancel stream at engine %s: status %d: %w", endpoint.ID, response.StatusCode, winch.ErrUnavailable)
	}
	return nil
}
