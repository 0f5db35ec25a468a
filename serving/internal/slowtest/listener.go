// Package slowtest provides listeners with a small receive buffer for tests, so that large
// messages stay in the sender's buffer until the test reads them. It also checks that the
// unsent part of a cancelled call does not arrive later.
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

// receiveBuffer is the size of the sockets' receive buffer in bytes.
const receiveBuffer = 4 << 10

// Listen returns a listener whose connections have a small receive buffer. It is closed at
// the end of the test.
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

// WaitForBytes waits until the connection holds unread bytes.
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
		return poll.Continue("no bytes have arrived")
	})
}

// bodySize is larger than the receive buffer and smaller than the sender's send buffer.
const bodySize = 200 << 10

// AssertCancelledCallsDoNotArrive cancels a call while part of it is still in the send buffer, as
// happens if the receiver or the network accepts no more bytes. It checks that this part does
// not arrive once the receiver reads again. The function send makes the call with the body to
// the address.
func AssertCancelledCallsDoNotArrive(t *testing.T, send func(ctx context.Context, address string, body []byte) error) {
	t.Helper()
	listener := Listen(t)
	ctx, cancel := context.WithCancel(t.Context())
	body := []byte(strings.Repeat("x", bodySize))
	result := make(chan error, 1)
	go func() { result <- send(ctx, listener.Addr().String(), body) }()
	conn, err := listener.Accept()
	assert.NilError(t, err)
	// What does not fit into the receive buffer stays in the send buffer.
	WaitForBytes(t, conn)
	cancel()
	assert.ErrorIs(t, <-result, winch.ErrOutcomeUnknown)
	received, err := io.ReadAll(conn)
	assert.Assert(t, err != nil, "the connection ended without an error, as after a complete call")
	assert.Assert(t, len(received) < len(body), "all %d bytes of the call arrived", len(received))
}
