// Package daemon builds one entry host's process out of the library's parts and
// runs it as a kratos application.
//
// # Usage
//
//	built, err := daemon.New(loaded, logger)
//	if err != nil {
//		return err
//	}
//	err = built.Run() // until SIGTERM or SIGINT, or until a part fails
package daemon

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/clock/boottime"
	"github.com/arbutuswinch/winch/httpjson"
	"github.com/arbutuswinch/winch/keyvalue/platform"
	"github.com/arbutuswinch/winch/winchd/settings"
)

// stopTimeout is longer than the time for which usage counts are written at the end.
const stopTimeout = 30 * time.Second

// Daemon is one entry host's process.
type Daemon struct {
	settings    settings.Settings
	logger      hclog.Logger
	version     string
	clock       winch.Clock
	incarnation winch.Incarnation
	metrics     *metrics
	traffic     *httpjson.Traffic
	store       winch.KeyValue

	membership *membershipParts
	release    *releaseParts
	dispatch   *dispatchParts
	usage      *usageParts
	placement  *placementParts
	serving    *servingParts

	servers []transport.Server
	runner  *runner
}

// New builds the process and opens its ports; Run serves.
func New(loaded settings.Settings, version string, logger hclog.Logger) (*Daemon, error) {
	clock, err := boottime.New()
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings: loaded, logger: logger, version: version, clock: clock,
		incarnation: winch.Incarnation(uuid.NewString()), traffic: &httpjson.Traffic{},
	}
	for _, step := range []struct {
		name  string
		build func() error
	}{
		{"metrics", d.buildMetrics},
		{"key-value client", d.buildStore},
		{"membership", d.buildMembership},
		{"release", d.buildRelease},
		{"endpoints", d.buildEndpoints},
		{"dispatch", d.buildDispatch},
		{"orders", d.buildOrders},
		{"usage", d.buildUsage},
		{"serving", d.buildServing},
		{"exchange", d.buildExchange},
		{"servers", d.buildServers},
	} {
		if err := step.build(); err != nil {
			return nil, fmt.Errorf("build %s: %w", step.name, err)
		}
	}
	return d, nil
}

func (d *Daemon) buildMetrics() error {
	built, err := newMetrics()
	if err != nil {
		return err
	}
	d.metrics = built
	return built.observeTraffic(d.traffic)
}

func (d *Daemon) buildStore() error {
	store, err := platform.New(platform.Options{
		Address: d.settings.Platform.KeyValue, Timeout: d.settings.Platform.Timeout,
		Meter: d.metrics.meter(), Transport: d.traffic.Transport(""),
	})
	if err != nil {
		return err
	}
	d.store = store
	return nil
}

func (d *Daemon) buildServers() error {
	callerLimits := serverLimits{
		headerLimit: d.settings.Caller.HeaderLimit, readTimeout: d.settings.Caller.ReadTimeout, idleTimeout: idleTimeout,
	}
	callers, err := newServer(d.settings.Caller.Address, d.serving.server.Handler(), callerLimits, nil)
	if err != nil {
		return err
	}
	peers, err := newServer(d.settings.Peer.Address, d.peerHandler(), internalLimits(), d.traffic)
	if err != nil {
		return err
	}
	operators, err := newServer(d.settings.Operator.Address, d.operatorHandler(), internalLimits(), nil)
	if err != nil {
		return err
	}
	d.runner = newRunner(d.logger, d.parts())
	d.servers = []transport.Server{callers, peers, operators, d.runner}
	return nil
}

func (d *Daemon) parts() []part {
	parts := []part{
		{"exchange", d.membership.exchange.Run},
		{"distributor", d.release.distributor.Run},
		{"dispatcher", d.dispatch.dispatcher.Run},
		{"load reader", d.dispatch.reader.Run},
	}
	parts = append(parts, d.usage.parts()...)
	return append(parts, d.placement.parts()...)
}

// Run serves until a signal asks for a stop. A planned stop finishes open requests first.
func (d *Daemon) Run() error {
	app := kratos.New(
		kratos.Name("winchd"),
		kratos.ID(string(d.settings.Host)),
		kratos.Version(d.version),
		kratos.Logger(kratosLogger{logger: d.logger}),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT),
		kratos.StopTimeout(stopTimeout),
		kratos.Server(d.servers...),
		kratos.BeforeStop(d.drain),
	)
	d.logger.Info("started", "Event", EventStarted, "Host", d.settings.Host, "DataCentre", d.settings.DataCentre,
		"Incarnation", d.incarnation, "Version", d.version, "Caller", d.settings.Caller.Address)
	err := app.Run()
	d.logger.Info("stopped", "Event", EventStopped, "Error", err)
	if err != nil {
		return fmt.Errorf("run: %w", err)
	}
	return nil
}

// drain is the planned stop: the host hands its duties on, reports that it is not
// ready, and finishes or moves what is open.
func (d *Daemon) drain(ctx context.Context) error {
	d.logger.Info("stopping", "Event", EventStopping, "Open", d.serving.server.Open())
	d.membership.table.Leave()
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.settings.Shutdown.DrainTimeout)
	defer cancel()
	if err := d.serving.server.Drain(drainCtx); err != nil {
		d.logger.Error("drain incomplete", "Event", EventDrainIncomplete, "Open", d.serving.server.Open(), "Error", err)
	}
	return nil
}
