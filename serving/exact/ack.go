package exact

import (
	"errors"
	"time"

	"github.com/arbutuswinch/winch/internal/socket"
)

// errSilent: the server's machine did not acknowledge the call in time.
var errSilent = errors.New("call not acknowledged")

// ackWatch resets a connection on which a call is not acknowledged.
type ackWatch struct {
	timer *time.Timer
	// ended is closed when the timer's work is done.
	ended chan struct{}
	// reset says that the connection was reset; it is read after ended.
	reset bool
}

// expectAck watches the call that was just written. A long body is left out: a server may
// let it wait until it has read the rest.
func (c *conn) expectAck(limit time.Duration) *ackWatch {
	if c.writing != nil {
		c.probe(true)
		return nil
	}
	w := &ackWatch{ended: make(chan struct{})}
	w.timer = time.AfterFunc(limit, func() {
		defer close(w.ended)
		if c.unacknowledged() {
			w.reset = true
			c.abort()
			return
		}
		c.probe(true)
	})
	return w
}

// probe switches the system's probes of a silent link. They are off while bytes may be on
// their way: a connection that the system ends by them is not reset.
func (c *conn) probe(on bool) {
	// It fails only on a connection that is closed.
	_ = c.plain.SetKeepAlive(on)
}

// stop ends the watch, and reports whether it has reset the connection.
func (w *ackWatch) stop() bool {
	if w == nil || w.timer.Stop() {
		return false
	}
	<-w.ended
	return w.reset
}

// unacknowledged tells whether the server's machine has not confirmed all that was written.
func (c *conn) unacknowledged() bool {
	waiting, err := socket.Unacknowledged(c.plain)
	// A connection that is closed meanwhile has nothing to wait for.
	return err == nil && waiting > 0
}
