// Package target chooses the address to which a request is sent: one of the router's
// hosts, as a load balancer does, or directly one of the endpoints.
//
// # Usage
//
//	picker := target.NewBalancer([]target.Host{{Address: "127.0.0.1:8001", Health: "127.0.0.1:8003"}})
//	go picker.Watch(ctx)
//
// or, without hosts:
//
//	picker, err := target.NewEndpoints(exp, state)
package target

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutuswinch/winch/winchload/caller"
	"github.com/arbutuswinch/winch/winchload/control"
	"github.com/arbutuswinch/winch/winchload/experiment"
)

const (
	healthInterval = 50 * time.Millisecond
	healthTimeout  = time.Second
)

// Host is an entry host behind a balancer.
type Host struct {
	// Address is the address of the caller port.
	Address string
	// Health is the address for readiness checks; empty disables them.
	Health string
}

// Balancer distributes requests round-robin over the router's hosts that are ready.
type Balancer struct {
	hosts   []Host
	unready []atomic.Bool
	next    atomic.Uint64
}

// NewBalancer returns a balancer that treats all hosts as ready until Watch finds otherwise.
func NewBalancer(hosts []Host) *Balancer {
	return &Balancer{hosts: hosts, unready: make([]atomic.Bool, len(hosts))}
}

// Watch checks regularly whether the hosts are ready, until ctx is done.
func (b *Balancer) Watch(ctx context.Context) {
	client := &http.Client{Timeout: healthTimeout}
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	group := sync.WaitGroup{}
	defer group.Wait()
	for {
		select {
		case <-ticker.C:
			group.Wait()
			for i := range b.hosts {
				group.Go(func() { b.checkReadiness(ctx, client, i) })
			}
		case <-ctx.Done():
			return
		}
	}
}

// checkReadiness updates the readiness of a host. A host that does not answer keeps its readiness.
// If it has stopped, it refuses connections and the caller tries another one. If it is paused,
// requests to it wait until it continues or they time out.
func (b *Balancer) checkReadiness(ctx context.Context, client *http.Client, index int) {
	if b.hosts[index].Health == "" {
		return
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.hosts[index].Health+"/readyz", nil)
	if err != nil {
		return
	}
	response, err := client.Do(request)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	b.unready[index].Store(response.StatusCode != http.StatusOK)
}

// Pick returns the next host that is ready, or any host if none is.
func (b *Balancer) Pick(request experiment.Request, _ int) (caller.Target, bool) {
	if len(b.hosts) == 0 {
		return caller.Target{}, false
	}
	index := 0
	for range b.hosts {
		index = int(b.next.Add(1) % uint64(len(b.hosts)))
		if !b.unready[index].Load() {
			break
		}
	}
	return caller.Target{Address: b.hosts[index].Address, Path: "/services/" + request.Class.Route}, true
}

// Endpoints picks, among the endpoints that were ready when it was created, the one with the fewest
// requests in flight. It counts only the requests of the load tool.
type Endpoints struct {
	mu sync.Mutex
	// groups holds the endpoints of each model or route, keyed by groupKey.
	groups map[string][]*endpoint
}

type endpoint struct {
	address string
	// inFlight is the number of requests in flight.
	inFlight int
}

// NewEndpoints returns a picker over the stand-ins' endpoints that are ready.
func NewEndpoints(exp experiment.Experiment, state control.State) (*Endpoints, error) {
	picker := &Endpoints{groups: map[string][]*endpoint{}}
	for _, running := range state.Endpoints {
		if running.State != "ready" {
			continue
		}
		name := "model/" + running.Model
		if running.Kind == "service" {
			name = "route/" + exp.RouteOf(running.ID)
		}
		picker.groups[name] = append(picker.groups[name], &endpoint{address: running.Address})
	}
	for _, class := range exp.Classes {
		if len(picker.groups[groupKey(&class)]) == 0 {
			return nil, fmt.Errorf("no ready endpoint for class %s", class.ID)
		}
	}
	return picker, nil
}

func groupKey(class *experiment.Class) string {
	if class.Route != "" {
		return "route/" + class.Route
	}
	return "model/" + class.Model
}

// Pick returns the endpoint with the fewest requests in flight for the request's model or route.
func (e *Endpoints) Pick(request experiment.Request, _ int) (caller.Target, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var chosen *endpoint
	for _, candidate := range e.groups[groupKey(request.Class)] {
		if chosen == nil || candidate.inFlight < chosen.inFlight {
			chosen = candidate
		}
	}
	if chosen == nil {
		return caller.Target{}, false
	}
	chosen.inFlight++
	return caller.Target{Address: chosen.address, Done: func() { e.release(chosen) }}, true
}

func (e *Endpoints) release(used *endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	used.inFlight--
}
