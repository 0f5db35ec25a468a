package main

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/arbutuswinch/winch/standin/cold"
	"github.com/arbutuswinch/winch/standin/engine"
	"github.com/arbutuswinch/winch/standin/fleet"
	"github.com/arbutuswinch/winch/standin/orders"
	"github.com/arbutuswinch/winch/standin/server"
	"github.com/arbutuswinch/winch/standin/service"
	"github.com/arbutuswinch/winch/standin/settings"
)

// defaultRestartTime is the time from a crash until the endpoint starts again, unless the settings say otherwise.
const defaultRestartTime = time.Second

// sampleInterval is the time between two samples of the load of plain services.
const sampleInterval = 20 * time.Millisecond

// engineRunner runs a model engine as an endpoint of the fleet.
type engineRunner struct {
	*server.Server
	engine *engine.Engine
}

// SetState changes the state that the engine reports. The fleet sets only Ready and Leaving, which both
// packages name alike.
func (r *engineRunner) SetState(now time.Time, state fleet.State) {
	r.engine.SetState(now, engine.State(state))
}

// Crash closes all connections, refuses new ones until Restore, and ends the streams and clears the
// cache of the engine.
func (r *engineRunner) Crash() {
	r.Refuse()
	r.engine.Crash()
}

// serviceRunner runs a plain service as an endpoint of the fleet.
type serviceRunner struct {
	*server.Server
	service *service.Service
	crashed atomic.Bool
}

// SetState changes the state that the service reports. The fleet sets only Ready and Leaving, which both
// packages name alike.
func (r *serviceRunner) SetState(now time.Time, state fleet.State) {
	r.service.SetState(now, service.State(state))
}

// Crash closes all connections and refuses new ones until Restore.
func (r *serviceRunner) Crash() {
	r.crashed.Store(true)
	r.Refuse()
}

// Restore accepts connections again. A service that has crashed starts again, and is cold for some time.
func (r *serviceRunner) Restore() error {
	if r.crashed.Swap(false) {
		r.service.StartCold(time.Now())
	}
	return r.Server.Restore()
}

func (p *platform) startEngines() error {
	for _, section := range p.settings.Engines {
		models := make([]engine.Weights, 0, len(section.Models))
		for _, model := range section.Models {
			models = append(models, engine.Weights(model))
		}
		runner, err := p.startEngine(section, models, engine.StateReady)
		if err != nil {
			return fmt.Errorf("start engine %s: %w", section.ID, err)
		}
		p.addresses["engine/"+section.ID] = runner.Address()
		p.fleet.Add(time.Now(), fleet.Endpoint{
			ID: section.ID, DataCentre: section.DataCentre, Address: runner.Address(), Model: firstModel(models),
			Supply: supplyOf(section.Supply), State: fleet.Ready, Kind: "engine",
		}, runner)
	}
	return nil
}

func (p *platform) startEngine(section settings.Engine, models []engine.Weights, state engine.State) (*engineRunner, error) {
	eng := engine.New(engine.Options{
		ID: section.ID, Models: models, BatchLimit: section.BatchLimit, WaitLimit: section.WaitLimit,
		StepBase: time.Duration(section.StepBase), StepPerSequence: time.Duration(section.StepPerSequence),
		PrefillTokensPerSecond: section.PrefillTokensPerSecond, ChunkTokens: section.ChunkTokens, CacheTokens: section.CacheTokens,
		ReportLag: time.Duration(section.ReportLag), EventLag: time.Duration(section.EventLag), EventGap: section.EventGap,
		ChecksFencing: section.ChecksFencing, Preempts: section.Preempts, WeightStore: p.addresses["weights"],
		Seed: p.settings.Seed, Counts: p.counts, Board: p.board, Logger: p.logger,
	})
	eng.SetState(time.Now(), state)
	running, err := p.serve(section.Address, eng)
	if err != nil {
		return nil, err
	}
	go eng.Run(p.ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engines = append(p.engines, eng)
	return &engineRunner{Server: running, engine: eng}, nil
}

// Start starts an ordered engine, which accepts no requests until the fleet sets it ready.
func (p *platform) Start(id, centre string, pool orders.Pool) (string, fleet.Runner, error) {
	section := p.settings.Orders.Engine
	section.ID, section.DataCentre = id, centre
	host := p.settings.Orders.EngineHost
	if host == "" {
		host = "127.0.0.1"
	}
	section.Address = net.JoinHostPort(host, "0")
	models := []engine.Weights{{Model: pool.Model, Adapter: pool.Adapter, Version: pool.Version}}
	runner, err := p.startEngine(section, models, engine.StateWarming)
	if err != nil {
		return "", nil, fmt.Errorf("start engine %s: %w", id, err)
	}
	return runner.Address(), runner, nil
}

func (p *platform) startServices() error {
	for _, section := range p.settings.Services {
		svc := service.New(service.Options{
			ID: section.ID, Time: time.Duration(section.Time), Slots: section.Slots, RecordLimit: section.RecordLimit,
			ReportLag: time.Duration(section.ReportLag), Counts: p.counts, Board: p.board,
			Cold:    cold.Limit{PerSecond: section.ColdPerSecond, Duration: time.Duration(section.ColdTime)},
			Overrun: func() { p.fleet.Crash(section.ID, cmp.Or(time.Duration(section.RestartTime), defaultRestartTime)) },
		})
		svc.StartCold(time.Now())
		running, err := p.serve(section.Address, svc)
		if err != nil {
			return fmt.Errorf("start service %s: %w", section.ID, err)
		}
		p.addresses["service/"+section.ID] = running.Address()
		p.services = append(p.services, svc)
		p.fleet.Add(time.Now(), fleet.Endpoint{
			ID: section.ID, DataCentre: section.DataCentre, Address: running.Address(),
			Supply: supplyOf(section.Supply), State: fleet.Ready, Kind: "service",
		}, &serviceRunner{Server: running, service: svc})
	}
	go p.sampleServices(p.ctx)
	return nil
}

// sampleServices samples the load of plain services, which have no goroutine of their own.
func (p *platform) sampleServices(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			for _, svc := range p.services {
				svc.Observe(now)
			}
		case <-ctx.Done():
			return
		}
	}
}

func supplyOf(name string) fleet.Supply {
	if name == "" {
		return fleet.Steady
	}
	return fleet.Supply(name)
}

func firstModel(models []engine.Weights) string {
	if len(models) == 0 {
		return ""
	}
	return models[0].Model
}
