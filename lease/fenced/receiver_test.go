package fenced

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/httpjson"
)

type order struct {
	Number  int64
	ID      string
	Padding string
}

// receiver accepts orders. It rejects orders with an old fencing number only if
// checksFencing is set.
type receiver struct {
	checksFencing bool

	mu       sync.Mutex
	highest  int64
	accepted []order
	// violations counts the orders that were accepted after an order of a later term.
	violations int
}

func (r *receiver) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	received := order{}
	if err := httpjson.Decode(w, request, 8<<20, &received); err != nil {
		httpjson.WriteError(w, err)
		return
	}
	if !r.accept(received) {
		httpjson.WriteError(w, winch.ErrFenced)
		return
	}
	httpjson.Write(w, http.StatusOK, struct{}{})
}

func (r *receiver) accept(received order) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.checksFencing && received.Number < r.highest {
		return false
	}
	if received.Number < r.highest {
		r.violations++
	}
	r.highest = max(r.highest, received.Number)
	r.accepted = append(r.accepted, received)
	return true
}

func (r *receiver) counts() (accepted, violations int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.accepted), r.violations
}

func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	return address(start(t, httptest.NewUnstartedServer(handler)))
}

func start(t *testing.T, server *httptest.Server) *httptest.Server {
	t.Helper()
	server.Start()
	t.Cleanup(server.Close)
	return server
}

func address(server *httptest.Server) string { return strings.TrimPrefix(server.URL, "http://") }

// readDelay is how long a delayedConn leaves received bytes unread.
const readDelay = 30 * time.Millisecond

// delayedListener accepts connections that are read with a delay, as on a busy machine.
type delayedListener struct{ net.Listener }

// Accept returns the next connection.
func (l delayedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return delayedConn{conn}, err
}

type delayedConn struct{ net.Conn }

// Read reads one byte, waits for readDelay, and then reads what has arrived.
func (c delayedConn) Read(into []byte) (int, error) {
	if len(into) < 2 {
		return c.Conn.Read(into)
	}
	if _, err := c.Conn.Read(into[:1]); err != nil {
		return 0, err
	}
	time.Sleep(readDelay)
	_ = c.Conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	more, err := c.Conn.Read(into[1:])
	_ = c.Conn.SetReadDeadline(time.Time{})
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = nil
	}
	return 1 + more, err
}

// delayedReceiver is a receiver behind a server that reads with a delay. Open counts the
// open connections.
type delayedReceiver struct {
	receiver
	server *httptest.Server
	open   atomic.Int64
}

func newDelayedReceiver(t *testing.T, checksFencing bool) *delayedReceiver {
	t.Helper()
	delayed := &delayedReceiver{receiver: receiver{checksFencing: checksFencing}}
	server := httptest.NewUnstartedServer(&delayed.receiver)
	server.Listener = delayedListener{server.Listener}
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			delayed.open.Add(1)
		case http.StateClosed:
			delayed.open.Add(-1)
		}
	}
	delayed.server = start(t, server)
	return delayed
}

// waitIdle waits until everything that stopped senders had sent is read and processed.
// Connections are accepted in order, so once the connection of the request below is accepted,
// all earlier ones have been counted.
func (r *delayedReceiver) waitIdle(t *testing.T) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, r.server.URL, nil)
	assert.NilError(t, err)
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	waitFor(t, "the receiver to close all connections", func() bool { return r.open.Load() == 0 })
}
