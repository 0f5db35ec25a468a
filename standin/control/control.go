// Package control serves the control API, by which a test injects faults into the
// stand-ins and reads the requests and orders that they recorded.
//
// # Usage
//
//	port := control.New(control.Options{Board: board, Fleet: endpoints, Servers: servers, Collect: collect, SetHosts: set})
//	running, err := server.Start("127.0.0.1:7009", port)
//
// POST /control/faults injects a fault, GET /control/state returns the state, and
// PUT /control/hosts replaces the host list.
package control

import (
	"net/http"
	"time"

	"github.com/arbutuswinch/winch/standin/counts"
	"github.com/arbutuswinch/winch/standin/engine"
	"github.com/arbutuswinch/winch/standin/fault"
	"github.com/arbutuswinch/winch/standin/fleet"
	"github.com/arbutuswinch/winch/standin/hosts"
	"github.com/arbutuswinch/winch/standin/orders"
	"github.com/arbutuswinch/winch/standin/service"
	"github.com/arbutuswinch/winch/standin/usage"
	"github.com/arbutuswinch/winch/standin/wire"
)

// Refuser is a server that can refuse connections.
type Refuser interface {
	Refuse()
	Restore() error
}

// State is what the stand-ins have recorded since they started.
type State struct {
	At         time.Time
	Addresses  map[string]string
	Calls      map[counts.Service]map[counts.Kind]int64
	Executions map[string]service.Executions
	Engines    map[string]engine.Totals
	// Completions is how often each engine accepted each request: engine id, request id, count.
	// An accepted request counts whether it completed or not.
	Completions map[string]map[string]int
	Orders      []orders.Received
	Usage       []usage.Received
	// Secrets are the credentials that requests carried to each engine.
	Secrets   map[string][]string
	Endpoints []fleet.Endpoint
	// EndpointSeconds is the billed time of all endpoints, by supply.
	EndpointSeconds map[fleet.Supply]float64
}

// Options are the components that the control API reads and changes.
type Options struct {
	Board *fault.Board
	Fleet *fleet.Fleet
	// Servers are the servers of the platform services, by fault target.
	Servers map[fault.Target]Refuser
	// Collect returns the state. With repeated set, it lists only the requests that were
	// executed more than once.
	Collect func(now time.Time, repeated bool) State
	// SetHosts replaces the host list; nil when the host list is not started.
	SetHosts func(now time.Time, list []hosts.Host)
}

// Port is the HTTP handler of the control API.
type Port struct {
	options Options
	mux     *http.ServeMux
}

type faultRequest struct {
	Target   string
	Kind     string
	Duration wire.Duration
	Delay    wire.Duration
	Factor   float64
	Count    int
}

type hostsRequest struct{ Hosts []hosts.Host }

// New returns the handler of the control API.
func New(options Options) *Port {
	p := &Port{options: options, mux: http.NewServeMux()}
	p.mux.HandleFunc("POST /control/faults", p.faults)
	p.mux.HandleFunc("GET /control/state", p.state)
	p.mux.HandleFunc("PUT /control/hosts", p.hosts)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Port) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

func (p *Port) state(w http.ResponseWriter, r *http.Request) {
	wire.Write(w, http.StatusOK, p.options.Collect(time.Now(), r.URL.Query().Get("executions") == "repeated"))
}

func (p *Port) hosts(w http.ResponseWriter, r *http.Request) {
	request := hostsRequest{}
	if !wire.Decode(w, r, wire.LargeBody, &request) {
		return
	}
	if p.options.SetHosts == nil {
		wire.WriteError(w, http.StatusNotFound, "not_found", "no host list")
		return
	}
	p.options.SetHosts(time.Now(), request.Hosts)
	wire.Write(w, http.StatusOK, struct{}{})
}

func (p *Port) faults(w http.ResponseWriter, r *http.Request) {
	request := faultRequest{}
	if !wire.Decode(w, r, wire.SmallBody, &request) {
		return
	}
	if !fault.Kind(request.Kind).Known() {
		wire.WriteError(w, http.StatusBadRequest, "invalid", "Kind is unknown")
		return
	}
	if !p.apply(time.Now(), request) { // The target is checked without regard to the kind.
		wire.WriteError(w, http.StatusNotFound, "not_found", "Target is unknown for this Kind")
		return
	}
	wire.Write(w, http.StatusOK, struct{}{})
}
