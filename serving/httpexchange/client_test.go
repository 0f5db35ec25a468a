package httpexchange

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/arbutuswinch/winch"
)

func TestRequestSentUnchanged(t *testing.T) {
	s := newServer(t)
	s.addScripts(s.respond(responseFor("1", "ok"), true))
	assertResponse(t, New(Options{}), s, "1", "ok")
	assert.DeepEqual(t, s.received(), []string{"POST /a%2fb?q=%20 x"})
}

func TestConnectionReuse(t *testing.T) {
	t.Run("after a complete response", func(t *testing.T) {
		s, client := newServer(t), New(Options{})
		s.addScripts(s.respond(responseFor("1", "a"), true), s.respond(responseFor("2", "b"), true))
		assertResponse(t, client, s, "1", "a")
		assertResponse(t, client, s, "2", "b")
		assertConnections(t, s, 1)
	})
	t.Run("not after Connection: close", func(t *testing.T) {
		s, client := newServer(t), New(Options{})
		closing := strings.Replace(responseFor("1", "a"), "Keep-Alive: timeout=5", "Connection: close", 1)
		s.addScripts(s.respond(closing, true), s.respond(responseFor("2", "b"), true))
		assertResponse(t, client, s, "1", "a")
		assertResponse(t, client, s, "2", "b")
		assertConnections(t, s, 2)
	})
	t.Run("not after the server closed the connection", func(t *testing.T) {
		s, client := newServer(t), New(Options{})
		s.addScripts(s.respond(responseFor("1", "a"), false), s.respond(responseFor("2", "b"), true))
		assertResponse(t, client, s, "1", "a")
		waitUntilUnusable(t, client)
		assertResponse(t, client, s, "2", "b")
		assertConnections(t, s, 2)
	})
	t.Run("not after unexpected bytes", func(t *testing.T) {
		s, client := newServer(t), New(Options{})
		s.addScripts(s.respond(responseFor("1", "a")+responseFor("1", "again"), true), s.respond(responseFor("2", "b"), true))
		assertResponse(t, client, s, "1", "a")
		assertResponse(t, client, s, "2", "b")
		assertConnections(t, s, 2)
	})
	t.Run("not after a fraction of the time that the server states", func(t *testing.T) {
		idle := &conn{idleUntil: time.Unix(100, 0), reader: bufio.NewReader(strings.NewReader(""))}
		assert.Assert(t, !idle.usable(time.Unix(101, 0)))
		assert.Equal(t, idleTime(http.Header{"Keep-Alive": {"timeout=10, max=4"}}), 6*time.Second)
		assert.Equal(t, idleTime(http.Header{"Keep-Alive": {"timeout=0"}}), time.Duration(0))
		assert.Equal(t, idleTime(http.Header{}), defaultIdleTime)
	})
	t.Run("not for another peer at the same address", func(t *testing.T) {
		assert.Assert(t, poolKey(winch.ExchangeCall{Peer: "a", Address: "x"}) != poolKey(winch.ExchangeCall{Peer: "b", Address: "x"}))
	})
	t.Run("expired connections are closed", func(t *testing.T) {
		s, client := newServer(t), New(Options{})
		s.addScripts(s.respond(responseFor("1", "a"), true))
		assertResponse(t, client, s, "1", "a")
		client.prune(time.Now().Add(time.Hour))
		assert.Equal(t, len(client.idle), 0)
	})
}

// waitUntilUnusable waits until the client can detect that the server closed the idle
// connection.
func waitUntilUnusable(t *testing.T, client *Client) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		client.mu.Lock()
		defer client.mu.Unlock()
		for _, conns := range client.idle {
			if conns[0].usable(time.Now()) {
				return poll.Continue("still usable")
			}
		}
		return poll.Success()
	})
}

func TestMismatchedResponses(t *testing.T) {
	t.Run("late response to another call is skipped", func(t *testing.T) {
		s, client := newServer(t), New(Options{})
		s.addScripts(s.respond(responseFor("1", "a"), true), s.respond(responseFor("1", "again")+responseFor("2", "b"), true), s.respond(responseFor("3", "c"), true))
		assertResponse(t, client, s, "1", "a")
		assertResponse(t, client, s, "2", "b")
		assertResponse(t, client, s, "3", "c")
		assertConnections(t, s, 2)
	})
	t.Run("call fails if only a response to another call comes", func(t *testing.T) {
		s := newServer(t)
		s.addScripts(s.respond(responseFor("other", "a"), false))
		_, err := exchange(t, New(Options{}), s, "1", "x")
		assert.ErrorIs(t, err, winch.ErrOutcomeUnknown)
	})
	t.Run("response with the IDs of several calls is not accepted", func(t *testing.T) {
		for _, status := range []string{"200 OK", "503 Service Unavailable"} {
			for _, ids := range []string{"X-Id: 1\r\nX-Id: 2", "X-Id: 2\r\nX-Id: 1"} {
				s := newServer(t)
				s.addScripts(s.respond("HTTP/1.1 "+status+"\r\n"+ids+"\r\nContent-Length: 1\r\n\r\na"+responseFor("1", "b"), false))
				_, err := exchange(t, New(Options{}), s, "1", "x")
				assert.ErrorIs(t, err, winch.ErrResponseMismatch)
			}
		}
	})
	t.Run("response with its ID twice is accepted", func(t *testing.T) {
		s := newServer(t)
		s.addScripts(s.respond("HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\na", false))
		got, err := exchange(t, New(Options{}), s, "1", "x")
		assert.NilError(t, err)
		assert.Equal(t, got, "a")
	})
	t.Run("success response without an ID is not accepted", func(t *testing.T) {
		s := newServer(t)
		s.addScripts(s.respond("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", false))
		_, err := exchange(t, New(Options{}), s, "1", "x")
		assert.ErrorIs(t, err, winch.ErrOutcomeUnknown)
	})
}

