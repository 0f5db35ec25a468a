package faults

import (
	"io"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// linkState is the state of a link for the traffic of one source.
type linkState int

const (
	linkOpen linkState = iota
	// linkFrozen accepts connections and bytes but delivers nothing until the link is open again.
	linkFrozen
	// linkCut closes connections and rejects new ones.
	linkCut
)

// link is a TCP proxy to a target that can inject faults for each source IP address.
type link struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	changed *sync.Cond
	states  map[string]linkState
	conns   map[net.Conn]string
	closed  bool
}

func newLink(t *testing.T, target string) *link {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &link{listener: listener, target: target, states: map[string]linkState{}, conns: map[net.Conn]string{}}
	l.changed = sync.NewCond(&l.mu)
	go l.accept()
	t.Cleanup(l.close)
	return l
}

func (l *link) address() string { return l.listener.Addr().String() }

// setState changes the state of the link for connections of the source.
func (l *link) setState(source string, state linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.states[source] = state
	if state == linkCut {
		for conn, from := range l.conns {
			if from == source {
				_ = conn.Close()
			}
		}
	}
	l.changed.Broadcast()
}

func (l *link) close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for conn := range l.conns {
		_ = conn.Close()
	}
	l.changed.Broadcast()
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(conn)
	}
}

func (l *link) serve(conn net.Conn) {
	defer conn.Close()
	source := conn.RemoteAddr().(*net.TCPAddr).IP.String()
	if !l.register(conn, source) || !l.waitOpen(source) {
		return
	}
	defer l.unregister(conn)
	target, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer target.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.copy(target, conn, source)
		_ = target.(*net.TCPConn).CloseWrite()
	}()
	l.copy(conn, target, source)
	_ = conn.Close()
	<-done
}

func (l *link) register(conn net.Conn, source string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.states[source] == linkCut {
		return false
	}
	l.conns[conn] = source
	return true
}

func (l *link) unregister(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

// waitOpen waits while the source's traffic is frozen, and reports whether the link is open for it then.
func (l *link) waitOpen(source string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.states[source] == linkFrozen && !l.closed {
		l.changed.Wait()
	}
	return !l.closed && l.states[source] == linkOpen
}

func (l *link) copy(to io.Writer, from io.Reader, source string) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !l.waitOpen(source) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
