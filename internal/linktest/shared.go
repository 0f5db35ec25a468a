package linktest

import (
	"io"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Shared is a link that several callers use, told apart by the IP address from which they connect. The connections of a caller can be
// interrupted while those of the others go on.
type Shared struct {
	listener net.Listener
	upstream string

	mu sync.Mutex
	// frozen holds the callers whose connections carry nothing.
	frozen map[string]bool
	open   map[string]map[*sharedConn]bool
}

// sharedConn is a connection of a caller and the one to the upstream address that belongs to it.
type sharedConn struct {
	caller, upstream net.Conn
	// frozen is closed once the connection carries nothing any more.
	frozen chan struct{}
}

// NewShared starts a link to the upstream address. It is closed at the end of the test.
func NewShared(t *testing.T, upstream string) *Shared {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &Shared{listener: listener, upstream: upstream, frozen: map[string]bool{}, open: map[string]map[*sharedConn]bool{}}
	t.Cleanup(func() { _ = listener.Close() })
	go s.accept()
	return s
}

// Address returns the IP address and port that callers connect to.
func (s *Shared) Address() string { return s.listener.Addr().String() }

// Freeze makes the open connections of the caller carry nothing until Heal closes them. New ones are closed at once.
func (s *Shared) Freeze(caller string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen[caller] = true
	for c := range s.open[caller] {
		c.freeze()
	}
}

// Reset resets the open connections of the caller.
func (s *Shared) Reset(caller string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open[caller] {
		c.close()
	}
}

// Heal ends Freeze. What was sent meanwhile is lost, and the connections that were open are reset.
func (s *Shared) Heal(caller string) {
	s.mu.Lock()
	wasFrozen := s.frozen[caller]
	delete(s.frozen, caller)
	s.mu.Unlock()
	if wasFrozen {
		s.Reset(caller)
	}
}

func (s *Shared) accept() {
	for {
		accepted, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(accepted)
	}
}

func (s *Shared) serve(accepted net.Conn) {
	host, _, err := net.SplitHostPort(accepted.RemoteAddr().String())
	if err != nil {
		_ = accepted.Close()
		return
	}
	upstream, err := net.Dial("tcp", s.upstream)
	if err != nil {
		_ = accepted.Close()
		return
	}
	c := &sharedConn{caller: accepted, upstream: upstream, frozen: make(chan struct{})}
	if !s.add(host, c) {
		c.close()
		return
	}
	defer s.remove(host, c)
	ended := make(chan struct{}, 2)
	go c.relay(c.upstream, c.caller, ended)
	go c.relay(c.caller, c.upstream, ended)
	<-ended
	// Neither end of an exchange goes on once the other has closed its half.
	_ = c.caller.Close()
	_ = c.upstream.Close()
	<-ended
}

// add reports whether the connection may be used.
func (s *Shared) add(host string, c *sharedConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen[host] {
		return false
	}
	if s.open[host] == nil {
		s.open[host] = map[*sharedConn]bool{}
	}
	s.open[host][c] = true
	return true
}

func (s *Shared) remove(host string, c *sharedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open[host], c)
}

func (c *sharedConn) freeze() {
	select {
	case <-c.frozen:
	default:
		close(c.frozen)
	}
}

// relay copies bytes until an end closes the connection. Once the connection is frozen it discards them.
func (c *sharedConn) relay(to io.Writer, from io.Reader, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buffer := make([]byte, 16<<10)
	for {
		count, err := from.Read(buffer)
		select {
		case <-c.frozen:
		default:
			if count > 0 {
				if _, err := to.Write(buffer[:count]); err != nil {
					return
				}
			}
		}
		if err != nil {
			return
		}
	}
}

// close resets both ends, so that no byte that is still on its way arrives.
func (c *sharedConn) close() {
	for _, end := range []net.Conn{c.caller, c.upstream} {
		if tcp, isTCP := end.(*net.TCPConn); isTCP {
			_ = tcp.SetLinger(0)
		}
		_ = end.Close()
	}
}
