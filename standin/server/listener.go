package server

import (
	"fmt"
	"net"
	"sync"
)

// listener is a net.Listener that can stop listening and listen again at the same address.
type listener struct {
	address net.Addr

	mu      sync.Mutex
	bound   net.Listener
	conns   map[*conn]struct{}
	resumed chan struct{}
	closed  bool
}

func newListener(bound net.Listener) *listener {
	return &listener{address: bound.Addr(), bound: bound, conns: map[*conn]struct{}{}, resumed: make(chan struct{})}
}

// Accept returns the next connection. While connections are refused, it waits until the
// listener is restored or closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		bound, resumed, closed := l.current()
		if closed {
			return nil, net.ErrClosed
		}
		if bound == nil {
			<-resumed
			continue
		}
		accepted, err := bound.Accept()
		if err == nil {
			return l.track(accepted), nil
		}
		if !l.closedByListener(bound) {
			return nil, fmt.Errorf("accept: %w", err)
		}
	}
}

func (l *listener) current() (net.Listener, chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bound, l.resumed, l.closed
}

// closedByListener reports whether the error of an accept on bound comes from refuse or Close.
func (l *listener) closedByListener(bound net.Listener) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bound != bound || l.closed
}

func (l *listener) track(accepted net.Conn) net.Conn {
	tracked := &conn{Conn: accepted, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	// If refuse ran after the accept, the connection is reset like the others. The server, which still
	// gets it, finds it closed.
	if l.bound == nil {
		reset(accepted)
	}
	l.conns[tracked] = struct{}{}
	return tracked
}

// Addr returns the address, also while connections are refused.
func (l *listener) Addr() net.Addr { return l.address }

// Close closes the listener for good.
func (l *listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	if l.bound == nil {
		close(l.resumed)
		return nil
	}
	return l.bound.Close()
}

func (l *listener) refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bound == nil || l.closed {
		return
	}
	bound := l.bound
	l.bound = nil
	l.resumed = make(chan struct{})
	_ = bound.Close()
	for tracked := range l.conns {
		reset(tracked.Conn)
	}
	clear(l.conns)
}

func (l *listener) restore() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bound != nil || l.closed {
		return nil
	}
	bound, err := net.Listen("tcp", l.address.String())
	if err != nil {
		return fmt.Errorf("listen again: %w", err)
	}
	l.bound = bound
	close(l.resumed)
	return nil
}

// reset closes the connection with SO_LINGER 0, so that the peer gets a TCP reset, as from a
// killed process.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// conn is a connection that its listener tracks in order to reset it.
type conn struct {
	net.Conn
	listener *listener
}

// Close closes the connection and stops tracking it.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
