package tunnel

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutuswinch/winch/internal/socket"
)

const (
	// copyBytes is the size of the buffer for one direction of a tunnel.
	copyBytes = 16 << 10
	// ackTimeout is how long bytes may stay unacknowledged, and ackReset after which part of it the connection is reset, so that bytes
	// that were delayed cannot reach the endpoint when the call has already failed. Both are those of a direct call.
	ackTimeout = 1500 * time.Millisecond
	ackReset   = 1125 * time.Millisecond
	// watchedBytes is the size of a request up to which its acknowledgement is watched. An endpoint may leave a part of a longer one
	// unacknowledged until it has read the rest.
	watchedBytes = 8 << 10
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// splice copies bytes between the connection of another host and that of an endpoint. The end of one connection ends the other in the
// same way: a reset becomes a reset, so that a response without a length does not look complete, and so that a call that was given up
// does not reach the endpoint late.
type splice struct {
	caller    net.Conn
	callerTCP *net.TCPConn
	endpoint  *net.TCPConn
	sent      atomic.Int64
	// callerEnd and endpointEnd tell how the two connections have ended.
	callerEnd, endpointEnd socket.EndWatch
	// framed says that the caller is sent frames.
	framed bool
}

// errReset says that a connection was reset and that the writing direction was told of it.
var errReset = errors.New("connection reset")

// run returns when both connections are closed.
func (s *splice) run() {
	group := sync.WaitGroup{}
	group.Go(func() { s.finish(s.copyRequest()) })
	group.Go(func() { s.finish(s.copyResponse()) })
	group.Wait()
}

// copyResponse copies what the endpoint sends. In frames, it says that the endpoint has closed its connection in order.
func (s *splice) copyResponse() error {
	var to io.Writer = watchedWriter{conn: s.caller, end: &s.callerEnd}
	var frames *frameWriter
	if s.framed {
		frames = newFrameWriter(to)
		to = frames
	}
	if err := copyBytesTo(to, s.endpoint, func(int) {}); err != nil {
		return err
	}
	if !s.endpointEnd.InOrder(s.endpoint) {
		return errReset
	}
	if frames != nil {
		return frames.Close()
	}
	return nil
}

// copyRequest copies what the caller sends, and watches whether the endpoint acknowledges it.
func (s *splice) copyRequest() error {
	var watch *time.Timer
	defer func() {
		if watch != nil {
			watch.Stop()
		}
	}()
	err := copyBytesTo(watchedWriter{conn: s.endpoint, end: &s.endpointEnd}, s.caller, func(count int) {
		switch sent := s.sent.Add(int64(count)); {
		case sent > watchedBytes:
		case watch == nil:
			watch = time.AfterFunc(ackReset, s.checkAcknowledged)
		default:
			watch.Reset(ackReset)
		}
	})
	if err == nil && !s.callerEnd.InOrder(s.callerState()) {
		return errReset
	}
	return err
}

// callerState returns the connection of the asking host that has a state in the kernel, if there is one.
func (s *splice) callerState() net.Conn {
	if s.callerTCP != nil {
		return s.callerTCP
	}
	return s.caller
}

func (s *splice) checkAcknowledged() {
	pending, err := socket.Unacknowledged(s.endpoint)
	if err == nil && pending > 0 && s.sent.Load() <= watchedBytes {
		s.finish(errNotReached)
	}
}

// finish closes both connections, with a reset after an error. Later calls have no effect.
func (s *splice) finish(err error) {
	if err != nil {
		if s.callerTCP != nil {
			_ = s.callerTCP.SetLinger(0)
		}
		_ = s.endpoint.SetLinger(0)
	}
	_ = s.caller.Close()
	_ = s.endpoint.Close()
}

// watchedWriter writes to a connection whose end is watched.
type watchedWriter struct {
	conn net.Conn
	end  *socket.EndWatch
}

func (w watchedWriter) Write(p []byte) (int, error) { return w.end.Write(w.conn, p) }

// copyBytesTo copies until the source ends, and calls written after each write.
func copyBytesTo(to io.Writer, from io.Reader, written func(count int)) error {
	buffer := copyBuffers.Get().(*[copyBytes]byte)
	defer copyBuffers.Put(buffer)
	for {
		count, err := from.Read(buffer[:])
		if count > 0 {
			if _, err := to.Write(buffer[:count]); err != nil {
				return err
			}
			written(count)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// reset closes the connection so that bytes that were not sent yet are dropped.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// tcpOf returns the TCP connection below the connection, or nil.
func tcpOf(conn net.Conn) *net.TCPConn {
	for {
		switch inner := conn.(type) {
		case *net.TCPConn:
			return inner
		case interface{ NetConn() net.Conn }:
			conn = inner.NetConn()
		default:
			return nil
		}
	}
}
