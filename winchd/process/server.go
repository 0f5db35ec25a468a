// Package process implements what the processes of packages daemon and forwarder share: HTTP
// servers, background tasks, metrics and the log adapter of kratos.
//
// # Usage
//
//	stops := process.ListenForStops()
//	server, err := process.NewServer("127.0.0.1:8080", handler, process.InternalLimits(), nil)
//	if err != nil {
//		return err
//	}
//	tasks := process.NewRunner(logger, []process.Task{{Name: "exchange", Run: exchange.Run}})
//	err = process.Application{
//		Host: "a-1", Logger: logger, Servers: []transport.Server{server, tasks}, Drain: drain,
//	}.Run(stops)
package process

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	klog "github.com/go-kratos/kratos/v2/log"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/arbutuswinch/winch/httpjson"
	"github.com/arbutuswinch/winch/internal/abort"
	"github.com/arbutuswinch/winch/internal/connlimit"
)

// ServerLimits limits the resources that a client can occupy at a server.
type ServerLimits struct {
	// HeaderLimit is the maximum size of a request header in bytes.
	HeaderLimit int
	// ReadTimeout limits the time to read a request header, not the body.
	ReadTimeout time.Duration
	// IdleTimeout is how long a connection may be idle.
	IdleTimeout time.Duration
	// Connections limits the connections of the port; nil means no limit.
	Connections *connlimit.Limiter
}

const (
	internalHeaderLimit = 32 << 10
	internalReadTimeout = 10 * time.Second
	internalIdleTimeout = 2 * time.Minute
)

// InternalLimits returns the limits for ports that are not exposed to callers.
func InternalLimits() ServerLimits {
	return ServerLimits{HeaderLimit: internalHeaderLimit, ReadTimeout: internalReadTimeout, IdleTimeout: internalIdleTimeout}
}

// NewServer returns a kratos server for the address. It starts to listen immediately, so
// that a port in use is reported at startup. traffic may be nil.
func NewServer(address string, handler http.Handler, limits ServerLimits, traffic *httpjson.Traffic) (*khttp.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	if traffic != nil {
		listener = traffic.Listener(listener)
	}
	if limits.Connections != nil {
		listener = limits.Connections.Listener(listener)
	}
	server := khttp.NewServer(khttp.Address(address), khttp.Listener(listener), khttp.Timeout(0))
	server.HandlePrefix("/", handler)
	// kratos cancels the context of every request when the application begins to stop. Open
	// requests must be finished instead.
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return abort.WithConnection(context.WithoutCancel(ctx), conn)
	}
	if limits.Connections != nil {
		server.ConnState = limits.Connections.Observe
	}
	server.ReadHeaderTimeout = limits.ReadTimeout
	server.MaxHeaderBytes = limits.HeaderLimit
	server.IdleTimeout = limits.IdleTimeout
	return server, nil
}

// Task is a background task that runs until its context is done.
type Task struct {
	Name string
	Run  func(ctx context.Context) error
}

// Runner runs tasks as a kratos server, so that the application starts and stops them.
type Runner struct {
	logger hclog.Logger
	tasks  []Task
	cancel context.CancelFunc
	done   chan struct{}
	ctx    context.Context
	// abandoned ends when abandon is called.
	abandoned context.Context
	abandon   context.CancelFunc
}

// NewRunner returns a runner for the tasks.
func NewRunner(logger hclog.Logger, tasks []Task) *Runner {
	ctx, cancel := context.WithCancel(context.Background())
	abandoned, abandon := context.WithCancel(context.Background())
	return &Runner{logger: logger, tasks: tasks, ctx: ctx, cancel: cancel, done: make(chan struct{}), abandoned: abandoned, abandon: abandon}
}

// Start runs the tasks until Stop is called or one of them fails. It ignores the context of kratos,
// since Stop ends the tasks. It does not wait for tasks that are abandoned.
func (r *Runner) Start(context.Context) error {
	ended := make(chan error, 1)
	go func() { ended <- r.run() }()
	select {
	case err := <-ended:
		return err
	case <-r.abandoned.Done():
		return nil
	}
}

func (r *Runner) run() error {
	defer close(r.done)
	group, ctx := errgroup.WithContext(r.ctx)
	for _, task := range r.tasks {
		group.Go(func() error {
			err := task.Run(ctx)
			if err != nil && ctx.Err() == nil {
				r.logger.Error("background task failed", "Event", EventPartFailed, "Part", task.Name, "Error", err)
				return fmt.Errorf("run %s: %w", task.Name, err)
			}
			return nil
		})
	}
	return group.Wait()
}

// Stop cancels the tasks and waits for them.
func (r *Runner) Stop(ctx context.Context) error {
	r.cancel()
	select {
	case <-r.done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("stop background tasks: %w", ctx.Err())
	}
}

// kratosLogger forwards the log lines of kratos to hclog.
type kratosLogger struct {
	logger hclog.Logger
}

// Log writes one log line of kratos.
func (l kratosLogger) Log(level klog.Level, keyvals ...any) error {
	if level >= klog.LevelWarn {
		l.logger.Warn("kratos", append([]any{"Event", EventLibrary}, keyvals...)...)
		return nil
	}
	l.logger.Debug("kratos", append([]any{"Event", EventLibrary}, keyvals...)...)
	return nil
}
