// Package tunnel connects to endpoints through other hosts while this host does not reach them itself.
//
// A host can lose its links to some or all endpoints while callers and the other hosts still reach it. It then asks another host to
// connect to the endpoint and to copy bytes both ways. All decisions about a request stay with the host that has the caller: to the
// exchange, the tunnel is a connection like any other. A tunnel leads through one other host, which connects directly or refuses, and
// carries one exchange. While endpoints are reached directly, no other host is asked.
//
// # Usage
//
//	dialer, err := tunnel.New(tunnel.Options{Membership: table, Endpoints: source, Clock: clock, Logger: logger})
//	if err != nil {
//		return err
//	}
//	dialer.Connect(secret)
//	mux.Handle(tunnel.Prefix, dialer.Handler())
//	go dialer.Run(ctx)
//	client := httpexchange.New(httpexchange.Options{Dialer: dialer})
package tunnel

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/periodic"
)

const (
	defaultDialTimeout = 400 * time.Millisecond
	// relayTimeout limits the time in which a host connects to an endpoint for another one, which then has time left to ask a second host.
	relayTimeout = 180 * time.Millisecond
	// forgetEvery is the interval at which endpoints that are no longer listed are forgotten.
	forgetEvery = 10 * time.Second
	// The keep-alive probes detect a failed link of a connection that carries nothing.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// Options are the dependencies and settings of a Dialer. Meter may be nil, and DialTimeout zero.
type Options struct {
	Membership winch.Membership
	Endpoints  winch.EndpointSource
	Clock      winch.Clock
	Logger     hclog.Logger
	Meter      metric.Meter
	// DialTimeout bounds the time to open a direct connection, and that to open a tunnel. The default is 400 ms.
	DialTimeout time.Duration
	// Control is called before each connection is opened; see net.Dialer.ControlContext. It may be nil.
	Control func(ctx context.Context, network, address string, raw syscall.RawConn) error
}

// Dialer implements winch.EndpointDialer, and serves tunnels to other hosts.
type Dialer struct {
	options Options
	dialer  net.Dialer
	paths   *paths
	hosts   *relays
	server  *server
	metrics *metrics
	// secret is that of the hosts. It is nil until it is known.
	secret atomic.Pointer[string]
}

var (
	_ winch.EndpointDialer   = (*Dialer)(nil)
	_ winch.ConnectionProber = (*Dialer)(nil)
)

// New checks the options and returns a dialer. It opens no tunnels before Connect is called.
func New(options Options) (*Dialer, error) {
	if options.Membership == nil || options.Endpoints == nil || options.Clock == nil || options.Logger == nil {
		return nil, fmt.Errorf("create tunnel dialer: Membership, Endpoints, Clock and Logger are required: %w", winch.ErrInvalid)
	}
	options.DialTimeout = cmp.Or(options.DialTimeout, defaultDialTimeout)
	options.Meter = cmp.Or[metric.Meter](options.Meter, noop.Meter{})
	d := &Dialer{
		options: options, paths: newPaths(), hosts: newRelays(options.Membership),
		dialer: net.Dialer{
			ControlContext:  options.Control,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		},
	}
	d.server = &server{dialer: d}
	built, err := newMetrics(options.Meter, d.server.open.Load, d.paths.detours)
	if err != nil {
		return nil, err
	}
	d.metrics = built
	return d, nil
}

// Connect sets the secret that the hosts share.
func (d *Dialer) Connect(secret string) { d.secret.Store(&secret) }

// Run forgets endpoints that are no longer listed until ctx is done. It returns nil.
func (d *Dialer) Run(ctx context.Context) error {
	return periodic.Run(ctx, forgetEvery, func(context.Context) {
		listed := map[winch.EndpointID]bool{}
		for _, status := range d.options.Endpoints.Endpoints() {
			listed[status.Endpoint.ID] = true
		}
		d.paths.keep(func(endpoint winch.EndpointID) bool { return listed[endpoint] })
	})
}

func (d *Dialer) now() time.Time { return d.options.Clock.Now() }

// isListed reports whether the endpoint is listed at the address.
func (d *Dialer) isListed(endpoint winch.EndpointID, address string) bool {
	return slices.ContainsFunc(d.options.Endpoints.Endpoints(), func(status winch.EndpointStatus) bool {
		return status.Endpoint.ID == endpoint && status.Endpoint.Address == address
	})
}

// ObserveSilence implements winch.EndpointDialer.
func (d *Dialer) ObserveSilence(endpoint winch.EndpointID) {
	d.paths.observeDirect(d.now(), endpoint, false)
}

// attempt is the result of one of the two ways to connect.
type attempt struct {
	connection winch.EndpointConnection
	err        error
}

// DialEndpoint implements winch.EndpointDialer. It returns the first connection of the two ways that are planned.
func (d *Dialer) DialEndpoint(ctx context.Context, endpoint winch.EndpointID, address string) (winch.EndpointConnection, error) {
	began := d.now()
	chosen := d.paths.plan(began, endpoint)
	if chosen.tunnel && d.secret.Load() == nil {
		chosen = plan{direct: true}
	}
	if !chosen.tunnel {
		return d.direct(ctx, endpoint, address)
	}
	race := &race{results: make(chan attempt, 2)}
	if chosen.direct {
		race.begin(func() (winch.EndpointConnection, error) {
			// It goes on after the tunnel was faster, to find out whether the endpoint can be reached.
			return d.direct(context.WithoutCancel(ctx), endpoint, address)
		})
	}
	race.begin(func() (winch.EndpointConnection, error) {
		return d.tunnel(ctx, began, endpoint, address)
	})
	return race.first(ctx)
}

// direct connects to the endpoint, and records whether that succeeds.
func (d *Dialer) direct(ctx context.Context, endpoint winch.EndpointID, address string) (winch.EndpointConnection, error) {
	tcp, err := d.dialDirect(ctx, endpoint, address, d.options.DialTimeout)
	return winch.EndpointConnection{TCPConn: tcp}, err
}

// dialDirect connects to the endpoint within the limit.
func (d *Dialer) dialDirect(ctx context.Context, endpoint winch.EndpointID, address string, limit time.Duration) (*net.TCPConn, error) {
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	tcp, err := d.dial(limited, address)
	if err != nil && ctx.Err() != nil {
		// The caller has given up, which says nothing of the endpoint.
		return nil, err
	}
	if d.paths.observeDirect(d.now(), endpoint, err == nil) {
		d.options.Logger.Info("endpoint is reached directly again", "Event", EventDetourEnded, "Endpoint", string(endpoint))
	}
	return tcp, err
}

func (d *Dialer) dial(ctx context.Context, address string) (*net.TCPConn, error) {
	dialed, err := d.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect: %w: %w", winch.ErrUnavailable, err)
	}
	return dialed.(*net.TCPConn), nil
}

