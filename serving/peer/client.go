// Package peer forwards requests to hosts of other data centres.
//
// The receiving host runs the request only on endpoints of its own data centre. It reports the
// run state in the header X-Run-State, which the user of this package reads and trusts: a
// request that was not run may be run elsewhere.
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
	"github.com/arbutuswinch/winch/serving/internal/noretry"
)

// Prefix is the path prefix of requests that one host forwards to another.
const Prefix = "/peer/serve"

// SoftwareHeader names the software version that began a response: in a request, if a part of the response was delivered, and in the
// response.
const SoftwareHeader = "X-Endpoint-Software"

// Options are the settings of a client. Limits that are zero get their defaults.
type Options struct {
	// Secret is the bearer token that all hosts share.
	Secret string
	// IdleConnections is the maximum number of idle connections to one peer.
	IdleConnections int
	// DialTimeout is the timeout for opening a connection.
	DialTimeout time.Duration
}

// Client forwards requests to peers. It is safe for concurrent use.
type Client struct {
	secret    string
	transport *noretry.Transport
}

// New returns a client.
func New(options Options) *Client {
	return &Client{secret: options.Secret, transport: noretry.New(noretry.Options{
		IdleConnections: options.IdleConnections, DialTimeout: options.DialTimeout,
	})}
}

// Send forwards the request to the host at the endpoint's address. It returns winch.ErrResponseMismatch
// if the response names another request.
func (c *Client) Send(ctx context.Context, endpoint winch.Endpoint, call winch.Call) (*winch.Reply, error) {
	address := "http://" + endpoint.Address + Prefix + callerPath(call)
	response, err := c.transport.Send(ctx, address, call, c.headers(ctx, call))
	if err != nil {
		return nil, fmt.Errorf("forward to peer %s: %w", endpoint.Address, err)
	}
	if id := response.Header.Get("X-Request-Id"); id != "" && id != string(call.Request) {
		_ = response.Body.Close()
		return nil, fmt.Errorf("match answer of peer %s: %w", endpoint.Address, winch.ErrResponseMismatch)
	}
	return &winch.Reply{
		Status: response.StatusCode, Header: response.Header, Body: response.Body, Software: winch.SoftwareVersion(response.Header.Get(SoftwareHeader)),
	}, nil
}

// callerPath returns the path that the caller used. For plain services, which have a Route,
// call.Path lacks the prefix /services/ROUTE.
func callerPath(call winch.Call) string {
	if call.Route == "" {
		return call.Path
	}
	return "/services/" + string(call.Route) + call.Path
}

func (c *Client) headers(ctx context.Context, call winch.Call) http.Header {
	header := http.Header{}
	header.Set("Authorization", "Bearer "+c.secret)
	header.Set("X-Request-Id", string(call.Request))
	header.Set("X-Organisation", string(call.Organisation))
	header.Set("X-Request-Class", string(call.Class))
	if call.Software != "" {
		header.Set(SoftwareHeader, string(call.Software))
	}
	if deadline, found := ctx.Deadline(); found {
		remaining := max(time.Until(deadline), time.Millisecond)
		header.Set("X-Request-Timeout", strconv.FormatInt(remaining.Milliseconds(), 10)+"ms")
	}
	return header
}
