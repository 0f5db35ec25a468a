// Package daemon wires the components of the library into the process of an entry
// host and runs it as a kratos application.
//
// # Usage
//
//	built, err := daemon.New(loaded, version, logger)
//	if err != nil {
//		return err
//	}
//	err = built.Run(process.ListenForStops()) // until SIGTERM or SIGINT, or until a task fails
package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/clock/boottime"
	"github.com/arbutuswinch/winch/httpjson"
	"github.com/arbutuswinch/winch/internal/connlimit"
	keyvalueplatform "github.com/arbutuswinch/winch/keyvalue/platform"
	"github.com/arbutuswinch/winch/winchd/process"
	"github.com/arbutuswinch/winch/winchd/settings"
)

const (
	// callerIdleTimeout is how long a caller's connection may be idle.
	callerIdleTimeout = 2 * time.Minute
	// internalConnections is the maximum number of connections of the port for other hosts and of the port for operators.
	internalConnections = 4096
	// peerShare and operatorShare are the shares in percent of the descriptors, and of the memory of requests, that connections of
	// these ports may use. process.Guard gives most of both to callers. Other hosts get more than operators, since they forward
	// requests.
	peerShare, operatorShare = 20, 10
)

// Daemon is the process of one entry host.
type Daemon struct {
	settings    settings.Settings
	logger      hclog.Logger
	version     string
	clock       winch.Clock
	incarnation winch.Incarnation
	metrics     *process.Metrics
	guard       *process.Guard
	traffic     *httpjson.Traffic
	store       winch.KeyValue

	membership *membershipComponents
	release    *releaseComponents
	dispatch   *dispatchComponents
	usage      *usageComponents
	placement  *placementComponents
	serving    *servingComponents

	servers []transport.Server
	runner  *process.Runner
}

// New builds the process and opens its ports, so that a port in use is reported at once. Run serves.
func New(loaded settings.Settings, version string, logger hclog.Logger) (*Daemon, error) {
	clock, err := boottime.New()
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings: loaded, logger: logger, version: version, clock: clock,
		incarnation: winch.Incarnation(uuid.NewString()), traffic: &httpjson.Traffic{},
	}
	err = process.Build([]process.Step{
		{Name: "metrics", Build: d.buildMetrics},
		{Name: "memory", Build: d.buildGuard},
		{Name: "key-value client", Build: d.buildStore},
		{Name: "membership", Build: d.buildMembership},
		{Name: "release", Build: d.buildRelease},
		{Name: "endpoints", Build: d.buildEndpoints},
		{Name: "dispatch", Build: d.buildDispatch},
		{Name: "orders", Build: d.buildOrders},
		{Name: "usage", Build: d.buildUsage},
		{Name: "serving", Build: d.buildServing},
		{Name: "exchange", Build: d.buildExchange},
		{Name: "servers", Build: d.buildServers},
	})
	if err != nil {
		return nil, err
	}
	return d, nil
}

func (d *Daemon) buildMetrics() error {
	built, err := process.NewMetrics()
	if err != nil {
		return err
	}
	d.metrics = built
	return built.ObserveTraffic(d.traffic)
}

func (d *Daemon) buildGuard() error {
	limits := d.settings.Limits
	built, err := process.NewGuard(process.GuardLimits{Memory: limits.Memory, RequestMemory: limits.RequestMemory, Connections: limits.Connections}, d.logger, d.metrics.Meter())
	d.guard = built
	return err
}

func (d *Daemon) buildStore() error {
	store, err := keyvalueplatform.New(keyvalueplatform.Options{
		Address: d.settings.Platform.KeyValue, Timeout: d.settings.Platform.Timeout,
		Meter: d.metrics.Meter(), Transport: d.traffic.Transport(""),
	})
	if err != nil {
		return err
	}
	d.store = store
	return nil
}

func (d *Daemon) buildServers() error {
	callerLimits := process.ServerLimits{
		HeaderLimit: d.settings.Caller.HeaderLimit, ReadTimeout: d.settings.Caller.ReadTimeout, IdleTimeout: callerIdleTimeout,
	}
	for _, port := range []struct {
		address    string
		handler    http.Handler
		limits     process.ServerLimits
		traffic    *httpjson.Traffic
		newLimiter func() (*connlimit.Limiter, error)
	}{
		{d.settings.Caller.Address, d.serving.server.Handler(), callerLimits, nil, d.guard.Callers},
		{d.settings.Peer.Address, d.peerHandler(), process.InternalLimits(), d.traffic, d.internal("peer", peerShare)},
		{d.settings.Operator.Address, d.operatorHandler(), process.InternalLimits(), nil, d.internal("operator", operatorShare)},
	} {
		limiter, err := port.newLimiter()
		if err != nil {
			return err
		}
		port.limits.Connections = limiter
		server, err := process.NewServer(port.address, port.handler, port.limits, port.traffic)
		if err != nil {
			return err
		}
		d.servers = append(d.servers, server)
	}
	d.runner = process.NewRunner(d.logger, d.tasks())
	d.servers = append(d.servers, d.runner)
	return nil
}

// internal returns the constructor of the limiter of a port that is not exposed to callers.
func (d *Daemon) internal(port string, share int) func() (*connlimit.Limiter, error) {
	return func() (*connlimit.Limiter, error) { return d.guard.InternalShare(port, internalConnections, share) }
}

func (d *Daemon) tasks() []process.Task {
	tasks := []process.Task{
		{Name: "memory", Run: d.guard.Run},
		{Name: "exchange", Run: d.membership.exchange.Run},
		{Name: "distributor", Run: d.release.distributor.Run},
		{Name: "dispatcher", Run: d.dispatch.dispatcher.Run},
		{Name: "load reader", Run: d.dispatch.reader.Run},
	}
	tasks = append(tasks, d.usage.tasks()...)
	return append(tasks, d.placement.tasks()...)
}

// Run serves until a termination signal, or until a task or server fails. After a signal it finishes
// open requests before it returns.
func (d *Daemon) Run(stops *process.Stops) error {
	return process.Application{
		Host: d.settings.Host, Version: d.version, Logger: d.logger, Servers: d.servers, Drain: d.drain,
		StartFields: []any{"DataCentre", d.settings.DataCentre, "Incarnation", d.incarnation, "Caller", d.settings.Caller.Address},
	}.Run(stops)
}

// drain shuts the host down gracefully. Leave lets other hosts take over its duties, if there are
// any. Drain makes the readiness check fail, finishes open requests and, at the drain timeout,
// cancels those that are still open.
func (d *Daemon) drain(ctx context.Context) error {
	d.logger.Info("stopping", "Event", process.EventStopping, "Open", d.serving.server.Open())
	d.membership.table.Leave()
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.settings.Shutdown.DrainTimeout)
	defer cancel()
	if err := d.serving.server.Drain(drainCtx); err != nil {
		d.logger.Error("open requests cancelled at the drain timeout", "Event", process.EventDrainIncomplete, "Open", d.serving.server.Open(), "Error", err)
	}
	return nil
}
