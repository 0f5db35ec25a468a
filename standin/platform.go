package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/arbutuswinch/winch/standin/control"
	"github.com/arbutuswinch/winch/standin/counts"
	"github.com/arbutuswinch/winch/standin/engine"
	"github.com/arbutuswinch/winch/standin/fault"
	"github.com/arbutuswinch/winch/standin/fleet"
	"github.com/arbutuswinch/winch/standin/hosts"
	"github.com/arbutuswinch/winch/standin/keyvalue"
	"github.com/arbutuswinch/winch/standin/orders"
	"github.com/arbutuswinch/winch/standin/server"
	"github.com/arbutuswinch/winch/standin/service"
	"github.com/arbutuswinch/winch/standin/settings"
	"github.com/arbutuswinch/winch/standin/usage"
	"github.com/arbutuswinch/winch/standin/weights"
)

const stopTimeout = 3 * time.Second

// platform holds the parts that one standin process runs.
type platform struct {
	ctx      context.Context
	settings settings.Settings
	logger   hclog.Logger
	board    *fault.Board
	counts   *counts.Table
	fleet    *fleet.Fleet
	orders   *orders.Service
	usage    *usage.Service
	hosts    *hosts.Service
	refusers map[fault.Target]control.Refuser
	// addresses holds the addresses of the parts by name; those of ordered engines are in the fleet.
	addresses map[string]string

	mu       sync.Mutex
	servers  []*server.Server
	engines  []*engine.Engine
	services []*service.Service
}

// start starts the parts that have a section in the settings.
func start(ctx context.Context, loaded settings.Settings, logger hclog.Logger) (*platform, error) {
	p := &platform{
		ctx:       ctx,
		settings:  loaded,
		logger:    logger,
		board:     fault.NewBoard(),
		counts:    counts.New(),
		fleet:     fleet.New(),
		refusers:  map[fault.Target]control.Refuser{},
		addresses: map[string]string{},
	}
	// The order matters: engines need the address of the weight store, and control needs the other parts.
	steps := []func() error{
		p.startKeyValue, p.startUsage, p.startHosts, p.startWeights,
		p.startEngines, p.startServices, p.startOrders, p.startControl,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, errors.Join(err, p.stop())
		}
	}
	return p, nil
}

// listen starts a server for a platform service and makes faults apply to it.
func (p *platform) listen(name fault.Target, address string, handler http.Handler) error {
	running, err := p.serve(address, p.board.Guard(name, writeFilter(handler), handler))
	if err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	p.refusers[name] = running
	p.addresses[string(name)] = running.Address()
	return nil
}

// writeFilter returns the function that selects the writes of a service; nil selects all calls.
func writeFilter(handler http.Handler) func(*http.Request) bool {
	if _, ok := handler.(*keyvalue.Service); ok {
		return keyvalue.Writes
	}
	return nil
}

func (p *platform) serve(address string, handler http.Handler) (*server.Server, error) {
	running, err := server.Start(address, handler)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers = append(p.servers, running)
	return running, nil
}

func (p *platform) startKeyValue() error {
	section := p.settings.KeyValue
	if section == nil {
		return nil
	}
	store := keyvalue.New(keyvalue.Options{
		Counts: p.counts, ReadsPerSecond: section.ReadsPerSecond, WritesPerSecond: section.WritesPerSecond,
	})
	go store.Run(p.ctx)
	return p.listen("keyvalue", section.Address, store)
}

func (p *platform) startUsage() error {
	// The service exists even without a section, because collect reads its reports.
	p.usage = usage.New(p.counts)
	if p.settings.Usage == nil {
		return nil
	}
	return p.listen("usage", p.settings.Usage.Address, p.usage)
}

func (p *platform) startHosts() error {
	section := p.settings.Hosts
	if section == nil {
		return nil
	}
	p.hosts = hosts.New(time.Duration(section.Lag), p.counts)
	first := make([]hosts.Host, 0, len(section.Hosts))
	for _, host := range section.Hosts {
		first = append(first, hosts.Host(host))
	}
	// The list is set in the past, so that it is visible at once.
	p.hosts.Set(time.Now().Add(-time.Duration(section.Lag)), first)
	return p.listen("hosts", section.Address, p.hosts)
}

func (p *platform) startWeights() error {
	section := p.settings.Weights
	if section == nil {
		return nil
	}
	return p.listen("weights", section.Address, weights.New(weights.Options{
		PerSecond: section.PerSecond, Burst: section.Burst, Transfer: time.Duration(section.Transfer), Counts: p.counts,
	}))
}

func (p *platform) startOrders() error {
	section := p.settings.Orders
	centres := []orders.DataCentre{}
	// The service exists even without a section, because collect reads its orders.
	if section == nil {
		section = &settings.Orders{}
	}
	for _, dc := range section.DataCentres {
		centres = append(centres, orders.DataCentre(dc))
	}
	p.orders = orders.New(orders.Options{
		Fleet: p.fleet, Starter: p, DataCentres: centres, StartDelay: time.Duration(section.StartDelay),
		StopNotice: time.Duration(section.StopNotice), Counts: p.counts, Board: p.board, Logger: p.logger,
	})
	if p.settings.Orders == nil {
		return nil
	}
	return p.listen("orders", section.Address, p.orders)
}

func (p *platform) startControl() error {
	if p.settings.Control == nil {
		return nil
	}
	options := control.Options{Board: p.board, Fleet: p.fleet, Servers: p.refusers, Collect: p.collect}
	if p.hosts != nil {
		options.SetHosts = p.hosts.Set
	}
	return p.listen("control", p.settings.Control.Address, control.New(options))
}

// stop stops all servers.
func (p *platform) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	p.mu.Lock()
	servers := p.servers
	p.mu.Unlock()
	errs := make([]error, len(servers))
	group := sync.WaitGroup{}
	for i, running := range servers {
		group.Go(func() { errs[i] = running.Stop(ctx) })
	}
	group.Wait()
	return errors.Join(errs...)
}

// collect returns the state that the control API reports. With repeated set, it lists only the requests
// that were executed or accepted more than once.
func (p *platform) collect(now time.Time, repeated bool) control.State {
	state := control.State{
		At:              now,
		Addresses:       p.addresses,
		Calls:           p.counts.Snapshot(),
		Executions:      map[string]service.Executions{},
		Engines:         map[string]engine.Totals{},
		Completions:     map[string]map[string]int{},
		Orders:          p.orders.Received(),
		Usage:           p.usage.Received(),
		Secrets:         map[string][]string{},
		Endpoints:       p.fleet.List(func(fleet.Endpoint) bool { return true }),
		EndpointSeconds: p.fleet.Seconds(now),
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, svc := range p.services {
		state.Executions[svc.ID()] = svc.Executions(repeated)
	}
	for _, eng := range p.engines {
		state.Engines[eng.ID()] = eng.Totals()
		state.Completions[eng.ID()] = eng.Accepted(repeated)
		state.Secrets[eng.ID()] = eng.Secrets()
	}
	return state
}
