// Package http1 checks what HTTP/1.1 servers send (RFC 9110, RFC 9112).
//
// Package net/http accepts more than the protocol allows: a status such as 000, names of fields
// that contain blanks, lines that are folded, and a message with two lengths. It also takes the end
// of a connection for the end of a body without a length when the connection was reset, if the reset
// was reported to the writer of the request. Conn is a connection of a client that passes on
// responses only as long as they keep to the protocol. All clients use it below their readers, so that they fail
// on the same responses and do not read a body that the server did not send.
//
// # Usage
//
//	conn, err := dialer.DialContext(ctx, "tcp", address)
//	if err != nil {
//		return err
//	}
//	checked := http1.NewConn(conn)
//	...
//	response, err := http.ReadResponse(bufio.NewReader(checked), request)
//	if errors.Is(err, http1.ErrMalformed) {
//		// The server does not speak the protocol.
//	}
//
// With net/http, DialContext of http.Transport returns the checked connection; see Dial.
package http1

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/arbutuswinch/winch/internal/socket"
)

var (
	// ErrMalformed says that the server has sent bytes that are no HTTP/1.1 response. What it has sent before is not complete.
	ErrMalformed = errors.New("malformed response")
	// ErrReset says that the connection was reset, or has failed otherwise, before the end of a response without a length, which ends with the connection.
	ErrReset = errors.New("connection reset before the end of the response")
)

// Conn is a client's connection to a server. It carries one request at a time. Reads and writes may be concurrent.
type Conn struct {
	net.Conn

	responses checker
	// err ends all reads.
	err error
	// withoutBody says that the request asks for a response without a body.
	withoutBody atomic.Bool
	end         socket.EndWatch
}

// EndProver is implemented by connections that know how they have ended.
type EndProver interface {
	// ProvesEnd reports whether Read returns io.EOF only if the server has closed its side in order.
	ProvesEnd() bool
}

// NewConn returns a connection that checks what is read from conn, which may implement EndProver.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function that opens checked connections.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}

// Read reads from the connection. It returns ErrMalformed after the last bytes that keep to the protocol, and ErrReset in place of io.EOF if
// a response that ends with the connection is not complete.
func (c *Conn) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	count, err := c.Conn.Read(p)
	c.responses.withoutBody = c.withoutBody.Load()
	accepted, malformed := c.responses.check(p[:count])
	if malformed != nil {
		c.err = malformed
		if accepted == 0 {
			return 0, malformed
		}
		return accepted, nil
	}
	if errors.Is(err, io.EOF) && c.responses.endsWithConnection() && !c.endedInOrder() {
		c.err = ErrReset
		return count, ErrReset
	}
	return count, err
}

// endedInOrder reports whether the server has closed its side in order, after a read has returned io.EOF.
func (c *Conn) endedInOrder() bool {
	if prover, found := c.Conn.(EndProver); found && prover.ProvesEnd() {
		return true
	}
	return c.end.InOrder(c.Conn)
}

// Malformed reports whether the server has sent bytes that are no response. The connection must not carry another request then, even if
// these bytes came after a complete response and no reader has got them. It must not be called concurrently with Read.
func (c *Conn) Malformed() bool { return c.err != nil }

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	if method, found := requestMethod(p); found {
		c.withoutBody.Store(method == http.MethodHead)
	}
	return c.end.Write(c.Conn, p)
}

// maxMethodBytes is the number of bytes of a write in which requestMethod looks for a method.
const maxMethodBytes = 32

// requestMethod returns the method if the bytes begin with a request line. Clients write the head of a request from the start of a write. A
// piece of a body that looks like a request line only concerns the request to which it belongs.
func requestMethod(p []byte) (string, bool) {
	method, rest, found := bytes.Cut(p[:min(len(p), maxMethodBytes)], []byte(" "))
	if !found || len(method) == 0 || len(rest) == 0 || rest[0] != '/' && rest[0] != '*' && rest[0] != 'h' {
		return "", false
	}
	for _, b := range method {
		if !isTokenByte(b) {
			return "", false
		}
	}
	return string(method), true
}

func malformed(format string, values ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, values...))
}
