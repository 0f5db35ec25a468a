package exact

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/arbutuswinch/winch"
)

// script is what a server does with one request on a connection; it returns false to close it.
type script func(t *testing.T, conn net.Conn, reader *bufio.Reader) bool

// server plays scripts, one for each request it reads, on any number of connections.
type server struct {
	t        *testing.T
	listener net.Listener

	mu      sync.Mutex
	scripts []script
	// requests are the heads and bodies that were read.
	requests []string
	conns    int
}

func newServer(t *testing.T, scripts ...script) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &server{t: t, listener: listener, scripts: scripts}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
	return s
}

func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		s.mu.Lock()
		if len(s.scripts) == 0 {
			s.mu.Unlock()
			return
		}
		next := s.scripts[0]
		s.mu.Unlock()
		if _, err := reader.Peek(1); err != nil {
			return
		}
		s.mu.Lock()
		s.scripts = s.scripts[1:]
		s.mu.Unlock()
		if !next(s.t, conn, reader) {
			return
		}
	}
}

// read reads a request and keeps it.
func (s *server) read(reader *bufio.Reader) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	body, _ := io.ReadAll(request.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, request.Method+" "+request.RequestURI+" "+string(body))
}

// seen returns the requests that were read.
func (s *server) seen() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.requests...)
}

// reading reads the request, and then writes the answer.
func (s *server) reading(answer string, keep bool) script {
	return func(_ *testing.T, conn net.Conn, reader *bufio.Reader) bool {
		s.read(reader)
		fmt.Fprint(conn, answer)
		return keep
	}
}

func answerOf(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func (s *server) play(scripts ...script) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scripts = append(s.scripts, scripts...)
}

// call sends a call and returns the body, or the error of the head or the body.
func call(t *testing.T, client *Client, s *server, id string, body string) (string, error) {
	t.Helper()
	answer, err := client.Exchange(t.Context(), winch.ExchangeCall{
		Address: s.listener.Addr().String(), Peer: "p", Method: "POST", Target: "/a%2fb?q=%20", Host: "h", Header: http.Header{},
		Body: []byte(body), ID: id, IDHeader: "X-Id",
	})
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	read, err := io.ReadAll(answer.Body)
	return string(read), err
}

func assertAnswer(t *testing.T, client *Client, s *server, id, want string) {
	t.Helper()
	got, err := call(t, client, s, id, "x")
	assert.NilError(t, err)
	assert.Equal(t, got, want)
}

func assertConnections(t *testing.T, s *server, want int) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Equal(t, s.conns, want)
}

func TestBytesAsTheyAre(t *testing.T) {
	s := newServer(t)
	s.play(s.reading(answerOf("1", "ok"), true))
	assertAnswer(t, New(Options{}), s, "1", "ok")
	assert.DeepEqual(t, s.seen(), []string{"POST /a%2fb?q=%20 x"})
}

func TestConnections(t *testing.T) {
	t.Run("are used again", func(t *testing.T) {
		s, client := newServer(t), New(Options{})
		s.play(s.reading(answerOf("1", "a"), true), s.reading(answerOf("2", "b"), true))
		assertAnswer(t, client, s, "1", "a")
		assertAnswer(t, client, s, "2", "b")
		assertConnections(t, s, 1)
	})
	t.Run("not after the server says close", func(t *testing.T) {
		s, client := newServer(t), New(Options{})
		closing := strings.Replace(answerOf("1", "a"), "Keep-Alive: timeout=5", "Connection: close", 1)
		s.play(s.reading(closing, true), s.reading(answerOf("2", "b"), true))
		assertAnswer(t, client, s, "1", "a")
		assertAnswer(t, client, s, "2", "b")
		assertConnections(t, s, 2)
	})
	t.Run("not after the server closed them", func(t *testing.T) {
		s, client := newServer(t), New(Options{})
		s.play(s.reading(answerOf("1", "a"), false), s.reading(answerOf("2", "b"), true))
		assertAnswer(t, client, s, "1", "a")
		waitUnsound(t, client)
		assertAnswer(t, client, s, "2", "b")
		assertConnections(t, s, 2)
	})
	t.Run("not after bytes that belong to no call", func(t *testing.T) {
		s, client := newServer(t), New(Options{})
		s.play(s.reading(answerOf("1", "a")+answerOf("1", "again"), true), s.reading(answerOf("2", "b"), true))
		assertAnswer(t, client, s, "1", "a")
		assertAnswer(t, client, s, "2", "b")
		assertConnections(t, s, 2)
	})
	t.Run("not after the time that the server states, less a margin", func(t *testing.T) {
		kept := &conn{keepUntil: time.Unix(100, 0), reader: bufio.NewReader(strings.NewReader(""))}
		assert.Assert(t, !kept.sound(time.Unix(101, 0)))
		assert.Equal(t, keepTime(http.Header{"Keep-Alive": {"timeout=10, max=4"}}), 6*time.Second)
		assert.Equal(t, keepTime(http.Header{"Keep-Alive": {"timeout=0"}}), time.Duration(0))
		assert.Equal(t, keepTime(http.Header{}), unstatedKeep)
	})
	t.Run("not shared by two servers with one address", func(t *testing.T) {
		assert.Assert(t, poolKey(winch.ExchangeCall{Peer: "a", Address: "x"}) != poolKey(winch.ExchangeCall{Peer: "b", Address: "x"}))
	})
	t.Run("are closed when their time is over", func(t *testing.T) {
		s, client := newServer(t), New(Options{})
		s.play(s.reading(answerOf("1", "a"), true))
		assertAnswer(t, client, s, "1", "a")
		client.prune(time.Now().Add(time.Hour))
		assert.Equal(t, len(client.idle), 0)
	})
}

