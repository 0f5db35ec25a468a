package forward

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/connlimit"
	"github.com/arbutuswinch/winch/internal/memory"
)

// limitConnections serves the callers of the test through a listener as the product has it.
func (ts *testServer) limitConnections() {
	ts.t.Helper()
	limiter, err := connlimit.New(connlimit.Options{Port: "caller", Budget: ts.server.options.Memory, Logger: hclog.NewNullLogger()})
	assert.NilError(ts.t, err)
	ts.httpServer.Close()
	ts.httpServer = httptest.NewUnstartedServer(ts.server.Handler())
	ts.httpServer.Config.ConnState = limiter.Observe
	ts.httpServer.Listener = limiter.Listener(ts.httpServer.Listener)
	ts.httpServer.Start()
	ts.t.Cleanup(ts.httpServer.Close)
}

// setMemory replaces the budget of the server.
func (ts *testServer) setMemory(size int64) *memory.Budget {
	budget := memory.NewBudget(size)
	ts.server.options.Memory = budget
	ts.server.answers, ts.server.events = budget.Part(keptAnswersSize), budget.Part(largeEventsSize)
	return budget
}

// rawCaller is a caller that writes the bytes of a request itself.
type rawCaller struct {
	net.Conn
	t *testing.T
}

// dial opens a connection and begins a request whose header ends with the given line.
func (ts *testServer) dial(line string) *rawCaller {
	ts.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(ts.httpServer.URL, "http://"))
	assert.NilError(ts.t, err)
	ts.t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(ts.t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	c := &rawCaller{Conn: conn, t: ts.t}
	c.send("POST /safe/x HTTP/1.1\r\nHost: a.example\r\nX-Id: r1\r\nX-Key: " + secret + "\r\n" + line + "\r\n\r\n")
	return c
}

func (c *rawCaller) send(text string) {
	c.t.Helper()
	_, err := c.Write([]byte(text))
	assert.NilError(c.t, err)
}

// response returns the status and the body of the response, and whether the connection is closed after it.
func (c *rawCaller) response() (status int, body string, closed bool) {
	c.t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(c.t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	assert.NilError(c.t, err)
	return response.StatusCode, string(text), response.Close
}

func waitForUse(t *testing.T, budget *memory.Budget, what string, met func(used int64) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if used := budget.Usage().Used; !met(used) {
			return poll.Continue("%s: %d used", what, used)
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(20*time.Second))
}

// TestDeclaredLengthTakesNoMemory guards against memory for a body that has not arrived (review/2).
func TestDeclaredLengthTakesNoMemory(t *testing.T) {
	const callers = 32
	ts := newTestServer(t)
	before := runtime.MemStats{}
	runtime.ReadMemStats(&before)
	for range callers {
		ts.dial(fmt.Sprintf("Content-Length: %d", 4<<20))
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ts.server.Open() < callers {
			return poll.Continue("requests to be open")
		}
		return poll.Success()
	})
	after := runtime.MemStats{}
	runtime.ReadMemStats(&after)
	assert.Assert(t, after.TotalAlloc-before.TotalAlloc < callers<<20, "%d bytes", after.TotalAlloc-before.TotalAlloc)
}

func TestBodiesBeyondTheBudgetAreRefused(t *testing.T) {
	const size = 1 << 20
	begin := func(ts *testServer, line string) *rawCaller {
		c := ts.dial(line)
		if strings.HasPrefix(line, "Transfer") {
			c.send(fmt.Sprintf("%x\r\n", size))
		}
		// Short of its end, so that the request stays open.
		c.send(strings.Repeat("x", size-1))
		return c
	}
	for name, line := range map[string]string{"declared length": fmt.Sprintf("Content-Length: %d", size), "chunks": "Transfer-Encoding: chunked"} {
		t.Run(name, func(t *testing.T) {
			ts := newTestServer(t, stubResponse{status: 200, body: "answer"}, stubResponse{status: 200, body: "answer"})
			budget := ts.setMemory(3 << 20)
			first := begin(ts, line)
			waitForUse(t, budget, "the first body", func(used int64) bool { return used >= size })
			refused := ts.dial(fmt.Sprintf("Content-Length: %d", 4*size))
			status, text, closed := refused.response()
			assert.Equal(t, status, http.StatusServiceUnavailable)
			assert.Equal(t, text, "no_memory: the request was not run\n")
			assert.Assert(t, closed)
			assert.Equal(t, ts.post("/safe/x").status, 200, "a small request is served beside")
			end := "x"
			if line == "Transfer-Encoding: chunked" {
				end = "x\r\n0\r\n\r\n"
			}
			first.send(end)
			status, _, _ = first.response()
			assert.Equal(t, status, 200)
			waitForUse(t, budget, "all bytes to be given back", func(used int64) bool { return used == 0 })
		})
	}
}

