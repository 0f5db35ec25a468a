package process

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/hashicorp/go-hclog"
)

// stopShare is the share of Application.StopWithin after which servers and tasks that have not stopped are given up.
const stopShare = 0.96

// stopLimit is when the servers have to have stopped. There is no such time before begin.
type stopLimit struct {
	until atomic.Pointer[time.Time]
}

func (l *stopLimit) begin(now time.Time, within time.Duration) {
	if within <= 0 {
		return
	}
	until := now.Add(time.Duration(float64(within) * stopShare))
	l.until.Store(&until)
}

// wrap returns the servers with stops that keep the limit.
func (l *stopLimit) wrap(servers []transport.Server, logger hclog.Logger) []transport.Server {
	wrapped := make([]transport.Server, 0, len(servers))
	for _, server := range servers {
		wrapped = append(wrapped, &limitedServer{Server: server, limit: l, logger: logger})
	}
	return wrapped
}

// limitedServer is a server that is given up if it does not stop until its limit.
type limitedServer struct {
	transport.Server
	limit  *stopLimit
	logger hclog.Logger
}

// Stop stops the server.
func (s *limitedServer) Stop(ctx context.Context) error {
	until := s.limit.until.Load()
	if until == nil {
		return s.Server.Stop(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, *until)
	defer cancel()
	err := s.Server.Stop(ctx)
	if err == nil || !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	s.logger.Warn("not stopped in time", "Event", EventStopIncomplete, "Error", err)
	return s.giveUp()
}

func (s *limitedServer) giveUp() error {
	switch server := s.Server.(type) {
	case *khttp.Server:
		return server.Close()
	case *Runner:
		server.abandon()
	}
	return nil
}
