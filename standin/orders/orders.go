// Package orders is a stand-in for the platform interface by which endpoints are ordered in
// each data centre. It logs each order that it receives.
//
// # Usage
//
//	service := orders.New(orders.Options{Fleet: endpoints, Starter: starter, DataCentres: centres})
//	running, err := server.Start("127.0.0.1:7001", service)
//
// An order states the wanted number of endpoints of each pool. Missing endpoints are
// started; surplus endpoints are given notice, the youngest first.
package orders

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/arbutuswinch/winch/standin/counts"
	"github.com/arbutuswinch/winch/standin/fault"
	"github.com/arbutuswinch/winch/standin/fleet"
	"github.com/arbutuswinch/winch/standin/wire"
)

const (
	// goneRetention is how long endpoints that are gone stay listed.
	goneRetention = time.Minute
	// countLimit is the largest number of endpoints that an order may ask for in one pool.
	countLimit = 64
)

// Pool is the part of an order about one pool.
type Pool struct {
	Pool    string
	Model   string
	Adapter string
	Version string
	Supply  fleet.Supply
	Count   int
}

// Starter starts engines.
type Starter interface {
	// Start starts an engine in the state warming and returns its address.
	Start(id, dataCentre string, pool Pool) (address string, runner fleet.Runner, err error)
}

// DataCentre configures one data centre.
type DataCentre struct {
	ID            string
	ChecksFencing bool
}

// Options configure the service.
type Options struct {
	Fleet       *fleet.Fleet
	Starter     Starter
	DataCentres []DataCentre
	// StartDelay is the time until an ordered endpoint is ready, StopNotice the notice given
	// to a surplus one.
	StartDelay time.Duration
	StopNotice time.Duration
	Counts     *counts.Table
	Board      *fault.Board
	Logger     hclog.Logger
}

// Received is a received order and its outcome.
type Received struct {
	At            time.Time
	DataCentre    string
	OrderID       string
	FencingNumber int64
	Holder        string
	Pools         []Pool
	// Verdict is "done", "repeated" or "fenced". "done" does not mean that all engines started.
	Verdict string
}

type dataCentre struct {
	settings      DataCentre
	highestNumber int64
	responses     map[string]endpointsResponse
}

// Service is the HTTP handler of the order interface.
type Service struct {
	options Options
	mux     *http.ServeMux

	mu       sync.Mutex
	centres  map[string]*dataCentre
	received []Received
	started  int
}

type orderRequest struct {
	OrderID       string
	FencingNumber int64
	Holder        string
	Pools         []Pool
}

type endpointsResponse struct{ Endpoints []endpointResponse }

type endpointResponse struct {
	ID       string
	Address  string
	Pool     string
	Model    string
	Supply   fleet.Supply
	State    fleet.State
	LeavesAt *time.Time `json:",omitempty"`
}

type fencedResponse struct {
	Code    string
	Message string
	Highest int64
}

// New returns the service.
func New(options Options) *Service {
	s := &Service{options: options, mux: http.NewServeMux(), centres: map[string]*dataCentre{}}
	for _, settings := range options.DataCentres {
		s.centres[settings.ID] = &dataCentre{settings: settings, responses: map[string]endpointsResponse{}}
	}
	s.mux.HandleFunc("POST /v1/datacentres/{dc}/orders", s.order)
	s.mux.HandleFunc("GET /v1/datacentres/{dc}/endpoints", s.endpoints)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// withFaults applies the faults of the request's data centre and then calls next for it.
// An outage of one data centre is an error response, since all of them share the listener.
func (s *Service) withFaults(w http.ResponseWriter, r *http.Request, next func(http.ResponseWriter, *http.Request, *dataCentre)) {
	id := r.PathValue("dc")
	centre := s.centres[id]
	if centre == nil {
		wire.WriteError(w, http.StatusNotFound, "not_found", "no such data centre")
		return
	}
	target := fault.Target("orders/" + id)
	if _, active := s.options.Board.Take(time.Now(), target, fault.Outage); active {
		w.Header().Set("Retry-After", "1")
		wire.WriteError(w, http.StatusServiceUnavailable, "unavailable", "the order interface is out of service")
		return
	}
	s.options.Board.Guard(target, nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { next(w, r, centre) })).ServeHTTP(w, r)
}

func (s *Service) endpoints(w http.ResponseWriter, r *http.Request) {
	s.withFaults(w, r, func(w http.ResponseWriter, _ *http.Request, centre *dataCentre) {
		s.options.Counts.Add(counts.Service("orders/"+centre.settings.ID), "endpoints")
		wire.Write(w, http.StatusOK, s.listEndpoints(time.Now(), centre.settings.ID))
	})
}

