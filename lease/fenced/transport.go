package fenced

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"golang.org/x/sys/unix"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/http1"
	"github.com/arbutuswinch/winch/internal/socket"
)

const (
	// ackPollInterval is the time between checks of the socket's send queue.
	ackPollInterval = 500 * time.Microsecond
	// tailAckTimeout is the time after which the kernel drops last bytes that were not acknowledged.
	tailAckTimeout = 500 * time.Millisecond
	// maxHeadBytes bounds the head of a response, in bytes.
	maxHeadBytes = 64 << 10
)

// transport is an http.RoundTripper for a single call, on a connection of its own.
type transport struct {
	options Options
	guard   winch.LeaseGuard
	number  winch.FencingNumber
	// writeDeadline is the time after which the last bytes must not be written.
	writeDeadline time.Time
	// killAt is when the watchdog kills the process if the last write has not returned.
	killAt time.Time
}

// RoundTrip writes the request and reads the header of the response. The connection is
// closed together with the response's body.
func (t *transport) RoundTrip(request *http.Request) (*http.Response, error) {
	encoded := bytes.Buffer{}
	request.Close = true
	if err := request.Write(&encoded); err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	ctx := request.Context()
	if t.options.disabled.timeouts {
		ctx = context.WithoutCancel(ctx)
	}
	conn, err := t.dial(ctx, request.URL.Host)
	if err != nil {
		return nil, err
	}
	// A deadline in the past ends all reads and writes.
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	response, err := t.exchange(ctx, conn, request, encoded.Bytes())
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, err
	}
	response.Body = &body{ReadCloser: response.Body, conn: conn, stop: stop}
	return response, nil
}