func TestBodyWaitsShortlyForRoom(t *testing.T) {
	const size = 1 << 20
	ts := newTestServer(t, stubResponse{status: 200, body: "answer"}, stubResponse{status: 200, body: "answer"})
	budget := ts.setMemory(2 << 20)
	first := ts.dial(fmt.Sprintf("Content-Length: %d", size))
	first.send(strings.Repeat("x", size-1))
	waitForUse(t, budget, "the first body", func(used int64) bool { return used >= size })
	second := ts.dial(fmt.Sprintf("Content-Length: %d", size))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ts.server.bodyWaiters.Load() == 0 {
			return poll.Continue("the second to wait")
		}
		return poll.Success()
	})
	first.send("x")
	second.send(strings.Repeat("x", size))
	for _, c := range []*rawCaller{first, second} {
		status, _, _ := c.response()
		assert.Equal(t, status, 200)
	}
}

func TestStalledBodyMakesRoom(t *testing.T) {
	const size = 1 << 20
	ts := newTestServer(t, stubResponse{status: 200, body: "answer"})
	budget := ts.setMemory(2 << 20)
	stalled := ts.dial(fmt.Sprintf("Content-Length: %d", size))
	stalled.send(strings.Repeat("x", size-1))
	waitForUse(t, budget, "the first body", func(used int64) bool { return used >= size })
	time.Sleep(stalledTime + progressInterval)
	second := ts.dial(fmt.Sprintf("Content-Length: %d", size))
	second.send(strings.Repeat("x", size))
	status, _, _ := second.response()
	assert.Equal(t, status, 200)
	status, text, closed := stalled.response()
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, text, "no_memory: the request was not run\n")
	assert.Assert(t, closed)
}

func allowLongRequests(c *winch.Configuration) {
	for i := range c.Forwards {
		c.Forwards[i].Timeout = time.Minute
	}
}

func TestSlowBodies(t *testing.T) {
	t.Run("one that stops is given up", func(t *testing.T) {
		ts := newTestServer(t)
		ts.change(allowLongRequests)
		c := ts.dial("Content-Length: 100000")
		c.send("xxx")
		began := time.Now()
		status, text, closed := c.response()
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Equal(t, text, "body_stalled: the request was not run\n")
		assert.Assert(t, closed)
		assert.Assert(t, time.Since(began) >= progressTime)
	})
	t.Run("one that goes on slowly is served", func(t *testing.T) {
		ts := newTestServer(t, stubResponse{status: 200, body: "answer"})
		ts.change(allowLongRequests)
		c := ts.dial("Content-Length: 100000")
		for range 20 {
			c.send(strings.Repeat("x", 5000))
			time.Sleep(progressTime / 12)
			ts.mu.Lock()
			ts.confirmed = time.Now()
			ts.mu.Unlock()
		}
		status, _, _ := c.response()
		assert.Equal(t, status, 200)
	})
	t.Run("one that is not there at the deadline is refused", func(t *testing.T) {
		ts := newTestServer(t)
		c := ts.dial("X-Timeout: 300ms\r\nContent-Length: 100000")
		c.send("xxx")
		status, text, _ := c.response()
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Equal(t, text, "deadline: the request was not run\n")
	})
}

func TestTrailerTakesMemory(t *testing.T) {
	ts := newTestServer(t, stubResponse{status: 200, body: "answer"})
	ts.setMemory(64 << 10)
	c := ts.dial("Trailer: a\r\nTransfer-Encoding: chunked")
	trailer := bytes.Buffer{}
	for number := range 300 {
		fmt.Fprintf(&trailer, "a%d:\r\n", number)
	}
	c.send("1\r\nx\r\n0\r\n" + trailer.String() + "\r\n")
	status, text, _ := c.response()
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, text, "no_memory: the request was not run\n")
}
