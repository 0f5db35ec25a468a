// Package http1test has servers whose responses break the rules of HTTP/1.1, for tests of clients.
//
// # Usage
//
//	for name, response := range http1test.Malformed("X-Id: 1") {
//		t.Run(name, func(t *testing.T) {
//			address := http1test.Respond(t, response)
//			...
//		})
//	}
package http1test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// UploadSize is the size of a body in bytes that is far above what the buffers of a connection hold, so that it is still being written when an
// early response arrives.
const UploadSize = 16 << 20

// serverTimeout ends connections that a failed test left open.
const serverTimeout = 10 * time.Second

// Malformed returns responses by what is wrong with them. Each is a 200 or claims to be more than none, and net/http accepts most of them. Field is a
// line of their heads.
func Malformed(field string) map[string]string {
	const end = "Content-Length: 2\r\n\r\nok"
	head := "HTTP/1.1 200 OK\r\n" + field + "\r\n"
	return map[string]string{
		"status 000":                            "HTTP/1.1 000 Trouble\r\n" + field + "\r\n" + end,
		"status 000 before a response":          "HTTP/1.1 000 Trouble\r\n" + field + "\r\n\r\n" + head + end,
		"status 099":                            "HTTP/1.1 099 Trouble\r\n" + field + "\r\n" + end,
		"status 600":                            "HTTP/1.1 600 Trouble\r\n" + field + "\r\n" + end,
		"status +20":                            "HTTP/1.1 +20 Trouble\r\n" + field + "\r\n" + end,
		"status with four digits":               "HTTP/1.1 2000 OK\r\n" + field + "\r\n" + end,
		"two blanks before the status":          "HTTP/1.1  200 OK\r\n" + field + "\r\n" + end,
		"control byte in the reason":            "HTTP/1.1 200 O\x00K\r\n" + field + "\r\n" + end,
		"HTTP/2.0":                              "HTTP/2.0 200 OK\r\n" + field + "\r\n" + end,
		"another protocol":                      "HTTP/1.1 101 Switching Protocols\r\n" + field + "\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" + head + end,
		"blank in the name of a field":          head + "X Name: a\r\n" + end,
		"blank before the colon":                head + "X-Name : a\r\n" + end,
		"blank in the name of the length":       head + "Content Length: 2\r\n\r\nok, and more",
		"blank before the colon of the length":  head + "Content-Length : 2\r\n\r\nok",
		"control byte in the name of a field":   head + "X\x01Name: a\r\n" + end,
		"tabulator in the name of a field":      head + "X\tName: a\r\n" + end,
		"field without a name":                  head + ": a\r\n" + end,
		"field without a colon":                 head + "name\r\n" + end,
		"control byte in a value":               head + "X-Name: a\x00\r\n" + end,
		"CR in a value":                         head + "X-Name: a\rb\r\n" + end,
		"folded line":                           head + "X-Name: a\r\n b\r\n" + end,
		"two lengths":                           head + "Content-Length: 3\r\n" + end,
		"length with a sign":                    head + "Content-Length: +2\r\n\r\nok",
		"length and chunks":                     head + "Content-Length: 12\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"chunks with HTTP/1.0":                  "HTTP/1.0 200 OK\r\n" + field + "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"unknown transfer coding":               head + "Transfer-Encoding: gzip\r\n\r\nok",
		"chunk that is too long":                head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok!\r\n0\r\n\r\n",
		"chunk size with a sign":                head + "Transfer-Encoding: chunked\r\n\r\n+2\r\nok\r\n0\r\n\r\n",
		"chunk size that ends with LF":          head + "Transfer-Encoding: chunked\r\n\r\n2\nok\r\n0\r\n\r\n",
		"blank in the name of a trailer":        head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Name: a\r\n\r\n",
		"control byte in the name of a trailer": head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX\x01Name: a\r\n\r\n",
		"length in a trailer":                   head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nContent-Length: 2\r\n\r\n",
		"early hints with a blank":              "HTTP/1.1 103 Early Hints\r\nX Name: a\r\n\r\n" + head + end,
		"status 204 with a body":                "HTTP/1.1 204 No Content\r\n" + field + "\r\n" + end,
	}
}

// Respond starts a server that writes the response on each connection once it has read the head of a request. It returns its address.
func Respond(t *testing.T, response string) string {
	t.Helper()
	return listen(t, func(conn *net.TCPConn) {
		readHead(conn)
		_, _ = io.WriteString(conn, response)
		// The rest of the request is read, so that the close does not reset the connection.
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	})
}

// RespondAndReset is like Respond, but resets the connection after the response, without having read the request's body.
func RespondAndReset(t *testing.T, response string) string {
	t.Helper()
	return listen(t, func(conn *net.TCPConn) {
		readHead(conn)
		_, _ = io.WriteString(conn, response)
		_ = conn.SetLinger(0)
	})
}

// RespondInTurn starts a server that writes one of the responses on each connection, in turn, once it has read a request, and ends the
// connection after it, in order or with a reset. It returns its address.
func RespondInTurn(t *testing.T, responses []string, reset bool) string {
	t.Helper()
	next := atomic.Int64{}
	return listen(t, func(conn *net.TCPConn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if number := int(next.Add(1)) - 1; number < len(responses) {
			_, _ = io.WriteString(conn, responses[number])
		}
		if reset {
			_ = conn.SetLinger(0)
		}
	})
}

func listen(t *testing.T, serve func(conn *net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.SetDeadline(time.Now().Add(serverTimeout))
			go func() {
				defer conn.Close()
				serve(conn.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}

// readHead reads lines up to an empty one, and a part of what follows.
func readHead(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil || strings.TrimRight(line, "\r\n") == "" {
			return
		}
	}
}
