package process

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"
	"github.com/hashicorp/go-hclog"

	"github.com/arbutuswinch/winch"
)

// stopTimeout is longer than the time for which usage counts are written at the end.
const stopTimeout = 30 * time.Second

// Application runs an entry host's process.
type Application struct {
	Host    winch.HostID
	Version string
	Logger  hclog.Logger
	// Started are the fields of the line that tells the start.
	Started []any
	Servers []transport.Server
	// Drain is the planned stop. It finishes what is open before the servers stop.
	Drain func(ctx context.Context) error
}

// Run serves until a signal asks for a stop, or until a server fails.
func (a Application) Run() error {
	app := kratos.New(
		kratos.Name("winchd"),
		kratos.ID(string(a.Host)),
		kratos.Version(a.Version),
		kratos.Logger(kratosLogger{logger: a.Logger}),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT),
		kratos.StopTimeout(stopTimeout),
		kratos.Server(a.Servers...),
		kratos.BeforeStop(a.Drain),
	)
	a.Logger.Info("started", append([]any{"Event", EventStarted, "Host", a.Host, "Version", a.Version}, a.Started...)...)
	err := app.Run()
	a.Logger.Info("stopped", "Event", EventStopped, "Error", err)
	if err != nil {
		return fmt.Errorf("run: %w", err)
	}
	return nil
}
