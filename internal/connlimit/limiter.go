// Package connlimit bounds what the connections of a server hold: their number, the heads of requests, the bytes in the kernel's
// buffers, and the time without progress.
//
// # Usage
//
//	limiter, err := connlimit.New(connlimit.Options{Port: "caller", Budget: budget, Max: 2000, Logger: logger})
//	if err != nil {
//		return err
//	}
//	server := &http.Server{Handler: handler, ConnState: limiter.Observe}
//	return server.Serve(limiter.Listener(listener))
package connlimit

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/memory"
)

const (
	// ConnectionCost is the memory in bytes of a connection: half for buffers, goroutines and a head of a request of usual size, and
	// half for what the kernel receives before it is read.
	ConnectionCost = 48 << 10
	// defaultMax is the default of Options.Max.
	defaultMax = 4096
	// fairShare bounds how many connections one address has: fairShare times the number that is still free.
	fairShare = 3
	// retryAccept is how long Accept waits after a refused connection if the port is full, so that a crowd does not take the processor.
	retryAccept = time.Millisecond
)

// Options are the dependencies and limits of a limiter. Budget and Logger are required.
type Options struct {
	// Port names the port in logs and metrics.
	Port   string
	Budget *memory.Budget
	// Rank is the rank of the connections' claims for memory.
	Rank memory.Rank
	// Max is the maximum number of open connections.
	Max int
	// WriteTime is how long a client may take to read a piece of writeSize bytes; ReadTime is the time within which it has to
	// send progressBytes of a body that the server waits for. Zero means the defaults.
	WriteTime, ReadTime time.Duration
	Logger              hclog.Logger
	Meter               metric.Meter
}

// Limiter limits the connections of one port. It is safe for concurrent use.
type Limiter struct {
	options Options
	// now is the time of the last check in nanoseconds. Reads and writes use it in place of the clock.
	now    atomic.Int64
	counts counts
	// bodyBuffers is the memory for raised receive buffers.
	bodyBuffers *memory.Shared

	// checking is held during a check of all connections, whose figures of progress it protects.
	checking sync.Mutex

	mu     sync.Mutex
	conns  map[*conn]struct{}
	shares map[netip.Addr]int
}

// New checks the options and returns a limiter.
func New(options Options) (*Limiter, error) {
	if options.Budget == nil || options.Logger == nil {
		return nil, fmt.Errorf("check options of connection limiter: Budget or Logger is missing: %w", winch.ErrInvalid)
	}
	options.Max = cmp.Or(options.Max, defaultMax)
	options.WriteTime = cmp.Or(options.WriteTime, defaultWriteTime)
	options.ReadTime = cmp.Or(options.ReadTime, defaultReadTime)
	options.Meter = cmp.Or[metric.Meter](options.Meter, noop.Meter{})
	l := &Limiter{options: options, conns: map[*conn]struct{}{}, shares: map[netip.Addr]int{}}
	l.bodyBuffers = options.Budget.Part(options.Budget.Usage().Size / bodyBuffersShare)
	l.now.Store(time.Now().UnixNano())
	if err := l.export(options.Meter); err != nil {
		return nil, err
	}
	return l, nil
}

// Listener returns a listener whose connections are limited. They are watched until it is closed.
func (l *Limiter) Listener(inner net.Listener) net.Listener {
	if tcp := listenerOf(inner); tcp != nil {
		l.boundBuffers(tcp)
	}
	limited := &listener{Listener: inner, limiter: l, done: make(chan struct{})}
	go l.watch(limited.done)
	return limited
}

// Observe is the ConnState of the server.
func (l *Limiter) Observe(c net.Conn, state http.ConnState) {
	limited, found := c.(*conn)
	if !found {
		return
	}
	switch state {
	case http.StateActive:
		limited.begin()
	case http.StateIdle:
		limited.finish()
	}
}

// Open returns the number of open connections.
func (l *Limiter) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

type listener struct {
	net.Listener
	limiter *Limiter
	once    sync.Once
	done    chan struct{}
}

// Accept returns the next connection for which there is room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if limited := l.limiter.admit(inner); limited != nil {
			return limited, nil
		}
		_ = inner.Close()
		time.Sleep(retryAccept)
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// admit returns the limited connection, or nil if there is no room for it.
func (l *Limiter) admit(inner net.Conn) net.Conn {
	address := netip.Addr{}
	if remote, isTCP := inner.RemoteAddr().(*net.TCPAddr); isTCP {
		address = remote.AddrPort().Addr().Unmap()
	}
	if !l.hasRoom(address) {
		l.counts.refused.Add(1)
		return nil
	}
	c := &conn{Conn: inner, limiter: l, address: address}
	c.since.Store(l.now.Load())
	c.tcp = tcpOf(inner)
	c.claim = l.options.Budget.Open(memory.Holder{Address: address, Rank: l.options.Rank})
	if c.claim.Take(ConnectionCost) != nil && !(l.endSome(address, false) && c.claim.Take(ConnectionCost) == nil) {
		c.claim.Close()
		l.counts.noMemory.Add(1)
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	l.shares[address]++
	return c
}

// hasRoom reports whether there may be another connection of the address. It ends others to make room.
func (l *Limiter) hasRoom(address netip.Addr) bool {
	if l.options.Rank == memory.RankEssential {
		return l.isBelowMax() || l.endSome(address, false)
	}
	if !l.isBelowMax() {
		return l.endSome(address, false)
	}
	return l.isBelowShare(address) || l.endSome(address, true)
}

func (l *Limiter) isBelowMax() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) < l.options.Max
}

func (l *Limiter) isBelowShare(address netip.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shares[address] < fairShare*(l.options.Max-len(l.conns))
}

// endSome ends connections, those of the address only if own is set, and reports whether there were any.
func (l *Limiter) endSome(address netip.Addr, own bool) bool {
	l.mu.Lock()
	candidates := make([]candidate, 0, len(l.conns))
	for c := range l.conns {
		if !own || c.address == address {
			candidates = append(candidates, c.candidate())
		}
	}
	l.mu.Unlock()
	chosen := choose(candidates, l.now.Load(), l.options.Max)
	for _, c := range chosen {
		c.conn.endFor(causeRoom)
	}
	return len(chosen) > 0
}

// remove forgets a closed connection.
func (l *Limiter) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, found := l.conns[c]; !found {
		return
	}
	delete(l.conns, c)
	if l.shares[c.address]--; l.shares[c.address] == 0 {
		delete(l.shares, c.address)
	}
}