// tunnel opens a tunnel to the endpoint, in an attempt to connect that began at the given time, and records whether that succeeds.
func (d *Dialer) tunnel(ctx context.Context, began time.Time, endpoint winch.EndpointID, address string) (winch.EndpointConnection, error) {
	limited, cancel := context.WithTimeout(ctx, d.options.DialTimeout)
	defer cancel()
	connection, err := d.openTunnel(limited, endpoint, address)
	switch {
	case err == nil:
		count(d.metrics.requested, resultOpened)
		if d.paths.observeTunnel(d.now(), began, endpoint, true) {
			d.options.Logger.Warn("endpoint is reached through other hosts only", "Event", EventDetourBegan, "Endpoint", string(endpoint))
		}
	case errors.Is(err, errNotReached):
		count(d.metrics.requested, resultNotReached)
		d.paths.observeTunnel(d.now(), began, endpoint, false)
	default:
		count(d.metrics.requested, resultRefused)
	}
	return connection, err
}

// openTunnel asks hosts one after another for a tunnel.
func (d *Dialer) openTunnel(ctx context.Context, endpoint winch.EndpointID, address string) (winch.EndpointConnection, error) {
	call, last := connectCall{Endpoint: string(endpoint), Address: address}, error(errRefused)
	notReached := 0
	for _, host := range d.hosts.choose(d.now()) {
		connection, err := d.tunnelThrough(ctx, host, call)
		if err == nil {
			return connection, nil
		}
		if ctx.Err() != nil {
			break
		}
		last = err
		d.hosts.avoid(d.now(), host.ID)
		if errors.Is(err, errNotReached) {
			if notReached++; notReached >= enoughNotReached {
				return winch.EndpointConnection{}, err
			}
		}
	}
	if errors.Is(last, errNotReached) {
		// A single host that does not reach the endpoint may be cut off as well.
		last = errRefused
	}
	return winch.EndpointConnection{}, fmt.Errorf("open tunnel: %w: %w", winch.ErrUnavailable, last)
}

func (d *Dialer) tunnelThrough(ctx context.Context, host winch.Host, call connectCall) (winch.EndpointConnection, error) {
	tcp, err := d.dial(ctx, host.PeerAddress)
	if err != nil {
		return winch.EndpointConnection{}, err
	}
	framed, err := requestTunnel(ctx, tcp, *d.secret.Load(), call)
	if err != nil {
		_ = tcp.Close()
		return winch.EndpointConnection{}, err
	}
	return winch.EndpointConnection{TCPConn: tcp, Relayed: true, Incoming: newIncoming(tcp, framed)}, nil
}

// race collects the results of the two ways to connect.
type race struct {
	results chan attempt
	begun   int

	mu  sync.Mutex
	won bool
}

// begin runs one of the ways. Its connection is closed if the other way was faster.
func (r *race) begin(connect func() (winch.EndpointConnection, error)) {
	r.begun++
	go func() {
		connection, err := connect()
		r.mu.Lock()
		defer r.mu.Unlock()
		if err == nil && r.won {
			_ = connection.Close()
			return
		}
		r.won = r.won || err == nil
		r.results <- attempt{connection: connection, err: err}
	}()
}

// first returns the first connection, or the error of the first way if all fail.
func (r *race) first(ctx context.Context) (winch.EndpointConnection, error) {
	var failed error
	for range r.begun {
		select {
		case result := <-r.results:
			if result.err == nil {
				return result.connection, nil
			}
			failed = cmp.Or(failed, result.err)
		case <-ctx.Done():
			r.abandon()
			return winch.EndpointConnection{}, fmt.Errorf("connect: %w: %w", winch.ErrUnavailable, ctx.Err())
		}
	}
	return winch.EndpointConnection{}, failed
}

// abandon closes the connection that was opened, if any, and those that still are.
func (r *race) abandon() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.won = true
	for {
		select {
		case result := <-r.results:
			if result.err == nil {
				_ = result.connection.Close()
			}
		default:
			return
		}
	}
}