func (t *transport) dial(ctx context.Context, address string) (*net.TCPConn, error) {
	remaining, err := t.remaining()
	if err != nil {
		return nil, err
	}
	dialer := net.Dialer{Timeout: remaining}
	plain, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	conn := plain.(*net.TCPConn)
	t.options.onStage(stageConnected)
	if err := t.limitToTerm(conn); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// remaining returns the time until writeDeadline, or ErrNotLeaseHolder after it.
func (t *transport) remaining() (time.Duration, error) {
	remaining := t.writeDeadline.Sub(t.options.Clock.Now())
	if remaining <= 0 {
		return 0, fmt.Errorf("complete request within the term: %w", winch.ErrNotLeaseHolder)
	}
	return remaining, nil
}

func (t *transport) exchange(ctx context.Context, conn *net.TCPConn, request *http.Request, encoded []byte) (*http.Response, error) {
	withheld := min(withheldBytes, len(encoded))
	if t.options.disabled.withhold {
		withheld = 0
	}
	if err := t.writeHead(conn, encoded[:len(encoded)-withheld]); err != nil {
		return nil, err
	}
	if err := t.awaitAcknowledgement(ctx, conn); err != nil {
		return nil, err
	}
	if err := t.writeTail(ctx, conn, encoded[len(encoded)-withheld:]); err != nil {
		return nil, err
	}
	limited := &io.LimitedReader{R: http1.NewConn(conn), N: maxHeadBytes}
	response, err := http.ReadResponse(bufio.NewReader(limited), request)
	if err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	// The client bounds the body.
	limited.N = math.MaxInt64
	return response, nil
}

// limitToTerm sets the connection's timeouts so that they expire at writeDeadline, and
// disables lingering.
func (t *transport) limitToTerm(conn *net.TCPConn) error {
	remaining, err := t.remaining()
	if err != nil {
		return err
	}
	if !t.options.disabled.timeouts {
		// Deadlines of connections count on Go's clock.
		if err := conn.SetDeadline(time.Now().Add(remaining)); err != nil {
			return fmt.Errorf("set deadline: %w", err)
		}
	}
	if err := conn.SetLinger(0); err != nil {
		return fmt.Errorf("set linger: %w", err)
	}
	return t.setAckTimeout(conn, remaining)
}

// setAckTimeout makes the kernel drop bytes that are not acknowledged within the given time.
func (t *transport) setAckTimeout(conn *net.TCPConn, wait time.Duration) error {
	if t.options.disabled.ackTimeout {
		return nil
	}
	return socket.SetAckTimeout(conn, wait)
}

// writeHead writes all but the withheld bytes, in two parts. Tests stop the process
// between them.
func (t *transport) writeHead(conn net.Conn, head []byte) error {
	half := len(head) / 2
	if _, err := conn.Write(head[:half]); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	t.options.onStage(stageHalfWritten)
	if _, err := conn.Write(head[half:]); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	t.options.onStage(stageHeadWritten)
	return nil
}

// awaitAcknowledgement waits until the receiver's machine has acknowledged all bytes written so far.
// From then on only the withheld bytes can be in flight.
func (t *transport) awaitAcknowledgement(ctx context.Context, conn *net.TCPConn) error {
	if t.options.disabled.ackWait {
		return nil
	}
	ticker := time.NewTicker(ackPollInterval)
	defer ticker.Stop()
	for t.options.Clock.Now().Before(t.writeDeadline) {
		queued, err := socket.Unacknowledged(conn)
		if err != nil {
			return err
		}
		if queued == 0 {
			t.options.onStage(stageAcknowledged)
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("wait for acknowledgement: %w", ctx.Err())
		}
	}
	return fmt.Errorf("wait for acknowledgement: %w", winch.ErrNotLeaseHolder)
}

// writeTail writes the withheld bytes if the term is still valid.
func (t *transport) writeTail(ctx context.Context, conn *net.TCPConn, tail []byte) error {
	if err := t.setAckTimeout(conn, tailAckTimeout); err != nil {
		return err
	}
	timer, err := t.startWatchdog()
	if err != nil {
		return err
	}
	err = t.checkAndWriteTail(ctx, conn, tail)
	timer.disarm()
	t.options.onStage(stageTailWritten)
	return err
}

// checkAndWriteTail checks the term and writes the withheld bytes directly afterwards. The
// callback returns true even if the socket is not writable, since the check would be too
// old after a wait.
func (t *transport) checkAndWriteTail(ctx context.Context, conn *net.TCPConn, tail []byte) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return fmt.Errorf("access socket: %w", err)
	}
	written, writeErr := 0, error(nil)
	err = raw.Write(func(fd uintptr) bool {
		if writeErr = t.checkTerm(ctx); writeErr != nil {
			return true
		}
		t.options.onStage(stageChecked)
		t.notifyGotConn(ctx, conn)
		written, writeErr = unix.Write(int(fd), tail)
		return true
	})
	if err != nil {
		return fmt.Errorf("write last bytes of request: %w", err)
	}
	if writeErr != nil {
		return fmt.Errorf("write last bytes of request: %w", writeErr)
	}
	if written < len(tail) {
		return fmt.Errorf("write last bytes of request: %w", io.ErrShortWrite)
	}
	return nil
}

// startWatchdog arms the watchdog, unless it is disabled. If the term is already over, it
// returns an error instead of having the process killed.
func (t *transport) startWatchdog() (*watchdog, error) {
	if t.options.NoWatchdog || t.options.disabled.check {
		return nil, nil
	}
	remaining := t.killAt.Sub(t.options.Clock.Now())
	if remaining <= 0 {
		return nil, fmt.Errorf("write last bytes of request: %w", winch.ErrNotLeaseHolder)
	}
	return armWatchdog(remaining)
}

// checkTerm is the last check of the context, the term and the clock before the write.
func (t *transport) checkTerm(ctx context.Context) error {
	if err := ctx.Err(); err != nil || t.options.disabled.check {
		return err
	}
	now := t.options.Clock.Now()
	term, held := t.guard.Term(now)
	if !held || term.Number != t.number || !now.Before(t.writeDeadline) {
		return winch.ErrNotLeaseHolder
	}
	return nil
}

// notifyGotConn calls the GotConn hook of the context's client trace. httpjson.Client
// uses it to learn that the call may have an effect from now on.
func (t *transport) notifyGotConn(ctx context.Context, conn net.Conn) {
	trace := httptrace.ContextClientTrace(ctx)
	if trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{Conn: conn})
	}
}

// body is the body of a response. Closing it closes the connection.
type body struct {
	io.ReadCloser
	conn net.Conn
	stop func() bool
}

// Close closes the connection without lingering.
func (b *body) Close() error {
	b.stop()
	_ = b.ReadCloser.Close()
	return b.conn.Close()
}
