// Package engine is the client of model engines: it sends completions to them,
// reads their streams and cancels streams that nobody waits for.
//
// Every event is matched to its request by id; an event of another request is
// reported as winch.ErrCrossed and the connection is given up. Events are scanned
// for the few fields that matter, and never decoded as a whole.
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
	"github.com/arbutuswinch/winch/serving/internal/once"
)

const (
	cancelLimit  = 2 * time.Second
	drainedBytes = 4 << 10
)

// Options are the settings of a client. The zero value of a limit stands for its default.
type Options struct {
	// Secret is the credential that engines get, never the caller's key.
	Secret string
	// IdleConnections is the most connections that are kept open to one engine.
	IdleConnections int
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
}

// Client sends calls to engines. It is safe for concurrent use.
type Client struct {
	secret    string
	transport *once.Transport
	buffers   *sync.Pool
}

// New returns a client.
func New(options Options) *Client {
	return &Client{
		secret:    options.Secret,
		transport: once.New(once.Options{IdleConnections: options.IdleConnections, DialTimeout: options.DialTimeout}),
		buffers: &sync.Pool{New: func() any {
			block := make([]byte, readSize)
			return &block
		}},
	}
}

// Send sends a completion to the engine.
func (c *Client) Send(ctx context.Context, endpoint winch.Endpoint, call winch.Call) (*winch.Reply, error) {
	own := c.credential()
	own.Set("X-Request-Id", string(call.Request))
	own.Set("X-Priority", strconv.Itoa(priority(call.Tier)))
	response, err := c.transport.Send(ctx, "http://"+endpoint.Address+call.Path, call, own)
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

// priority maps tier 1 to the most urgent priority, 0.
func priority(tier winch.Tier) int { return max(0, int(tier)-1) }

// Chunks reads the reply as a stream of events.
func (c *Client) Chunks(reply *winch.Reply, request winch.RequestID) winch.ChunkReader {
	return newStream(reply.Body, request, c.buffers)
}

// Inspect reads the id and the counts of a whole answer.
func (c *Client) Inspect(body []byte, request winch.RequestID) (winch.Chunk, error) {
	return parse(body, string(request))
}

// Cancel ends a stream at the engine. A stream that is unknown there is no error.
func (c *Client) Cancel(ctx context.Context, endpoint winch.Endpoint, id string) error {
	ctx, stop := context.WithTimeout(ctx, cancelLimit)
	defer stop()
	address := "http://" + endpoint.Address + "/v1/streams/" + url.PathEscape(id) + "/cancel"
	call := winch.Call{Method: http.MethodPost, Repeatable: true}
	response, err := c.transport.Send(ctx, address, call, c.credential())
	if err != nil {
		return fmt.Errorf("cancel stream at engine %s: %w", endpoint.ID, err)
	}
	defer response.Body.Close()
	_, _ = io.CopyN(io.Discard, response.Body, drainedBytes)
	if response.StatusCode >= http.StatusInternalServerError {
		return fmt.Errorf("cancel stream at engine %s: status %d: %w", endpoint.ID, response.StatusCode, winch.ErrUnavailable)
	}
	return nil
}
