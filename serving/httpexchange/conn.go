package httpexchange

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/arbutuswinch/winch/internal/http1"
	"github.com/arbutuswinch/winch/internal/socket"
)

const (
	// defaultIdleTime is how long an idle connection is kept if the server does not send the
	// header Keep-Alive.
	defaultIdleTime = 300 * time.Millisecond
	// idleTimeShare is the fraction of the server's stated time for which an idle connection
	// is kept. The server starts counting earlier, and might close the connection while a
	// call is on its way.
	idleTimeShare = 0.6
	maxIdleTime   = time.Minute
	// maxIdlePerServer is the maximum number of idle connections to one server.
	maxIdlePerServer = 32
)

// conn is a connection. It carries one call at a time.
type conn struct {
	client *Client
	key    string
	// relayed says that the connection leads through another host and carries one call only.
	relayed bool
	// openedAt is when the connection was opened.
	openedAt time.Time
	tcp      *net.TCPConn
	// checked is the connection with checks of what the server sends. All reads and writes go through it.
	checked *http1.Conn
	reader  *bufio.Reader
	// headLimit is the source of reader.
	headLimit *headLimit
	// stopContextWatch stops watching the call's context. It returns false if the context has
	// already ended, in which case the connection was reset.
	stopContextWatch func() bool
	// receivedOtherResponse says that a response to another call was received.
	receivedOtherResponse bool
	// reused says that the connection has carried an earlier call.
	reused bool
	// idleUntil is when an idle connection expires.
	idleUntil time.Time
	// writeDone is closed at the end of a concurrent write; nil if the request was written
	// before the response is read.
	writeDone    chan struct{}
	writtenBytes atomic.Int64
	writeFailed  atomic.Bool
}

// abort closes the connection with a reset. Bytes of the call that are still in the send
// buffer are dropped: after a link failure they would otherwise arrive and be executed when
// the call has already failed here.
func (c *conn) abort() {
	// Both fail only if the connection is already closed.
	_ = c.tcp.SetLinger(0)
	_ = c.tcp.Close()
}

// discard stops watching the context and closes the connection.
func (c *conn) discard() {
	if c.stopContextWatch != nil {
		c.stopContextWatch()
	}
	c.abort()
}

func (c *conn) wroteAny() bool { return c.writtenBytes.Load() > 0 }

// write sends the request. A long body is written concurrently, since a server may respond
// before it has read all of it.
func (c *conn) write(head, body []byte) {
	c.writtenBytes.Store(0)
	c.writeDone = nil
	if len(body) <= maxInlineBody {
		c.writeAll(append(head, body...))
		return
	}
	c.writeDone = make(chan struct{})
	go func() {
		defer close(c.writeDone)
		if c.writeAll(head) {
			c.writeAll(body)
		}
	}()
}

func (c *conn) writeAll(data []byte) bool {
	count, err := c.checked.Write(data)
	c.writtenBytes.Add(int64(count))
	if err != nil {
		c.writeFailed.Store(true)
	}
	return err == nil
}

// waitForWrite waits for the end of a concurrent write. The connection must be closed.
func (c *conn) waitForWrite() {
	if c.writeDone != nil {
		<-c.writeDone
	}
}

// fullyWritten reports whether the whole request has been written.
func (c *conn) fullyWritten() bool {
	if c.writeDone != nil {
		select {
		case <-c.writeDone:
		default:
			return false
		}
	}
	return !c.writeFailed.Load()
}

const (
	// maxHeadBytes and maxHeadLines bound the head of a response, with the informational responses before it. A short line takes
	// many times its size once it is parsed.
	maxHeadBytes = 64 << 10
	maxHeadLines = 1000
)

var errHeadTooLarge = errors.New("response head is too large")

// headLimit fails after maxHeadBytes or maxHeadLines while it is active.
type headLimit struct {
	source io.Reader
	active bool
	// left and linesLeft are the numbers of bytes and lines that may still be read while the limit is active.
	left, linesLeft int
}

// Read reads from the source within the limit.
func (l *headLimit) Read(p []byte) (int, error) {
	if !l.active {
		return l.source.Read(p)
	}
	if l.left <= 0 || l.linesLeft <= 0 {
		return 0, errHeadTooLarge
	}
	count, err := l.source.Read(p[:min(len(p), l.left)])
	l.left -= count
	l.linesLeft -= bytes.Count(p[:count], []byte("\n"))
	return count, err
}

