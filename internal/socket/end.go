package socket

import (
	"net"
	"sync/atomic"
	"syscall"
)

// EndWatch tells, when a connection has ended for its reader, whether the peer has closed it in order. The kernel reports a reset once: if a
// write has got the error, the next read returns the end of the connection. All writes go through Write.
type EndWatch struct {
	// writing counts the writes in progress. failed says that one has failed.
	writing atomic.Int32
	failed  atomic.Bool
}

// Write writes to the connection.
func (w *EndWatch) Write(conn net.Conn, p []byte) (int, error) {
	w.writing.Add(1)
	defer w.writing.Add(-1)
	count, err := conn.Write(p)
	if err != nil {
		w.failed.Store(true)
	}
	return count, err
}

// InOrder reports whether the peer has closed the connection in order. It is called after a read has returned io.EOF.
func (w *EndWatch) InOrder(conn net.Conn) bool {
	if withState, found := conn.(syscall.Conn); found {
		if state, err := State(withState); err == nil && state == StateCloseWait {
			// The peer has closed its side, and the connection still exists.
			return true
		}
	}
	// A write that got the reset is still counted, or has set failed already. Checking failed first would miss a write that ends between the checks.
	return w.writing.Load() == 0 && !w.failed.Load()
}
