// Package control is a client for the stand-ins' control port.
//
// # Usage
//
//	client := control.New("127.0.0.1:7009")
//	before, err := client.State(ctx)
//	err = client.Fault(ctx, control.Fault{Target: "engine/a1", Kind: "crash", Duration: experiment.Duration(time.Second)})
package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/arbutuswinch/winch/winchload/experiment"
)

const callTimeout = 20 * time.Second

// Fault is a fault to inject.
type Fault struct {
	Target   string
	Kind     string
	Duration experiment.Duration
	Delay    experiment.Duration
	Factor   float64
	Count    int
}

// Host is an entry of the platform's host list.
type Host struct {
	ID          string
	DataCentre  string
	PeerAddress string
	State       string
}

// State is the part of the stand-ins' state that the load tool uses.
type State struct {
	// Addresses holds the listen addresses of the stand-ins, by name.
	Addresses map[string]string
	// Calls counts the calls to the platform, by service and kind of call.
	Calls map[string]map[string]int64
	// Executions holds the counts of each plain service, Engines those of each engine, by id.
	Executions map[string]Executions
	Engines    map[string]Engine
	// Completions counts, by engine and request id, the chat completion requests that the engine
	// accepted, whether or not they completed.
	Completions map[string]map[string]int
	Endpoints   []Endpoint
	// EndpointSeconds is the paid running time of endpoints in seconds, by supply ("Steady" or
	// "Cheap").
	EndpointSeconds map[string]float64
	Usage           []UsageReport
	Orders          []Order
}

// Executions counts the calls that a plain service executed.
type Executions struct {
	Total     int64
	ByRequest map[string]int
	ByKey     map[string]int
}

// Engine holds the counters of an engine. PrefillTokens are prompt tokens that it computed,
// CachedTokens those that it found in its cache. The other counters without Tokens in their
// name count requests.
type Engine struct {
	Requests      int64
	Completed     int64
	Cancelled     int64
	Overloaded    int64
	Preempted     int64
	OutputTokens  int64
	PrefillTokens int64
	CachedTokens  int64
}

// Endpoint is an endpoint of the platform.
type Endpoint struct {
	ID         string
	DataCentre string
	Address    string
	Model      string
	Supply     string
	State      string
	Kind       string
}

// UsageReport is a usage report that the platform received.
type UsageReport struct {
	At time.Time
	// Verdict is "billed" for the first report of a window and shard. For a later one it is
	// "repeated" if the figures are the same and "differs" otherwise.
	Verdict string
	Report  struct {
		Window  time.Time
		Figures []struct {
			Organisation string
			Requests     int64
			InputTokens  int64
			OutputTokens int64
			Adjustment   bool
		}
	}
}

// Order is a call to a data centre's order interface, which sets the number of endpoints in pools.
type Order struct {
	At         time.Time
	DataCentre string
	// Verdict is "done", "repeated" or "fenced".
	Verdict string
}

// Client is a client for one control port.
type Client struct {
	address string
	http    *http.Client
}

// New returns a client for the control port at the address.
func New(address string) *Client {
	return &Client{address: address, http: &http.Client{Timeout: callTimeout}}
}

// State returns the state of the stand-ins.
func (c *Client) State(ctx context.Context) (State, error) {
	state := State{}
	err := c.do(ctx, http.MethodGet, "/control/state", nil, &state)
	return state, err
}

// BriefState returns the state in which Executions lists only requests and keys that were executed
// more than once, which keeps the answer small enough to read during a run.
func (c *Client) BriefState(ctx context.Context) (State, error) {
	state := State{}
	err := c.do(ctx, http.MethodGet, "/control/state?executions=repeated", nil, &state)
	return state, err
}

// Fault injects a fault.
func (c *Client) Fault(ctx context.Context, fault Fault) error {
	return c.do(ctx, http.MethodPost, "/control/faults", fault, nil)
}

// SetHosts replaces the platform's host list.
func (c *Client) SetHosts(ctx context.Context, hosts []Host) error {
	return c.do(ctx, http.MethodPut, "/control/hosts", struct{ Hosts []Host }{hosts}, nil)
}

func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode control request: %w", err)
	}
	call, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("create control request: %w", err)
	}
	response, err := c.http.Do(call)
	if err != nil {
		return fmt.Errorf("call control port: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return fmt.Errorf("call control port %s: status %d: %s", path, response.StatusCode, text)
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(response.Body).Decode(out); err != nil {
		return fmt.Errorf("decode control response: %w", err)
	}
	return nil
}
