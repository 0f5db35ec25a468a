// Package service is the client of plain services.
//
// A call that may not be repeated is sent on a connection of its own, and no call
// is ever repeated by the HTTP transport (see package once).
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
	"github.com/arbutuswinch/winch/serving/internal/once"
)

// Options are the settings of a client. The zero value of a limit stands for its default.
type Options struct {
	// Secret is the credential that services get, never the caller's key.
	Secret string
	// IdleConnections is the most connections that are kept open to one service.
	IdleConnections int
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// unguarded leaves the transport free to repeat calls.
	unguarded bool
}

// Client sends calls to plain services. It is safe for concurrent use.
type Client struct {
	secret    string
	transport *once.Transport
}

// New returns a client.
func New(options Options) *Client {
	return &Client{secret: options.Secret, transport: once.New(once.Options{
		IdleConnections: options.IdleConnections, DialTimeout: options.DialTimeout, Unguarded: options.unguarded,
	})}
}

// Send sends a call to the service. An answer that names another request is ErrCrossed.
func (c *Client) Send(ctx context.Context, endpoint winch.Endpoint, call winch.Call) (*winch.Reply, error) {
	own := http.Header{"X-Request-Id": {string(call.Request)}}
	if c.secret != "" {
		own.Set("Authorization", "Bearer "+c.secret)
	}
	response, err := c.transport.Send(ctx, "http://"+endpoint.Address+call.Path, call, own)
	if err != nil {
		return nil, fmt.Errorf("call service %s: %w", endpoint.ID, err)
	}
	if id := response.Header.Get("X-Request-Id"); id != "" && id != string(call.Request) {
		_ = response.Body.Close()
		return nil, fmt.Errorf("match answer of service %s: %w", endpoint.ID, winch.ErrCrossed)
	}
	return &winch.Reply{Status: response.StatusCode, Header: response.Header, Body: response.Body}, nil
}
