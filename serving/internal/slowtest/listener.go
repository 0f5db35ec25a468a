// Package slowtest has receivers for tests that take few bytes before they are read, so
// that the rest of what is sent waits at its sender, and what all clients must do then.
//
// # Usage
//
//	listener := slowtest.Listen(t)
//	conn, err := listener.Accept()
//	slowtest.WaitForBytes(t, conn)
package slowtest

import (
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/socket"
)

// receiveBuffer is the size of the receive buffer in bytes.
const receiveBuffer = 4 << 10

// Listen returns a listener for such connections, which is closed at the end of the test.
func Listen(t *testing.T) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return socket.ControlRaw(raw, func(fd int) error {
			return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		})
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, listener.Close()) })
	return listener
}

// WaitForBytes waits until bytes have arrived that are not read.
func WaitForBytes(t *testing.T, conn net.Conn) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		unread, err := socket.Unread(conn.(*net.TCPConn))
		switch {
		case err != nil:
			return poll.Error(err)
		case unread > 0:
			return poll.Success()
		}
		return poll.Continue("nothing came")
	})
}

// bodySize is more than such a receiver takes before it reads, and less than a sender keeps.
const bodySize = 200 << 10

// AssertGivenUpCallsDoNotArrive gives a call up whose bytes wait in this machine, as behind
// a link that lets nothing through: they must not arrive when it does again. Send makes the
// call, with the body, to the address.
func AssertGivenUpCallsDoNotArrive(t *testing.T, send func(ctx context.Context, address string, body []byte) error) {
	t.Helper()
	listener := Listen(t)
	ctx, cancel := context.WithCancel(t.Context())
	body := []byte(strings.Repeat("x", bodySize))
	result := make(chan error, 1)
	go func() { result <- send(ctx, listener.Addr().String(), body) }()
	conn, err := listener.Accept()
	assert.NilError(t, err)
	// What the receiver's buffer does not take waits in this machine.
	WaitForBytes(t, conn)
	cancel()
	assert.ErrorIs(t, <-result, winch.ErrOutcomeUnknown)
	received, err := io.ReadAll(conn)
	assert.Assert(t, err != nil, "the connection ended as after a whole call")
	assert.Assert(t, len(received) < len(body), "the whole call of %d bytes arrived", len(received))
}
