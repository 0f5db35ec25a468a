// Package slowtest has receivers for tests that take few bytes before they are read, so
// that the rest of what is sent waits at its sender.
//
// # Usage
//
//	listener := slowtest.Listen(t)
//	conn, err := listener.Accept()
//	slowtest.WaitForBytes(t, conn)
package slowtest

import (
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// receiveBuffer is the size of the receive buffer in bytes.
const receiveBuffer = 4 << 10

// Listen returns a listener for such connections, which is closed at the end of the test.
func Listen(t *testing.T) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return onDescriptor(raw, func(fd int) error {
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
	raw, err := conn.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		waiting := 0
		err := onDescriptor(raw, func(fd int) (err error) {
			waiting, err = unix.IoctlGetInt(fd, unix.SIOCINQ)
			return err
		})
		switch {
		case err != nil:
			return poll.Error(err)
		case waiting > 0:
			return poll.Success()
		}
		return poll.Continue("nothing came")
	})
}

func onDescriptor(raw syscall.RawConn, do func(fd int) error) error {
	failure := error(nil)
	if err := raw.Control(func(fd uintptr) { failure = do(int(fd)) }); err != nil {
		return err
	}
	return failure
}
