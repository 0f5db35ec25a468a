// Package service is the HTTP client of plain services, the endpoints that are not model
// engines.
//
// A call that may not be repeated is sent on a new connection, and the HTTP transport retries
// no call (see package noretry).
//
// # Usage
//
//	client := service.New(service.Options{Secret: "..."})
//	reply, err := client.Send(ctx, endpoint, call)
//	if errors.Is(err, winch.ErrUnavailable) {
//		// No byte reached the service.
//	}
package service

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/internal/noretry"
)

// Options are the settings of a client. Limits that are zero get their defaults.
type Options struct {
	// Secret is the bearer token that is sent to services. The caller's key is never sent.
	Secret string
	// IdleConnections is the maximum number of idle connections to one service.
	IdleConnections int
	// DialTimeout is the timeout for opening a connection.
	DialTimeout time.Duration
	// allowRetries lets net/http retry calls, for tests.
	allowRetries bool
}

// Client sends calls to plain services. It is safe for concurrent use.
type Client struct {
	secret    string
	transport *noretry.Transport
}

// New returns a client.
func New(options Options) *Client {
	return &Client{secret: options.Secret, transport: noretry.New(noretry.Options{
		IdleConnections: options.IdleConnections, DialTimeout: options.DialTimeout, AllowRetries: options.allowRetries,
	})}
}

// Send sends a call to the service. It returns winch.ErrResponseMismatch if the response names another
// request.
func (c *Client) Send(ctx context.Context, endpoint winch.Endpoint, call winch.Call) (*winch.Reply, error) {
	header := http.Header{"X-Request-Id": {string(call.Request)}}
	if c.secret != "" {
		header.Set("Authorization", "Bearer "+c.secret)
	}
	response, err := c.transport.Send(ctx, "http://"+endpoint.Address+call.Path, call, header)
	if err != nil {
		return nil, fmt.Errorf("call service %s: %w", endpoint.ID, err)
	}
	return &winch.Reply{Status: response.StatusCode, Header: response.Header, Body: response.Body}, nil
}
