// Package socket accesses TCP socket options and states that the standard library does not expose.
//
// # Usage
//
//	if err := socket.SetAckTimeout(conn, time.Second); err != nil {
//		return err
//	}
//	waiting, err := socket.Unacknowledged(conn)
package socket

import (
	"fmt"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Control calls a function with the file descriptor of the connection's socket.
func Control(conn syscall.Conn, call func(fd int) error) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return fmt.Errorf("access socket: %w", err)
	}
	return ControlRaw(raw, call)
}

// ControlRaw is like Control, for a raw connection as net.Dialer.Control and
// net.ListenConfig.Control provide it before the socket is connected or bound.
func ControlRaw(raw syscall.RawConn, call func(fd int) error) error {
	var callErr error
	if err := raw.Control(func(fd uintptr) { callErr = call(int(fd)) }); err != nil {
		return fmt.Errorf("access socket: %w", err)
	}
	if callErr != nil {
		return fmt.Errorf("call on socket: %w", callErr)
	}
	return nil
}

// SetAckTimeout makes the kernel close the connection, and discard undelivered data, when
// sent bytes stay unacknowledged for the timeout (TCP_USER_TIMEOUT). A timeout of less than
// a millisecond is rounded up to one.
func SetAckTimeout(conn syscall.Conn, timeout time.Duration) error {
	milliseconds := max(int(timeout.Milliseconds()), 1)
	return Control(conn, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
	})
}

// Unacknowledged returns the number of written bytes that the receiver's kernel has not acknowledged.
func Unacknowledged(conn syscall.Conn) (int, error) { return queuedBytes(conn, unix.SIOCOUTQ) }

// Unread returns the number of bytes that were received but not read yet.
func Unread(conn syscall.Conn) (int, error) { return queuedBytes(conn, unix.SIOCINQ) }

func queuedBytes(conn syscall.Conn, request uint) (int, error) {
	count := 0
	err := Control(conn, func(fd int) (err error) {
		count, err = unix.IoctlGetInt(fd, request)
		return err
	})
	return count, err
}