func TestBodyFraming(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
	cases := []struct {
		name     string
		answer   string
		body     string
		complete bool
	}{
		{"complete by Content-Length", head + "Content-Length: 2\r\n\r\nok", "ok", true},
		{"shorter than Content-Length", head + "Content-Length: 5\r\n\r\nok", "", false},
		{"chunked encoding", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok", true},
		{"chunked encoding without the last chunk", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", "", false},
		{"until the connection is closed", head + "\r\nok", "ok", true},
		{"not HTTP", "nonsense\r\n\r\n", "", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newServer(t)
			s.addScripts(s.respond(c.answer, false))
			got, err := exchange(t, New(Options{}), s, "1", "x")
			assert.Equal(t, err == nil, c.complete, "%v", err)
			if c.complete {
				assert.Equal(t, got, c.body)
			}
		})
	}
	t.Run("until the connection is reset", func(t *testing.T) {
		s := newServer(t)
		s.addScripts(func(_ *testing.T, conn net.Conn, reader *bufio.Reader) bool {
			s.readRequest(reader)
			fmt.Fprint(conn, head+"\r\nok")
			_ = conn.(*net.TCPConn).SetLinger(0)
			return false
		})
		_, err := exchange(t, New(Options{}), s, "1", "x")
		assert.Assert(t, err != nil)
	})
}

func TestErrors(t *testing.T) {
	t.Run("ErrUnavailable if nothing was written", func(t *testing.T) {
		s := newServer(t)
		assert.NilError(t, s.listener.Close())
		_, err := exchange(t, New(Options{}), s, "1", "x")
		assert.ErrorIs(t, err, winch.ErrUnavailable)
	})
	t.Run("ErrOutcomeUnknown if the connection breaks, and the call is not retried", func(t *testing.T) {
		s, client := newServer(t), New(Options{})
		breakConnection := func(_ *testing.T, _ net.Conn, reader *bufio.Reader) bool {
			s.readRequest(reader)
			return false
		}
		s.addScripts(s.respond(responseFor("1", "a"), true), breakConnection, s.respond(responseFor("2", "b"), true))
		assertResponse(t, client, s, "1", "a")
		_, err := exchange(t, client, s, "2", "x")
		assert.ErrorIs(t, err, winch.ErrOutcomeUnknown)
		assert.Equal(t, len(s.received()), 2)
	})
	t.Run("the end of the context ends the call and closes its connection", func(t *testing.T) {
		s := newServer(t)
		closed := make(chan struct{})
		s.addScripts(func(_ *testing.T, _ net.Conn, reader *bufio.Reader) bool {
			s.readRequest(reader)
			_, err := reader.ReadByte()
			assert.Assert(t, err != nil)
			close(closed)
			return false
		})
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := New(Options{}).Exchange(ctx, winch.ExchangeCall{
			Address: s.listener.Addr().String(), Method: "GET", Target: "/", Host: "h", ID: "1", IDHeader: "X-Id",
		})
		assert.ErrorIs(t, err, winch.ErrOutcomeUnknown)
		<-closed
	})
}

func TestEarlyResponse(t *testing.T) {
	// The server responds before it has read a long body, and leaves the rest unread.
	long := strings.Repeat("x", 8<<20)
	s, client := newServer(t), New(Options{})
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	s.addScripts(func(_ *testing.T, conn net.Conn, _ *bufio.Reader) bool {
		fmt.Fprint(conn, responseFor("1", "early"))
		<-hold
		return false
	}, s.respond(responseFor("2", "b"), true))
	got, err := exchange(t, client, s, "1", long)
	assert.NilError(t, err)
	assert.Equal(t, got, "early")
	assertResponse(t, client, s, "2", "b")
	assertConnections(t, s, 2)
}

// repeatsItself returns a server that answers the first call with the earlier response. A second call on the same connection gets
// that once more before its own answer, one on a new connection only its own.
func repeatsItself(t *testing.T, earlier, own string) *server {
	s := newServer(t)
	var used net.Conn
	first := func(t *testing.T, conn net.Conn, reader *bufio.Reader) bool {
		used = conn
		return s.respond(earlier, true)(t, conn, reader)
	}
	second := func(t *testing.T, conn net.Conn, reader *bufio.Reader) bool {
		if conn == used {
			return s.respond(earlier+own, true)(t, conn, reader)
		}
		return s.respond(own, true)(t, conn, reader)
	}
	s.addScripts(first, second)
	return s
}

// A server writes its refusal of a call once more when the same call comes again on the same connection.
func TestEarlierRefusalIsNotTheAnswerToTheSameCall(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Id: 1\r\nKeep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\nfull"
	s, client := repeatsItself(t, refusal, responseFor("1", "own")), New(Options{})
	defer client.Close()
	assertResponse(t, client, s, "1", "full")
	response, err := client.Exchange(t.Context(), winch.ExchangeCall{
		Address: s.listener.Addr().String(), Peer: "p", Method: "POST", Target: "/", Host: "h", Header: http.Header{}, ID: "1", IDHeader: "X-Id",
		NewConnection: true,
	})
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.Status, http.StatusOK)
}

