package httpexchange

import (
	"errors"
	"time"

	"github.com/arbutuswinch/winch/internal/socket"
)

// errNotAcknowledged says that the server's TCP stack did not acknowledge the request in time.
var errNotAcknowledged = errors.New("request not acknowledged by the server in time")

// ackWatch resets a connection on which a request is not acknowledged in time.
type ackWatch struct {
	timer *time.Timer
	// done is closed when the timer's function has returned.
	done chan struct{}
	// reset says that the connection was reset; it must be read only after done is closed.
	reset bool
}

// watchAck starts the watch for the request that was just written. A long body is not
// watched: the server may leave a part of it unacknowledged until it has read the rest.
// Keep-alive probes are then enabled at once.
func (c *conn) watchAck(limit time.Duration) *ackWatch {
	if c.writeDone != nil {
		c.setKeepAlive(true)
		return nil
	}
	w := &ackWatch{done: make(chan struct{})}
	w.timer = time.AfterFunc(limit, func() {
		defer close(w.done)
		if c.hasUnacknowledged() {
			w.reset = true
			c.abort()
			return
		}
		c.setKeepAlive(true)
	})
	return w
}

// setKeepAlive switches TCP keep-alive probes, which detect a failed link. They are off while
// a watched request may be unacknowledged: the kernel ends a connection after failed probes
// without a reset.
func (c *conn) setKeepAlive(enabled bool) {
	// It fails only if the connection is already closed.
	_ = c.tcp.SetKeepAlive(enabled)
}

// stop ends the watch and reports whether it has reset the connection.
func (w *ackWatch) stop() bool {
	if w == nil || w.timer.Stop() {
		return false
	}
	<-w.done
	return w.reset
}

// hasUnacknowledged reports whether some written bytes have not been acknowledged by the
// server's TCP stack.
func (c *conn) hasUnacknowledged() bool {
	pending, err := socket.Unacknowledged(c.tcp)
	// An error means that the connection was closed meanwhile.
	return err == nil && pending > 0
}
