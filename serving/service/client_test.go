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

// cutter answers the first request of each connection and cuts the connection after it
// has read the second, as a service does that dies after executing a call.
type cutter struct {
	listener net.Listener
	executed atomic.Int64
}

func newCutter(t *testing.T) *cutter {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	c := &cutter{listener: listener}
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

func (c *cutter) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for number := 0; ; number++ {
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

// executions sends a call after the client has an idle connection, and counts how often it arrives.
func executions(t *testing.T, client *Client, call winch.Call) int64 {
	t.Helper()
	c := newCutter(t)
	endpoint := winch.Endpoint{ID: "s", Address: c.listener.Addr().String()}
	warm := winch.Call{Method: http.MethodGet, Path: "/warm", Repeatable: true}
	reply, err := client.Send(t.Context(), endpoint, warm)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, reply.Body)
	assert.NilError(t, err)
	assert.NilError(t, reply.Body.Close())
	_, err = client.Send(t.Context(), endpoint, call)
	assert.ErrorIs(t, err, winch.ErrOutcomeUnknown)
	return c.executed.Load()
}

func TestNoSilentRepeat(t *testing.T) {
	keyed := http.Header{"Idempotency-Key": {"k"}}
	calls := []struct {
		name string
		call winch.Call
		// repeats: Go's transport repeats the call by itself.
		repeats bool
	}{
		{"keyed with body", winch.Call{Method: "POST", Path: "/hold", Header: keyed, Body: []byte("{}")}, true},
		{"keyed without body", winch.Call{Method: "POST", Path: "/hold", Header: keyed}, true},
		{"without body", winch.Call{Method: "GET", Path: "/confirm"}, true},
		{"deletion", winch.Call{Method: "DELETE", Path: "/hold/7", Header: keyed}, true},
		{"with body", winch.Call{Method: "POST", Path: "/hold", Body: []byte("{}")}, false},
	}
	for _, c := range calls {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, executions(t, New(Options{}), c.call), int64(1))
		})
		t.Run(c.name+", repeatable, on the reused connection", func(t *testing.T) {
			call := c.call
			call.Repeatable = true
			assert.Equal(t, executions(t, New(Options{}), call), int64(1))
		})
		t.Run(c.name+", guard off", func(t *testing.T) {
			got := executions(t, New(Options{unguarded: true}), c.call)
			assert.Equal(t, got > 1, c.repeats, "executed %d times", got)
		})
	}
}

func TestErrorsTellWhetherAnythingWasSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	_, err = New(Options{}).Send(t.Context(), winch.Endpoint{Address: listener.Addr().String()}, winch.Call{Method: "POST", Path: "/"})
	assert.ErrorIs(t, err, winch.ErrUnavailable)
}

func TestCrossedAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Request-Id", "another")
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	call := winch.Call{Request: "mine", Method: "POST", Path: "/"}
	_, err = New(Options{}).Send(t.Context(), winch.Endpoint{Address: listener.Addr().String()}, call)
	assert.ErrorIs(t, err, winch.ErrCrossed)
}
