package process

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"
	"github.com/hashicorp/go-hclog"

	"github.com/arbutuswinch/winch"
)

// stopTimeout limits the stop of the servers and tasks after Drain. It leaves enough time to store
// the last usage counts.
const stopTimeout = 30 * time.Second

// Application runs the process of an entry host.
type Application struct {
	Host    winch.HostID
	Version string
	Logger  hclog.Logger
	// StartFields holds additional key-value pairs for the log line at the start.
	StartFields []any
	Servers     []transport.Server
	// StopWithin is the time from a termination signal until the process has to have ended. Servers and tasks that have not stopped a
	// little earlier are given up. Zero means that they may take stopTimeout after Drain.
	StopWithin time.Duration
	// Drain is called at a termination signal. It finishes open requests before the servers stop.
	Drain func(ctx context.Context) error
}

// Run serves until a termination signal, or until a server fails. After a signal that arrived before, it does not serve at all.
func (a Application) Run(stops *Stops) error {
	if stops.takeOver() {
		a.Logger.Info("stopped", "Event", EventStopped, "Error", nil)
		return nil
	}
	limit := &stopLimit{}
	draining := sync.Once{}
	var app *kratos.App
	app = kratos.New(
		kratos.Name("winchd"),
		kratos.ID(string(a.Host)),
		kratos.Version(a.Version),
		kratos.Logger(kratosLogger{logger: a.Logger}),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT),
		kratos.StopTimeout(stopTimeout),
		kratos.Server(limit.wrap(a.Servers, a.Logger)...),
		kratos.AfterStart(func(ctx context.Context) error {
			go stops.stopAtSignal(ctx, app)
			return nil
		}),
		kratos.BeforeStop(func(ctx context.Context) error {
			var err error
			draining.Do(func() {
				limit.begin(time.Now(), a.StopWithin)
				err = a.Drain(ctx)
			})
			return err
		}),
	)
	a.Logger.Info("started", append([]any{"Event", EventStarted, "Host", a.Host, "Version", a.Version}, a.StartFields...)...)
	err := app.Run()
	a.Logger.Info("stopped", "Event", EventStopped, "Error", err)
	if err != nil {
		return fmt.Errorf("run: %w", err)
	}
	return nil
}