// readResponseHead reads the head of the next response, ignoring informational ones (1xx).
func (c *conn) readResponseHead(method string) (*http.Response, error) {
	c.headLimit.active, c.headLimit.left, c.headLimit.linesLeft = true, maxHeadBytes, maxHeadLines
	defer func() { c.headLimit.active = false }()
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, headError(err)
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// maxErrorText is the maximum number of bytes of an error's text that is kept.
const maxErrorText = 256

// headError returns the error for a head that could not be read. net/http quotes malformed heads in its errors, which takes up to four
// times their size and would be logged. Long texts are therefore truncated, without wrapping the error, which would keep its text.
func headError(err error) error {
	if text := err.Error(); len(text) > maxErrorText {
		return fmt.Errorf("read response head: error truncated to %d bytes: %s", maxErrorText, text[:maxErrorText])
	}
	return fmt.Errorf("read response head: %w", err)
}

// usable reports whether an idle connection may carry another call: it has not expired, and
// the server has neither closed it nor sent anything.
func (c *conn) usable(now time.Time) bool {
	if now.After(c.idleUntil) || c.reader.Buffered() > 0 {
		return false
	}
	quiet := false
	err := socket.Control(c.tcp, func(fd int) error {
		_, _, err := unix.Recvfrom(fd, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return nil
	})
	return err == nil && quiet
}

// unproven reports whether nothing shows that a failure belongs to the call: it has no ID, and the connection has brought another
// response before, after which a faulty server may send anything.
func (c *conn) unproven(response *http.Response, id string) bool {
	if id != "" || response.StatusCode < http.StatusBadRequest {
		return false
	}
	return c.reused || c.receivedOtherResponse
}

// framed reports whether the response has a length or chunks, which tell where its body ends.
func framed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// bodyLength returns the length that the response states for its body; 0 if it states none or has no body.
func bodyLength(response *http.Response, method string) int64 {
	if method == http.MethodHead {
		return 0
	}
	return max(0, response.ContentLength)
}

// reusable reports whether the response permits reuse of the connection.
func reusable(response *http.Response) bool {
	return framed(response) && !response.Close && response.ProtoAtLeast(1, 1)
}

// idleTime returns how long an idle connection is kept, according to the Keep-Alive header.
// It returns 0, which means that the connection is closed, for a timeout that is 0 or
// malformed, and the default if no timeout is stated.
func idleTime(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds <= 0 {
			return 0
		}
		return min(maxIdleTime, time.Duration(float64(seconds)*idleTimeShare*float64(time.Second)))
	}
	return defaultIdleTime
}

// responseBody is the body of a response. Once it is read to its end, the connection becomes
// idle if it can be reused.
type responseBody struct {
	conn     *conn
	reader   io.Reader
	reusable bool
	idleTime time.Duration
	done     bool
}

// Read returns io.EOF only if the body is complete.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	count, err := b.reader.Read(p)
	if errors.Is(err, io.EOF) {
		b.release()
	}
	return count, err
}

// release makes the connection idle, or closes it if it cannot be reused.
func (b *responseBody) release() {
	b.done = true
	conn := b.conn
	contextActive := conn.stopContextWatch()
	unexpected := conn.reader.Buffered() > 0 || conn.checked.Malformed()
	if !b.reusable || conn.relayed || !contextActive || conn.receivedOtherResponse || unexpected || !conn.fullyWritten() || b.idleTime <= 0 {
		// No reset is needed: the response is complete, so the call did not fail here.
		_ = conn.tcp.Close()
		return
	}
	conn.setKeepAlive(false)
	conn.reused = true
	conn.idleUntil = time.Now().Add(b.idleTime)
	conn.client.putIdle(conn)
}

func (c *Client) putIdle(idle *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[idle.key]
	if len(conns) >= maxIdlePerServer {
		_ = conns[0].tcp.Close()
		conns = append(conns[:0], conns[1:]...)
	}
	c.idle[idle.key] = append(conns, idle)
}

// Close closes the connection unless the body was read to its end.
func (b *responseBody) Close() error {
	if !b.done {
		b.done = true
		b.conn.discard()
	}
	return nil
}
