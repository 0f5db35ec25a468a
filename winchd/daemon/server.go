package daemon

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
)

// serverLimits bound what a client can make a server hold.
type serverLimits struct {
	headerLimit int
	readTimeout time.Duration
	idleTimeout time.Duration
}

const (
	internalHeaderLimit = 32 << 10
	internalReadTimeout = 10 * time.Second
	idleTimeout         = 2 * time.Minute
)

func internalLimits() serverLimits {
	return serverLimits{headerLimit: internalHeaderLimit, readTimeout: internalReadTimeout, idleTimeout: idleTimeout}
}

// newServer returns a kratos server on the address. It listens at once, so that a
// taken port is an error of the start. A nil traffic counts nothing.
func newServer(address string, handler http.Handler, limits serverLimits, traffic *httpjson.Traffic) (*khttp.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	if traffic != nil {
		listener = traffic.Listener(listener)
	}
	server := khttp.NewServer(khttp.Address(address), khttp.Listener(listener), khttp.Timeout(0))
	server.HandlePrefix("/", handler)
	server.ReadHeaderTimeout = limits.readTimeout
	server.MaxHeaderBytes = limits.headerLimit
	server.IdleTimeout = limits.idleTimeout
	return server, nil
}

// part is work that runs until its context is done.
type part struct {
	name string
	run  func(ctx context.Context) error
}

// runner runs parts as one kratos server, so that the application starts and stops them.
type runner struct {
	logger hclog.Logger
	parts  []part
	cancel context.CancelFunc
	done   chan struct{}
	ctx    context.Context
}

func newRunner(logger hclog.Logger, parts []part) *runner {
	ctx, cancel := context.WithCancel(context.Background())
	return &runner{logger: logger, parts: parts, ctx: ctx, cancel: cancel, done: make(chan struct{})}
}

// Start runs the parts until Stop, or until one of them fails.
func (r *runner) Start(context.Context) error {
	defer close(r.done)
	group, ctx := errgroup.WithContext(r.ctx)
	for _, each := range r.parts {
		group.Go(func() error {
			err := each.run(ctx)
			if err != nil && ctx.Err() == nil {
				r.logger.Error("part failed", "Event", EventPartFailed, "Part", each.name, "Error", err)
				return fmt.Errorf("run %s: %w", each.name, err)
			}
			return nil
		})
	}
	return group.Wait()
}

// Stop ends the parts and waits for them.
func (r *runner) Stop(ctx context.Context) error {
	r.cancel()
	select {
	case <-r.done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("stop parts: %w", ctx.Err())
	}
}

// kratosLogger passes kratos's own lines on to hclog.
type kratosLogger struct {
	logger hclog.Logger
}

// Log writes one line of kratos.
func (l kratosLogger) Log(level klog.Level, keyvals ...any) error {
	if level >= klog.LevelWarn {
		l.logger.Warn("kratos", append([]any{"Event", EventLibrary}, keyvals...)...)
		return nil
	}
	l.logger.Debug("kratos", append([]any{"Event", EventLibrary}, keyvals...)...)
	return nil
}
