// Package target chooses where a request is sent: to the router's hosts as a
// balancer would, or straight to the endpoints.
//
// # Usage
//
//	picker := target.NewBalancer([]string{"127.0.0.1:8001", "127.0.0.1:8002"})
//	picker, err := target.NewEndpoints(loaded, state)
package target

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/arbutuswinch/winch/winchload/caller"
	"github.com/arbutuswinch/winch/winchload/control"
	"github.com/arbutuswinch/winch/winchload/experiment"
)

// Balancer gives requests to the router's hosts in turn.
type Balancer struct {
	addresses []string
	next      atomic.Uint64
}

// NewBalancer returns a balancer over the hosts' caller ports.
func NewBalancer(addresses []string) *Balancer { return &Balancer{addresses: addresses} }

// Pick returns the next host.
func (b *Balancer) Pick(request experiment.Request, _ int) (caller.Target, bool) {
	if len(b.addresses) == 0 {
		return caller.Target{}, false
	}
	at := b.next.Add(1) % uint64(len(b.addresses))
	return caller.Target{Address: b.addresses[at], Path: "/services/" + request.Class.Route}, true
}

// Endpoints gives requests to the endpoint with the fewest of the tool's own open ones.
type Endpoints struct {
	mu     sync.Mutex
	groups map[string][]*endpoint
}

type endpoint struct {
	address string
	open    int
}

// NewEndpoints returns a picker over the endpoints that the stand-ins run.
func NewEndpoints(loaded experiment.Experiment, state control.State) (*Endpoints, error) {
	picker := &Endpoints{groups: map[string][]*endpoint{}}
	for _, running := range state.Endpoints {
		if running.State != "ready" {
			continue
		}
		name := "model/" + running.Model
		if running.Kind == "service" {
			name = "route/" + loaded.RouteOf(running.ID)
		}
		picker.groups[name] = append(picker.groups[name], &endpoint{address: running.Address})
	}
	for _, class := range loaded.Classes {
		if len(picker.groups[groupOf(&class)]) == 0 {
			return nil, fmt.Errorf("no endpoint for class %s", class.ID)
		}
	}
	return picker, nil
}

func groupOf(class *experiment.Class) string {
	if class.Route != "" {
		return "route/" + class.Route
	}
	return "model/" + class.Model
}

// Pick returns the least used endpoint.
func (e *Endpoints) Pick(request experiment.Request, _ int) (caller.Target, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var chosen *endpoint
	for _, candidate := range e.groups[groupOf(request.Class)] {
		if chosen == nil || candidate.open < chosen.open {
			chosen = candidate
		}
	}
	if chosen == nil {
		return caller.Target{}, false
	}
	chosen.open++
	return caller.Target{Address: chosen.address, Done: func() { e.release(chosen) }}, true
}

func (e *Endpoints) release(used *endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	used.open--
}
