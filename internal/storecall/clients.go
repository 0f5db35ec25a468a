// Package storecall holds what the clients of key-value stores have in common: one HTTP client for calls and one for watches,
// and the count of the calls by operation and result.
//
// # Usage
//
//	clients, err := storecall.New(storecall.Options{Address: address, Timeout: time.Second, WatchTimeout: time.Minute, Counter: "winch_store_calls", Result: httpjson.ResultOf})
//	if err != nil {
//		return err
//	}
//	err = clients.Count(ctx, "get", clients.Calls.Fetch(ctx, path, &response))
package storecall

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/arbutuswinch/winch/httpjson"
)

// Options configures Clients. All fields but the last three are required.
type Options struct {
	// Address is the IP address and port of the store.
	Address string
	// Timeout bounds each call, and WatchTimeout each watch.
	Timeout      time.Duration
	WatchTimeout time.Duration
	// ResponseLimit is the largest accepted response in bytes.
	ResponseLimit int64
	// Counter and Description are the name and the description of the counter of calls.
	Counter     string
	Description string
	// Result returns the result of a call as a metric label.
	Result func(err error) string
	// Meter records the number of calls. If it is nil, calls are not counted.
	Meter metric.Meter
	// Transport replaces the default HTTP transport.
	Transport http.RoundTripper
	// Observe is that of httpjson.Options.
	Observe func(ctx context.Context, response *http.Response)
}

// Clients are the HTTP clients of a store. They are safe for concurrent use.
type Clients struct {
	Calls   *httpjson.Client
	Watches *httpjson.Client

	counter metric.Int64Counter
	result  func(err error) string
}

// New returns the clients of the store at options.Address.
func New(options Options) (*Clients, error) {
	if options.Meter == nil {
		options.Meter = noop.Meter{}
	}
	counter, err := options.Meter.Int64Counter(options.Counter, metric.WithDescription(options.Description))
	if err != nil {
		return nil, fmt.Errorf("create counter of store calls: %w", err)
	}
	calls, err := newClient(options, options.Timeout)
	if err != nil {
		return nil, err
	}
	watches, err := newClient(options, options.WatchTimeout)
	if err != nil {
		return nil, err
	}
	return &Clients{Calls: calls, Watches: watches, counter: counter, result: options.Result}, nil
}

func newClient(options Options, timeout time.Duration) (*httpjson.Client, error) {
	client, err := httpjson.NewClient(httpjson.Options{
		Address: options.Address, Timeout: timeout, AnswerLimit: options.ResponseLimit, Transport: options.Transport, Observe: options.Observe,
	})
	if err != nil {
		return nil, fmt.Errorf("create store client: %w", err)
	}
	return client, nil
}

// Count counts the call and returns its error unchanged.
func (c *Clients) Count(ctx context.Context, operation string, err error) error {
	c.counter.Add(context.WithoutCancel(ctx), 1, metric.WithAttributes(
		attribute.String("kind", operation), attribute.String("result", c.result(err))))
	return err
}
