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
	"errors"
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
	// ConnectionCost is the memory in bytes of a connection: half for buffers, goroutines and the head of a request of usual size, and
	// half for received bytes that are not read yet.
	ConnectionCost = 48 << 10
	// defaultMax is the default of Options.Max.
	defaultMax = 4096
	// fairShare bounds how many connections one address has: fairShare times the number that is still free, so at most three
	// quarters of all.
	fairShare = 3
	// retryAccept is how long Accept waits after it refused a connection, so that many refusals do not use up the processor.
	retryAccept = time.Millisecond
)

// Options are the dependencies and limits of a limiter. Budget and Logger are required.
type Options struct {
	// Port names the port in logs and metrics.
	Port   string
	Budget *memory.Budget
	// Rank is the rank of the connections' claims for memory.
	Rank memory.Rank
	// Max is the maximum number of open connections; zero means the default.
	Max int
	// WriteTime is the maximum time of a write of up to 64 KiB. ReadTime is the time within which a client has to send 4 KiB of a
	// body that the server waits for. Zero means the defaults of 30 s and 10 s.
	WriteTime, ReadTime time.Duration
	Logger              hclog.Logger
	Meter               metric.Meter
}

// Limiter limits the connections of one port. It is safe for concurrent use.
type Limiter struct {
	options Options
	// now is the time of the last check in nanoseconds since the Unix epoch. Reads and writes use it instead of the clock, which
	// would cost a call for each.
	now    atomic.Int64
	counts counts
	// bodyBuffers is the memory for raised receive buffers.
	bodyBuffers *memory.Shared

	// checking is held during a check of all connections. It protects conn.progressAt and conn.progressReceived.
	checking sync.Mutex

	// mu protects the fields below.
	mu    sync.Mutex
	conns map[*conn]struct{}
	// perAddress is the number of open connections by client address.
	perAddress map[netip.Addr]int
}

// New returns a limiter. The error matches winch.ErrInvalid if an option is missing.
func New(options Options) (*Limiter, error) {
	if options.Budget == nil || options.Logger == nil {
		return nil, fmt.Errorf("check options of connection limiter: Budget or Logger is missing: %w", winch.ErrInvalid)
	}
	options.Max = cmp.Or(options.Max, defaultMax)
	options.WriteTime = cmp.Or(options.WriteTime, defaultWriteTime)
	options.ReadTime = cmp.Or(options.ReadTime, defaultReadTime)
	options.Meter = cmp.Or[metric.Meter](options.Meter, noop.Meter{})
	l := &Limiter{options: options, conns: map[*conn]struct{}{}, perAddress: map[netip.Addr]int{}}
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

// Observe tracks the requests of connections. It has to be the ConnState of the server.
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
	case http.StateHijacked:
		limited.hijack()
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

// Accept returns the next connection for which there is room, and closes those for which there is none.
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
	if !l.makeRoom(address) {
		l.counts.refused.Add(1)
		return nil
	}
	c := &conn{Conn: inner, limiter: l, address: address}
	c.since.Store(l.now.Load())
	c.tcp = tcpOf(inner)
	c.claim = l.options.Budget.Open(memory.Holder{Address: address, Rank: l.options.Rank})
	if err := c.claim.Take(ConnectionCost); err != nil && !l.takeAfterEnding(c, errors.Is(err, memory.ErrClientShare)) {
		c.claim.Close()
		l.counts.noMemory.Add(1)
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	l.perAddress[address]++
	return c
}

// takeAfterEnding ends connections and takes memory for the new one. If own is set, because its address holds its share, only those of
// the address are ended.
func (l *Limiter) takeAfterEnding(c *conn, own bool) bool {
	return l.endSome(c.address, own) && c.claim.Take(ConnectionCost) == nil
}

// makeRoom reports whether the address may have another connection. If necessary, it ends others first.
func (l *Limiter) makeRoom(address netip.Addr) bool {
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
	return l.perAddress[address] < fairShare*(l.options.Max-len(l.conns))
}

// endSome ends connections to make room and reports whether it ended any. If own is set, it ends only those of the address.
func (l *Limiter) endSome(address netip.Addr, own bool) bool {
	l.mu.Lock()
	candidates := make([]candidate, 0, len(l.conns))
	for c := range l.conns {
		if !own || c.address == address {
			candidates = append(candidates, c.candidate())
		}
	}
	l.mu.Unlock()
	ended := false
	for _, c := range choose(candidates, l.now.Load(), l.options.Max) {
		if c.conn.candidate().activity == working {
			// A request has arrived since.
			continue
		}
		c.conn.endFor(causeRoom)
		ended = true
	}
	return ended
}

// remove forgets a closed connection.
func (l *Limiter) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, found := l.conns[c]; !found {
		return
	}
	delete(l.conns, c)
	if l.perAddress[c.address]--; l.perAddress[c.address] == 0 {
		delete(l.perAddress, c.address)
	}
}
