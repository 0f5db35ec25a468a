// Package control is the port on which a test sets faults and reads what the
// stand-ins saw.
//
// # Usage
//
//	port := control.New(control.Options{Board: board, Fleet: endpoints, Servers: servers, Collect: collect, SetHosts: set})
//	running, err := server.Start("127.0.0.1:7009", port)
//
// POST /control/faults sets a fault, GET /control/state returns the state, and
// PUT /control/hosts changes the host list.
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

// State is what the stand-ins saw.
type State struct {
	At         time.Time
	Addresses  map[string]string
	Calls      map[counts.Service]map[counts.Kind]int64
	Executions map[string]service.Executions
	Engines    map[string]engine.Totals
	// Completions counts the requests that each engine accepted, by request id.
	Completions     map[string]map[string]int
	Orders          []orders.Received
	Usage           []usage.Received
	Secrets         map[string][]string
	Endpoints       []fleet.Endpoint
	EndpointSeconds map[fleet.Supply]float64
}

// Options are the parts that the port acts on.
type Options struct {
	Board *fault.Board
	Fleet *fleet.Fleet
	// Servers are the platform services and static endpoints by fault target.
	Servers map[fault.Target]Refuser
	// Collect returns the state; with repeated set, only requests executed more than once are listed.
	Collect func(now time.Time, repeated bool) State
	// SetHosts changes the host list; nil when there is none.
	SetHosts func(now time.Time, list []hosts.Host)
}

// Port answers the control calls.
type Port struct {
	options Options
	mux     *http.ServeMux
}

type faultCall struct {
	Target   string
	Kind     string
	Duration wire.Duration
	Delay    wire.Duration
	Factor   float64
	Count    int
}

type hostsCall struct{ Hosts []hosts.Host }

// New returns the port.
func New(options Options) *Port {
	p := &Port{options: options, mux: http.NewServeMux()}
	p.mux.HandleFunc("POST /control/faults", p.faults)
	p.mux.HandleFunc("GET /control/state", p.state)
	p.mux.HandleFunc("PUT /control/hosts", p.hosts)
	return p
}

// ServeHTTP answers a call.
func (p *Port) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

func (p *Port) state(w http.ResponseWriter, r *http.Request) {
	wire.Write(w, http.StatusOK, p.options.Collect(time.Now(), r.URL.Query().Get("executions") == "repeated"))
}

func (p *Port) hosts(w http.ResponseWriter, r *http.Request) {
	call := hostsCall{}
	if !wire.Decode(w, r, wire.LargeBody, &call) {
		return
	}
	if p.options.SetHosts == nil {
		wire.WriteError(w, http.StatusNotFound, "not_found", "no host list")
		return
	}
	p.options.SetHosts(time.Now(), call.Hosts)
	wire.Write(w, http.StatusOK, struct{}{})
}

func (p *Port) faults(w http.ResponseWriter, r *http.Request) {
	call := faultCall{}
	if !wire.Decode(w, r, wire.SmallBody, &call) {
		return
	}
	if !fault.Kind(call.Kind).Known() {
		wire.WriteError(w, http.StatusBadRequest, "invalid", "Kind is unknown")
		return
	}
	if !p.apply(time.Now(), call) {
		wire.WriteError(w, http.StatusNotFound, "not_found", "Target is unknown for this Kind")
		return
	}
	wire.Write(w, http.StatusOK, struct{}{})
}
