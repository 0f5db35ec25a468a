package connlimit

import (
	"net"

	"golang.org/x/sys/unix"

	"github.com/arbutuswinch/winch/internal/socket"
)

const (
	// receiveBuffer and sendBuffer are the sizes in bytes of the kernel's buffers of an accepted connection. The kernel doubles them
	// to make room for its own data. Without a bound they grow to megabytes, and a blocked write to a large send buffer continues only
	// once a third of it is free.
	receiveBuffer = 16 << 10
	sendBuffer    = 32 << 10
	// bodyBuffer is the size in bytes of the receive buffer while a large body is read, if Options.Budget has memory for it. The
	// buffer is raised after raiseAfter bytes of the body.
	bodyBuffer = 256 << 10
	raiseAfter = 8 << 10
	// bodyBuffersShare is the part of the budget, as a divisor, that the raised buffers of one port may take together.
	bodyBuffersShare = 8
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
		l.options.Logger.Warn("socket buffers of the port could not be limited",
			"Event", EventBuffersUnbounded, "Port", l.options.Port, "Error", err)
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

// setReceiveBuffer sets the size in bytes of the connection's receive buffer and of the TCP window that the client sees.
func (c *conn) setReceiveBuffer(size int) {
	// An error means that the connection is closed, or that the buffer stays as it was.
	_ = socket.Control(c.tcp, func(fd int) error {
		if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, size); err != nil {
			return err
		}
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, size)
	})
}

// raiseBuffer raises the receive buffer to bodyBuffer, if there is memory for it. It is called with mu held.
func (c *conn) raiseBuffer() {
	if !c.raised && c.tcp != nil && !c.closed.Load() && c.limiter.bodyBuffers.Take(bodyBuffer) {
		c.raised = true
		c.setReceiveBuffer(bodyBuffer)
	}
}

// lowerBuffer undoes raiseBuffer and gives back its memory. It is called with mu held.
func (c *conn) lowerBuffer() {
	if c.raised {
		c.raised = false
		c.setReceiveBuffer(receiveBuffer)
		c.limiter.bodyBuffers.Give(bodyBuffer)
	}
}
