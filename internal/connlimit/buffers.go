package connlimit

import (
	"net"

	"golang.org/x/sys/unix"

	"github.com/arbutuswinch/winch/internal/socket"
)

const (
	// receiveBuffer and sendBuffer are the sizes of the kernel's buffers of an accepted connection in bytes. The kernel allows twice as
	// much, for its own data. Without a bound they grow to megabytes; a send buffer of that size also makes a blocked write wait
	// until a third of it is free.
	receiveBuffer = 128 << 10
	sendBuffer    = 64 << 10
)

// boundBuffers bounds the buffers of all connections that the listener accepts from now on. They inherit those of the listener.
func (l *Limiter) boundBuffers(listener *net.TCPListener) {
	err := socket.Control(listener, func(fd int) error {
		if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer); err != nil {
			return err
		}
		return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer)
	})
	if err != nil {
		l.options.Logger.Warn("kernel buffers are not bounded", "Event", EventBuffersUnbounded, "Port", l.options.Port, "Error", err)
	}
}

// tcpOf returns the TCP connection below the connection, or nil.
func tcpOf(conn net.Conn) *net.TCPConn {
	if wrapped, found := conn.(interface{ NetConn() net.Conn }); found {
		conn = wrapped.NetConn()
	}
	tcp, _ := conn.(*net.TCPConn)
	return tcp
}

// listenerOf returns the TCP listener below the listener, or nil.
func listenerOf(inner net.Listener) *net.TCPListener {
	if wrapped, found := inner.(interface{ NetListener() net.Listener }); found {
		inner = wrapped.NetListener()
	}
	tcp, _ := inner.(*net.TCPListener)
	return tcp
}
