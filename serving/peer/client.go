// Package peer hands requests over to entry hosts of other data centres.
//
// The receiving host runs the request on endpoints of its own data centre only.
// What it says of the request's state is believed: a request that it did not run
// may be run elsewhere.
//
// # Usage
//
//	client := peer.New(peer.Options{Secret: "..."})
//	reply, err := client.Send(ctx, endpoint, call)
package peer

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/internal/once"
)

// Prefix is the path below which a peer takes requests.
const Prefix = "/peer/serve"

// Options are the settings of a client. The zero value of a limit stands for its default.
type Options struct {
	// Secret is the secret that the hosts share.
	Secret string
	// IdleConnections is the most connections that are kept open to one peer.
	IdleConnections int
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
}

// Client hands requests over. It is safe for concurrent use.
type Client struct {
	secret    string
	transport *once.Transport
}

// New returns a client.
func New(options Options) *Client {
	return &Client{secret: options.Secret, transport: once.New(once.Options{
		IdleConnections: options.IdleConnections, DialTimeout: options.DialTimeout,
	})}
}

// Send hands the request over to the host at the endpoint's address.
func (c *Client) Send(ctx context.Context, endpoint winch.Endpoint, call winch.Call) (*winch.Reply, error) {
	address := "http://" + endpoint.Address + Prefix + path(call)
	response, err := c.transport.Send(ctx, address, call, c.headers(ctx, call))
	if err != nil {
		return nil, fmt.Errorf("hand over to %s: %w", endpoint.Address, err)
	}
	if id := response.Header.Get("X-Request-Id"); id != "" && id != string(call.Request) {
		_ = response.Body.Close()
		return nil, fmt.Errorf("match answer of peer %s: %w", endpoint.Address, winch.ErrCrossed)
	}
	return &winch.Reply{Status: response.StatusCode, Header: response.Header, Body: response.Body}, nil
}

// path is the caller's own path.
func path(call winch.Call) string {
	if call.Route == "" {
		return call.Path
	}
	return "/services/" + string(call.Route) + call.Path
}

func (c *Client) headers(ctx context.Context, call winch.Call) http.Header {
	own := http.Header{}
	own.Set("Authorization", "Bearer "+c.secret)
	own.Set("X-Request-Id", string(call.Request))
	own.Set("X-Organisation", string(call.Organisation))
	own.Set("X-Request-Class", string(call.Class))
	if deadline, found := ctx.Deadline(); found {
		left := max(time.Until(deadline), time.Millisecond)
		own.Set("X-Request-Timeout", strconv.FormatInt(left.Milliseconds(), 10)+"ms")
	}
	return own
}
