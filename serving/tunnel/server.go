package tunnel

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/httpjson"
)

const (
	// maxTunnels is the number of tunnels that lead through a host at the same time. Each takes two descriptors.
	maxTunnels = 256
	// drainCheck is the interval at which a host that stops checks whether tunnels are open.
	drainCheck = 10 * time.Millisecond
)

// server opens tunnels for other hosts.
type server struct {
	dialer *Dialer

	open     atomic.Int64
	draining atomic.Bool
}

// Handler serves tunnels to other hosts under Prefix. It does not authenticate its callers; the server that mounts it must.
func (d *Dialer) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+connectPath, d.server.serve)
	return mux
}

// Drain refuses new tunnels and waits until those that lead through this host have ended, or until ctx ends.
func (d *Dialer) Drain(ctx context.Context) {
	d.RefuseNew()
	ticker := time.NewTicker(drainCheck)
	defer ticker.Stop()
	for d.server.open.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			d.options.Logger.Warn("tunnels of other hosts ended at the drain timeout", "Event", EventDrainIncomplete, "Open", d.server.open.Load())
			return
		}
	}
}

// RefuseNew refuses new tunnels from now on.
func (d *Dialer) RefuseNew() { d.server.draining.Store(true) }

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	call := connectCall{}
	if err := httpjson.Decode(w, r, maxCallBytes, &call); err != nil {
		httpjson.WriteError(w, err)
		return
	}
	if err := s.begin(call); err != nil {
		count(s.dialer.metrics.served, resultRefused)
		httpjson.WriteError(w, err)
		return
	}
	defer s.open.Add(-1)
	endpoint, err := s.dialer.dialDirect(r.Context(), winch.EndpointID(call.Endpoint), call.Address, relayTimeout)
	if err != nil {
		count(s.dialer.metrics.served, resultNotReached)
		if errors.Is(err, unix.ECONNREFUSED) {
			w.Header().Set(endpointRefusedHeader, "1")
		}
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	count(s.dialer.metrics.served, resultOpened)
	s.copy(w, endpoint, isFramed(r.Header))
}

// begin checks whether this host may open the tunnel. Without an error, the tunnel counts as open.
func (s *server) begin(call connectCall) error {
	now := s.dialer.options.Clock.Now()
	switch {
	case s.draining.Load():
		return fmt.Errorf("open tunnel: this host stops: %w", winch.ErrUnavailable)
	case s.dialer.paths.isCutOff(now):
		return fmt.Errorf("open tunnel: this host does not reach the endpoints either: %w", winch.ErrUnavailable)
	case !s.dialer.isListed(winch.EndpointID(call.Endpoint), call.Address):
		return fmt.Errorf("open tunnel: endpoint %q at %q is not listed: %w", call.Endpoint, call.Address, winch.ErrNotFound)
	}
	if s.open.Add(1) > maxTunnels {
		s.open.Add(-1)
		return fmt.Errorf("open tunnel: %d are open: %w", maxTunnels, winch.ErrUnavailable)
	}
	return nil
}

// errEarlyBytes: the other host has sent bytes before it had the response.
var errEarlyBytes = errors.New("bytes before the response")

// copy accepts the call and copies bytes between the two connections until one of them ends. It sends frames if the other host reads them.
func (s *server) copy(w http.ResponseWriter, endpoint *net.TCPConn, framed bool) {
	caller, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		reset(endpoint)
		return
	}
	err = caller.SetDeadline(time.Time{})
	if buffered.Reader.Buffered() > 0 {
		err = errEarlyBytes
	}
	if err == nil {
		_, err = io.WriteString(caller, acceptedHead(framed))
	}
	if err != nil {
		reset(endpoint)
		_ = caller.Close()
		return
	}
	(&splice{caller: caller, callerTCP: tcpOf(caller), endpoint: endpoint, framed: framed}).run()
}

func acceptedHead(framed bool) string {
	if framed {
		return acceptedFramed
	}
	return accepted
}
