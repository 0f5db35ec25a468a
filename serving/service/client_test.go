package service

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// closingServer answers requests for /warm. After any other request it closes the connection
// without a response, like a service that crashes after it has executed the call.
type closingServer struct {
	listener net.Listener
	executed atomic.Int64
}

func newClosingServer(t *testing.T) *closingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	c := &closingServer{listener: listener}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	return c
}

func (c *closingServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for handled := 0; ; handled++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if request.URL.Path != "/warm" {
			c.executed.Add(1)
			return
		}
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

// countExecutions sends a call while the client has an idle connection, and returns how often
// the call arrives.
func countExecutions(t *testing.T, client *Client, call winch.Call) int64 {
	t.Helper()
	c := newClosingServer(t)
	endpoint := winch.Endpoint{ID: "s", Address: c.listener.Addr().String()}
	warmUp := winch.Call{Method: http.MethodGet, Path: "/warm", Repeatable: true}
	reply, err := client.Send(t.Context(), endpoint, warmUp)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, reply.Body)
	assert.NilError(t, err)
	assert.NilError(t, reply.Body.Close())
	_, err = client.Send(t.Context(), endpoint, call)
	assert.ErrorIs(t, err, winch.ErrOutcomeUnknown)
	return c.executed.Load()
}

func TestNoAutomaticRetry(t *testing.T) {
	withKey := http.Header{"Idempotency-Key": {"k"}}
	calls := []struct {
		name string
		call winch.Call
		// retriedByNetHTTP reports whether http.Transport retries the call if it may.
		retriedByNetHTTP bool
	}{
		{"idempotency key, with body", winch.Call{Method: "POST", Path: "/hold", Header: withKey, Body: []byte("{}")}, true},
		{"idempotency key, without body", winch.Call{Method: "POST", Path: "/hold", Header: withKey}, true},
		{"GET without body", winch.Call{Method: "GET", Path: "/confirm"}, true},
		{"deletion", winch.Call{Method: "DELETE", Path: "/hold/7", Header: withKey}, true},
		{"POST with body", winch.Call{Method: "POST", Path: "/hold", Body: []byte("{}")}, false},
	}
	for _, c := range calls {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, countExecutions(t, New(Options{}), c.call), int64(1))
		})
		t.Run(c.name+", repeatable, on a reused connection", func(t *testing.T) {
			call := c.call
			call.Repeatable = true
			assert.Equal(t, countExecutions(t, New(Options{}), call), int64(1))
		})
		t.Run(c.name+", with the retries of net/http", func(t *testing.T) {
			executed := countExecutions(t, New(Options{allowRetries: true}), c.call)
			assert.Equal(t, executed > 1, c.retriedByNetHTTP, "executed %d times", executed)
		})
	}
}

func TestRefusedConnectionIsUnavailable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	_, err = New(Options{}).Send(t.Context(), winch.Endpoint{Address: listener.Addr().String()}, winch.Call{Method: "POST", Path: "/"})
	assert.ErrorIs(t, err, winch.ErrUnavailable)
}

func TestResponseMismatch(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Request-Id", "another")
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	call := winch.Call{Request: "mine", Method: "POST", Path: "/"}
	_, err = New(Options{}).Send(t.Context(), winch.Endpoint{Address: listener.Addr().String()}, call)
	assert.ErrorIs(t, err, winch.ErrResponseMismatch)
}