// waitUnsound waits until the kept connection shows that the server closed it.
func waitUnsound(t *testing.T, client *Client) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		client.mu.Lock()
		defer client.mu.Unlock()
		for _, kept := range client.idle {
			if kept[0].sound(time.Now()) {
				return poll.Continue("still sound")
			}
		}
		return poll.Success()
	})
}

func TestAnswersOfOtherCalls(t *testing.T) {
	t.Run("are skipped when they come late", func(t *testing.T) {
		s, client := newServer(t), New(Options{})
		s.play(s.reading(answerOf("1", "a"), true), s.reading(answerOf("1", "again")+answerOf("2", "b"), true), s.reading(answerOf("3", "c"), true))
		assertAnswer(t, client, s, "1", "a")
		assertAnswer(t, client, s, "2", "b")
		assertAnswer(t, client, s, "3", "c")
		assertConnections(t, s, 2)
	})
	t.Run("end the call when nothing else comes", func(t *testing.T) {
		s := newServer(t)
		s.play(s.reading(answerOf("other", "a"), false))
		_, err := call(t, New(Options{}), s, "1", "x")
		assert.ErrorIs(t, err, winch.ErrOutcomeUnknown)
	})
	t.Run("are not taken for it when they name no call", func(t *testing.T) {
		s := newServer(t)
		s.play(s.reading("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", false))
		_, err := call(t, New(Options{}), s, "1", "x")
		assert.ErrorIs(t, err, winch.ErrOutcomeUnknown)
	})
}

func TestBodies(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
	cases := []struct {
		name   string
		answer string
		body   string
		whole  bool
	}{
		{"by length", head + "Content-Length: 2\r\n\r\nok", "ok", true},
		{"shorter than its length", head + "Content-Length: 5\r\n\r\nok", "", false},
		{"in chunks", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok", true},
		{"chunks without the last", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", "", false},
		{"to the end of the connection", head + "\r\nok", "ok", true},
		{"no answer in the protocol", "nonsense\r\n\r\n", "", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newServer(t)
			s.play(s.reading(c.answer, false))
			got, err := call(t, New(Options{}), s, "1", "x")
			assert.Equal(t, err == nil, c.whole, "%v", err)
			if c.whole {
				assert.Equal(t, got, c.body)
			}
		})
	}
	t.Run("to the end of a connection that is reset", func(t *testing.T) {
		s := newServer(t)
		s.play(func(_ *testing.T, conn net.Conn, reader *bufio.Reader) bool {
			s.read(reader)
			fmt.Fprint(conn, head+"\r\nok")
			_ = conn.(*net.TCPConn).SetLinger(0)
			return false
		})
		_, err := call(t, New(Options{}), s, "1", "x")
		assert.Assert(t, err != nil)
	})
}

func TestOutcome(t *testing.T) {
	t.Run("nothing was written", func(t *testing.T) {
		s := newServer(t)
		assert.NilError(t, s.listener.Close())
		_, err := call(t, New(Options{}), s, "1", "x")
		assert.ErrorIs(t, err, winch.ErrUnavailable)
	})
	t.Run("unknown when the connection breaks, and the call is not repeated", func(t *testing.T) {
		s, client := newServer(t), New(Options{})
		cut := func(_ *testing.T, _ net.Conn, reader *bufio.Reader) bool {
			s.read(reader)
			return false
		}
		s.play(s.reading(answerOf("1", "a"), true), cut, s.reading(answerOf("2", "b"), true))
		assertAnswer(t, client, s, "1", "a")
		_, err := call(t, client, s, "2", "x")
		assert.ErrorIs(t, err, winch.ErrOutcomeUnknown)
		assert.Equal(t, len(s.seen()), 2)
	})
	t.Run("the context ends the call and its connection", func(t *testing.T) {
		s := newServer(t)
		closed := make(chan struct{})
		s.play(func(_ *testing.T, _ net.Conn, reader *bufio.Reader) bool {
			s.read(reader)
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

func TestEarlyAnswer(t *testing.T) {
	// The server answers before it has read a long body, and would read on later.
	long := strings.Repeat("x", 8<<20)
	s, client := newServer(t), New(Options{})
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	s.play(func(_ *testing.T, conn net.Conn, _ *bufio.Reader) bool {
		fmt.Fprint(conn, answerOf("1", "early"))
		<-hold
		return false
	}, s.reading(answerOf("2", "b"), true))
	got, err := call(t, client, s, "1", long)
	assert.NilError(t, err)
	assert.Equal(t, got, "early")
	assertAnswer(t, client, s, "2", "b")
	assertConnections(t, s, 2)
}