// A copy of a response without an ID cannot be told from the answer to the next call.
func TestLateCopyOfAResponseWithoutIDIsNotTheNextAnswer(t *testing.T) {
	const failure = "HTTP/1.1 500 Internal Server Error\r\nKeep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\nfail"
	s, client := repeatsItself(t, failure, responseFor("2", "own")), New(Options{})
	defer client.Close()
	assertResponse(t, client, s, "1", "fail")
	assertResponse(t, client, s, "2", "own")
}

// A refusal, or another failure, that bears no ID may be bytes that belong to no call if its connection has carried another exchange.
func TestFailureWithoutIDProvesNothingOnAConnectionThatHasCarriedAnotherExchange(t *testing.T) {
	const keptOpen = "Keep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n"
	failures := map[string]string{
		"408": "HTTP/1.1 408 Request Timeout\r\n", "421": "HTTP/1.1 421 Misdirected Request\r\n", "429": "HTTP/1.1 429 Too Many Requests\r\n",
		"500": "HTTP/1.1 500 Internal Server Error\r\n", "503": "HTTP/1.1 503 Service Unavailable\r\nX-Refused: 1\r\n",
	}
	for name, failure := range failures {
		t.Run(name+" on a kept connection", func(t *testing.T) {
			s, client := newServer(t), New(Options{})
			defer client.Close()
			s.addScripts(s.respond(responseFor("1", "a"), true), s.respond(failure+keptOpen+responseFor("2", "b"), true), s.respond(responseFor("3", "c"), true))
			assertResponse(t, client, s, "1", "a")
			_, err := exchange(t, client, s, "2", "x")
			assert.ErrorIs(t, err, winch.ErrOutcomeUnknown)
			assert.ErrorIs(t, err, winch.ErrResponseMismatch)
			assert.Equal(t, len(s.received()), 2, "the call is not sent again")
			assertResponse(t, client, s, "3", "c")
			assertConnections(t, s, 2)
		})
		t.Run(name+" after a response to another call", func(t *testing.T) {
			s, client := newServer(t), New(Options{})
			s.addScripts(s.respond(responseFor("other", "a")+failure+keptOpen, true))
			_, err := exchange(t, client, s, "1", "x")
			assert.ErrorIs(t, err, winch.ErrOutcomeUnknown)
		})
		t.Run(name+" on a new connection", func(t *testing.T) {
			s, client := newServer(t), New(Options{})
			s.addScripts(s.respond(failure+keptOpen, true))
			assertResponse(t, client, s, "1", "")
		})
		t.Run(name+" with the ID of the call", func(t *testing.T) {
			s, client := newServer(t), New(Options{})
			defer client.Close()
			s.addScripts(s.respond(responseFor("1", "a"), true), s.respond(failure+"X-Id: 2\r\n"+keptOpen, true))
			assertResponse(t, client, s, "1", "a")
			assertResponse(t, client, s, "2", "")
			assertConnections(t, s, 1)
		})
	}
}

// The response to a call without an ID can't be told from bytes that belong to no call, unless it is the first on its connection.
func TestCallWithoutIDGetsANewConnection(t *testing.T) {
	const stray = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
	const report = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nreport"
	s, client := newServer(t), New(Options{})
	defer client.Close()
	var used net.Conn
	first := func(t *testing.T, conn net.Conn, reader *bufio.Reader) bool {
		used = conn
		return s.respond(responseFor("1", "a"), true)(t, conn, reader)
	}
	second := func(t *testing.T, conn net.Conn, reader *bufio.Reader) bool {
		if conn == used {
			return s.respond(stray, false)(t, conn, reader)
		}
		return s.respond(report, false)(t, conn, reader)
	}
	s.addScripts(first, second)
	assertResponse(t, client, s, "1", "a")
	assertResponse(t, client, s, "", "report")
}