func (s *Service) order(w http.ResponseWriter, r *http.Request) {
	s.withFaults(w, r, func(w http.ResponseWriter, r *http.Request, centre *dataCentre) {
		s.options.Counts.Add(counts.Service("orders/"+centre.settings.ID), "order")
		request := orderRequest{}
		if !wire.Decode(w, r, wire.SmallBody, &request) {
			return
		}
		if text := validate(request); text != "" {
			wire.WriteError(w, http.StatusBadRequest, "invalid", text)
			return
		}
		s.execute(w, time.Now(), centre, request)
	})
}

func validate(request orderRequest) string {
	if request.OrderID == "" {
		return "OrderID is missing"
	}
	for i, pool := range request.Pools {
		if pool.Pool == "" || pool.Count < 0 || pool.Count > countLimit {
			return fmt.Sprintf("Pools[%d]: Pool or Count is wrong", i)
		}
	}
	return ""
}

// execute checks an order, executes it and writes the response. Orders are handled one at a time.
func (s *Service) execute(w http.ResponseWriter, now time.Time, centre *dataCentre, request orderRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	received := Received{
		At: now, DataCentre: centre.settings.ID, OrderID: request.OrderID,
		FencingNumber: request.FencingNumber, Holder: request.Holder, Pools: request.Pools, Verdict: "done",
	}
	response, repeated := centre.responses[request.OrderID]
	switch {
	case centre.settings.ChecksFencing && request.FencingNumber < centre.highestNumber:
		received.Verdict = "fenced"
		wire.Write(w, http.StatusPreconditionFailed, fencedResponse{Code: "fenced", Message: "the fencing number is old", Highest: centre.highestNumber})
	case repeated:
		received.Verdict = "repeated"
		wire.Write(w, http.StatusOK, response)
	default:
		centre.highestNumber = max(centre.highestNumber, request.FencingNumber)
		s.applyPools(now, centre, request)
		centre.responses[request.OrderID] = s.listEndpoints(now, centre.settings.ID)
		wire.Write(w, http.StatusOK, centre.responses[request.OrderID])
	}
	s.received = append(s.received, received)
	s.options.Logger.Info("order received", "DataCentre", received.DataCentre, "Order", received.OrderID,
		"FencingNumber", received.FencingNumber, "Holder", received.Holder, "Verdict", received.Verdict, "At", received.At)
}

func (s *Service) applyPools(now time.Time, centre *dataCentre, request orderRequest) {
	for _, pool := range request.Pools {
		active := s.options.Fleet.List(func(e fleet.Endpoint) bool {
			return e.DataCentre == centre.settings.ID && e.Pool == pool.Pool && (e.State == fleet.Starting || e.State == fleet.Ready)
		})
		// List sorts by id, and the ids of a pool increase in the order of starting.
		for i := len(active); i > pool.Count; i-- {
			s.options.Fleet.Leave(now, active[i-1].ID, s.options.StopNotice, 0)
		}
		for i := len(active); i < pool.Count; i++ {
			s.start(now, centre.settings.ID, pool)
		}
	}
}

// start starts one engine. It starts none of supply Cheap while a reclaim fault is active in
// the data centre, and counts that as one use of the fault.
func (s *Service) start(now time.Time, dc string, pool Pool) {
	if pool.Supply == fleet.Cheap {
		if _, reclaimed := s.options.Board.Take(now, fault.Target("cheap/"+dc), fault.Reclaim); reclaimed {
			return
		}
	}
	s.started++
	id := fmt.Sprintf("%s-%04d", pool.Pool, s.started)
	address, runner, err := s.options.Starter.Start(id, dc, pool)
	if err != nil {
		s.options.Logger.Error("starting engine failed", "Endpoint", id, "Error", err)
		return
	}
	s.options.Fleet.Add(now, fleet.Endpoint{
		ID: id, DataCentre: dc, Address: address, Pool: pool.Pool, Model: pool.Model,
		Supply: pool.Supply, State: fleet.Starting, Kind: "engine",
	}, runner)
	time.AfterFunc(s.options.StartDelay, func() { s.options.Fleet.Ready(time.Now(), id) })
}

func (s *Service) listEndpoints(now time.Time, dc string) endpointsResponse {
	response := endpointsResponse{Endpoints: []endpointResponse{}}
	for _, e := range s.options.Fleet.InDataCentre(now, dc, goneRetention) {
		listed := endpointResponse{ID: e.ID, Address: e.Address, Pool: e.Pool, Model: e.Model, Supply: e.Supply, State: e.State}
		if e.State == fleet.Leaving {
			leaves := e.LeavesAt
			listed.LeavesAt = &leaves
		}
		response.Endpoints = append(response.Endpoints, listed)
	}
	return response
}

// Received returns the received orders, the oldest first.
func (s *Service) Received() []Received {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Received{}, s.received...)
}
