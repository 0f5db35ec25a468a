package exact

import (
	"bufio"
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

	"github.com/arbutuswinch/winch/internal/socket"
)

const (
	// unstatedKeep is how long a connection is kept whose server states no time.
	unstatedKeep = 300 * time.Millisecond
	// keepShare is the part of the stated time for which a connection is kept: the server
	// counts from earlier, and closes as a call may be on its way.
	keepShare = 0.6
	maxKeep   = time.Minute
	// idleLimit is the most connections that are kept to one server.
	idleLimit = 32
)

// conn is one connection. It carries one call at a time.
type conn struct {
	client *Client
	key    string
	plain  *net.TCPConn
	reader *bufio.Reader
	// stop ends the watch over the call's context.
	stop func() bool
	// spoiled says that bytes came that belong to no call.
	spoiled bool
	// keepUntil is when a kept connection is no longer used.
	keepUntil time.Time
	// writing is closed when the call is written; nil when it was written at once.
	writing chan struct{}
	written atomic.Int64
	failed  atomic.Bool
}

// abort closes the connection while a call uses it, and drops what of the call this machine
// has not sent yet: behind a silent link it would arrive when nobody waits for it any more.
func (c *conn) abort() {
	// Both fail only on a connection that is closed already.
	_ = c.plain.SetLinger(0)
	_ = c.plain.Close()
}

// discard ends the use of the connection for good.
func (c *conn) discard() {
	if c.stop != nil {
		c.stop()
	}
	c.abort()
}

func (c *conn) wrote() bool { return c.written.Load() > 0 }

// write sends the call. A long body is written beside the reading of the answer, since a
// server may answer before it has read it.
func (c *conn) write(head, body []byte) {
	c.written.Store(0)
	c.writing = nil
	if len(body) <= inlineBody {
		c.writeAll(append(head, body...))
		return
	}
	c.writing = make(chan struct{})
	go func() {
		defer close(c.writing)
		if c.writeAll(head) {
			c.writeAll(body)
		}
	}()
}

func (c *conn) writeAll(data []byte) bool {
	count, err := c.plain.Write(data)
	c.written.Add(int64(count))
	if err != nil {
		c.failed.Store(true)
	}
	return err == nil
}

// waitWritten waits until nothing more is written; the connection must be closed.
func (c *conn) waitWritten() {
	if c.writing != nil {
		<-c.writing
	}
}

// finishedWriting tells whether the whole call was written by now.
func (c *conn) finishedWriting() bool {
	if c.writing != nil {
		select {
		case <-c.writing:
		default:
			return false
		}
	}
	return !c.failed.Load()
}

// readHead reads the head of the next answer that is not informational.
func (c *conn) readHead(method string) (*http.Response, error) {
	for {
		answer, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("read head: %w", err)
		}
		if answer.StatusCode >= http.StatusOK {
			return answer, nil
		}
	}
}

// sound tells whether a kept connection may carry a call: it is not too old, and the
// server has neither closed it nor sent anything.
func (c *conn) sound(now time.Time) bool {
	if now.After(c.keepUntil) || c.reader.Buffered() > 0 {
		return false
	}
	quiet := false
	err := socket.Control(c.plain, func(fd int) error {
		_, _, err := unix.Recvfrom(fd, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return nil
	})
	return err == nil && quiet
}

// reusable tells whether the connection may be kept by what the answer says.
func reusable(answer *http.Response) bool {
	framed := answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
	return framed && !answer.Close && answer.ProtoAtLeast(1, 1)
}

// keepTime returns how long the connection is kept by the server's Keep-Alive header.
func keepTime(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds <= 0 {
			return 0
		}
		return min(maxKeep, time.Duration(float64(seconds)*keepShare*float64(time.Second)))
	}
	return unstatedKeep
}

// body is the body of an answer. It gives the connection back at its end.
type body struct {
	conn     *conn
	reader   io.Reader
	reusable bool
	keep     time.Duration
	ended    bool
}

// Read returns io.EOF when the body is complete.
func (b *body) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	count, err := b.reader.Read(p)
	if errors.Is(err, io.EOF) {
		b.end()
	}
	return count, err
}

// end gives the connection back, unless something speaks against its further use.
func (b *body) end() {
	b.ended = true
	c := b.conn
	watched := c.stop()
	if !b.reusable || !watched || c.spoiled || c.reader.Buffered() > 0 || !c.finishedWriting() || b.keep <= 0 {
		_ = c.plain.Close()
		return
	}
	c.probe(false)
	c.keepUntil = time.Now().Add(b.keep)
	c.client.put(c)
}

func (c *Client) put(kept *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[kept.key]
	if len(conns) >= idleLimit {
		_ = conns[0].plain.Close()
		conns = append(conns[:0], conns[1:]...)
	}
	c.idle[kept.key] = append(conns, kept)
}

// Close closes the connection, unless the body was read to its end.
func (b *body) Close() error {
	if !b.ended {
		b.ended = true
		b.conn.discard()
	}
	return nil
}
