// Package platform is the client of the platform's key-value service, with the protocol that
// arbutuswinch defines (/v1/get and so on). Package platform/store is the client of the
// metadata store of the users' platform, which has another protocol.
//
// Each call is counted by operation and result, because the service limits the call rate
// and its capacity does not grow with the number of hosts. The client never retries a call;
// callers decide, since a write without a response may have taken effect.
//
// # Usage
//
//	store, err := platform.New(platform.Options{Address: "127.0.0.1:7000", Timeout: time.Second})
//	if err != nil {
//		return err
//	}
//	entry, err := store.Get(ctx, "notes/head")
//
// A put or delete that returns winch.ErrOutcomeUnknown may have taken effect. Package
// keyvalue finds out by reading the written entry back.
package platform

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/metric"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/httpjson"
	"github.com/arbutuswinch/winch/internal/storecall"
)

const (
	defaultTimeout = 2 * time.Second
	// watchMargin is the time that the response to a watch may take beyond the wait.
	watchMargin = 2 * time.Second
	// maxWatchWait bounds the wait of one watch call. The HTTP client for watches has a fixed
	// timeout of this wait plus watchMargin.
	maxWatchWait = 5 * time.Minute
	// maxResponseBytes is the largest accepted response; a list contains many values.
	maxResponseBytes = 64 << 20
)

// Options configures a Client.
type Options struct {
	// Address is the IP address and port of the service.
	Address string
	// Timeout bounds each call except watches. A watch may take its wait plus Timeout, or plus
	// 2 s if Timeout is shorter, but at most 5 min 2 s. The default is 2 s.
	Timeout time.Duration
	// Meter records the number of calls. If it is nil, calls are not counted.
	Meter metric.Meter
	// Transport replaces the default HTTP transport.
	Transport http.RoundTripper
}

// Client implements winch.KeyValue. It is safe for concurrent use.
type Client struct {
	timeout time.Duration
	clients *storecall.Clients
}

var _ winch.KeyValue = (*Client)(nil)

// New returns a client for the service at options.Address.
func New(options Options) (*Client, error) {
	timeout := cmp.Or(options.Timeout, defaultTimeout)
	clients, err := storecall.New(storecall.Options{
		Address: options.Address, Timeout: timeout, WatchTimeout: maxWatchWait + watchMargin,
		ResponseLimit: maxResponseBytes, Counter: "winch_keyvalue_calls", Description: "Calls to the platform's key-value service by kind and result.",
		Result: httpjson.ResultOf, Meter: options.Meter, Transport: options.Transport,
	})
	if err != nil {
		return nil, err
	}
	return &Client{timeout: timeout, clients: clients}, nil
}

// Get returns the entry of the key, or an error that matches winch.ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (winch.Entry, error) {
	response := getResponse{}
	err := c.clients.Count(ctx, "get", c.readError(c.clients.Calls.Call(ctx, "/v1/get", getRequest{Key: key}, &response)))
	if err != nil {
		return winch.Entry{}, fmt.Errorf("get %s: %w", key, err)
	}
	if !response.Found || response.Entry == nil {
		return winch.Entry{}, fmt.Errorf("get %s: %w", key, winch.ErrNotFound)
	}
	return decodeEntry(*response.Entry), nil
}

// List returns the entries whose keys have the prefix, and the version of the last change of
// the service when they were read. A watch from that version misses no later change.
func (c *Client) List(ctx context.Context, prefix string) ([]winch.Entry, winch.Version, error) {
	response := listResponse{}
	err := c.clients.Count(ctx, "list", c.readError(c.clients.Calls.Call(ctx, "/v1/list", listRequest{Prefix: prefix}, &response)))
	if err != nil {
		return nil, 0, fmt.Errorf("list %s: %w", prefix, err)
	}
	return decodeEntries(response.Entries), winch.Version(response.Revision), nil
}

// Put writes the value if the entry has the expected version.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect winch.Version) (winch.Version, error) {
	response := putResponse{}
	err := c.clients.Count(ctx, "put", c.clients.Calls.Call(ctx, "/v1/put", putRequest{Key: key, Value: value, Expect: int64(expect)}, &response))
	if err != nil {
		return 0, fmt.Errorf("put %s: %w", key, err)
	}
	return winch.Version(response.Version), nil
}

// Delete removes the entry if it has the expected version.
func (c *Client) Delete(ctx context.Context, key string, expect winch.Version) error {
	err := c.clients.Count(ctx, "delete", c.clients.Calls.Call(ctx, "/v1/delete", deleteRequest{Key: key, Expect: int64(expect)}, nil))
	if err != nil {
		return fmt.Errorf("delete %s: %w", key, err)
	}
	return nil
}

// Watch waits for changes of keys with the prefix. An error that matches ErrCompacted means
// that the changes after the version are no longer available: list the entries and watch from
// the version that List returns.
func (c *Client) Watch(ctx context.Context, prefix string, after winch.Version, wait time.Duration) ([]winch.Entry, winch.Version, error) {
	wait = min(wait, maxWatchWait)
	ctx, cancel := context.WithTimeout(ctx, wait+max(watchMargin, c.timeout))
	defer cancel()
	response := listResponse{}
	request := watchRequest{Prefix: prefix, After: int64(after), Wait: wait.String()}
	err := c.clients.Count(ctx, "watch", c.readError(c.clients.Watches.Call(ctx, "/v1/watch", request, &response)))
	if err != nil {
		return nil, 0, fmt.Errorf("watch %s: %w", prefix, err)
	}
	return decodeEntries(response.Entries), winch.Version(response.Revision), nil
}

// ErrCompacted is returned by a watch whose starting version is older than the history that the
// service keeps.
var ErrCompacted = errors.New("changes after the version are no longer kept")

// readError converts the error of a call that only reads. Status 410 becomes ErrCompacted;
// winch.ErrOutcomeUnknown becomes winch.ErrUnavailable, because a read has no effect.
func (c *Client) readError(err error) error {
	if statusErr, found := httpjson.StatusOf(err); found && statusErr.Status == http.StatusGone {
		return fmt.Errorf("%w: %w", ErrCompacted, err)
	}
	return httpjson.WithoutEffect(err)
}
