package httpexchange

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// script handles one request on a connection; it returns false to close the connection.
type script func(t *testing.T, conn net.Conn, reader *bufio.Reader) bool

// server runs the scripts in their order, one for each request, on any number of
// connections.
type server struct {
	t        *testing.T
	listener net.Listener

	mu      sync.Mutex
	scripts []script
	// requests holds the method, target and body of each request that was read.
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
		// The script is removed only when a request arrives, so that an idle connection does not
		// use it up.
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

// readRequest reads a request and records it.
func (s *server) readRequest(reader *bufio.Reader) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	body, _ := io.ReadAll(request.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, request.Method+" "+request.RequestURI+" "+string(body))
}

// received returns the requests that were read.
func (s *server) received() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.requests...)
}

// respond returns a script that reads the request and then writes the response.
func (s *server) respond(response string, keepOpen bool) script {
	return func(_ *testing.T, conn net.Conn, reader *bufio.Reader) bool {
		s.readRequest(reader)
		fmt.Fprint(conn, response)
		return keepOpen
	}
}

func responseFor(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func (s *server) addScripts(scripts ...script) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scripts = append(s.scripts, scripts...)
}

// exchange sends a call and returns the response body, or the error of Exchange or of the body.
func exchange(t *testing.T, client *Client, s *server, id string, body string) (string, error) {
	t.Helper()
	return exchangeAt(t, client, s.listener.Addr().String(), id, body)
}

// exchangeAt is like exchange, with the server at the address.
func exchangeAt(t *testing.T, client *Client, address, id, body string) (string, error) {
	t.Helper()
	response, err := client.Exchange(t.Context(), winch.ExchangeCall{
		Address: address, Peer: "p", Method: "POST", Target: "/a%2fb?q=%20", Host: "h", Header: http.Header{},
		Body: []byte(body), ID: id, IDHeader: "X-Id",
	})
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	return string(read), err
}

func assertResponse(t *testing.T, client *Client, s *server, id, want string) {
	t.Helper()
	got, err := exchange(t, client, s, id, "x")
	assert.NilError(t, err)
	assert.Equal(t, got, want)
}

func assertConnections(t *testing.T, s *server, want int) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Equal(t, s.conns, want)
}
