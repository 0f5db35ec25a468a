package connlimit

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutuswinch/winch/internal/memory"
)

// writeSize is the maximum number of bytes of one write. The time limit for slow readers applies to each write.
const writeSize = 64 << 10

// refusal is the response to a request that is refused before its head is complete. It was not sent to any endpoint.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain; charset=utf-8\r\nRetry-After: 1\r\n" +
	"Connection: close\r\nContent-Length: 36\r\n\r\nno_memory: the request was not run\r\n"

// errHeadRefused says that there is no memory for the head of a request.
var errHeadRefused = errors.New("no memory for the head of the request")

// conn is a limited connection.
type conn struct {
	net.Conn
	limiter *Limiter
	address netip.Addr
	// tcp is nil if the connection is not a TCP connection.
	tcp *net.TCPConn
	// claim holds ConnectionCost.
	claim  *memory.Claim
	closed atomic.Bool

	// inRequest is set from the end of a request's head to the end of its response. served is set once a response was completed.
	// pipelined is set if bytes of a further request have arrived before the end of the response.
	inRequest, served, pipelined atomic.Bool
	// hijacked is set once a handler has taken the connection over. What is read then is no request.
	hijacked atomic.Bool
	// since is when the connection began to wait for a request, or when the request began. readSince and writeSince are when the
	// current read of a body and the current write began; zero if there is none. All are in nanoseconds since the Unix epoch.
	since, readSince, writeSince atomic.Int64
	// received is the number of bytes read from the connection.
	received atomic.Int64
	// progressAt is when the client had last sent progressBytes or the server did not wait for its bytes, in nanoseconds since the
	// Unix epoch; progressReceived is the value of received at that time. They are protected by Limiter.checking.
	progressAt, progressReceived int64

	// mu protects the fields below.
	mu   sync.Mutex
	head headMeter
	// extra holds headTaken bytes for a large head and queued bytes for unread ones in the kernel's buffer. It is nil until one of
	// them is first needed.
	extra             *memory.Claim
	headTaken, queued int64
	// bodyBytes counts the bytes read of the current body, and stops once it has reached raiseAfter. raised is set while the
	// receive buffer is raised.
	bodyBytes int64
	raised    bool
}

// NetConn returns the connection that is limited.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection and takes memory for the heads of requests. Without memory it refuses the request and returns an error.
func (c *conn) Read(p []byte) (int, error) {
	if c.hijacked.Load() {
		return c.Conn.Read(p)
	}
	// While a handler works, net/http reads a single byte to notice that the client disconnects.
	inRequest := c.inRequest.Load()
	readsBody := inRequest && len(p) > 1
	if readsBody {
		c.readSince.Store(c.limiter.now.Load())
	}
	count, err := c.Conn.Read(p)
	if readsBody {
		c.readSince.Store(0)
	}
	if count == 0 {
		return count, err
	}
	if inRequest && !readsBody {
		c.pipelined.Store(true)
	}
	c.received.Add(int64(count))
	if c.meter(p[:count]) != nil {
		return 0, c.refuse()
	}
	return count, err
}

// meter takes memory for data if it belongs to a head, and raises the receive buffer if it belongs to a large body.
func (c *conn) meter(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inRequest.Load() {
		c.head.skip(data)
		if c.bodyBytes < raiseAfter {
			if c.bodyBytes += int64(len(data)); c.bodyBytes >= raiseAfter {
				c.raiseBuffer()
			}
		}
		return nil
	}
	c.head.add(data)
	wanted := c.head.beyond()
	if wanted <= c.headTaken {
		return nil
	}
	if err := c.takeExtra(wanted - c.headTaken); err != nil {
		return err
	}
	c.headTaken = wanted
	return nil
}

// takeExtra takes memory for the connection beyond ConnectionCost. It is called with mu held. The claim has the ordinary rank on all
// ports, so that the share of a client limits it. A closed connection takes nothing, since nobody would give it back.
func (c *conn) takeExtra(size int64) error {
	if c.closed.Load() {
		return net.ErrClosed
	}
	if c.extra == nil {
		c.extra = c.limiter.options.Budget.Open(memory.Holder{Address: c.address, Rank: memory.RankOrdinary})
	}
	return c.extra.Take(size)
}

// refuse sends the refusal and returns an error that makes net/http close the connection without a response of its own.
func (c *conn) refuse() error {
	c.limiter.counts.heads.Add(1)
	_ = c.Conn.SetWriteDeadline(time.Now().Add(time.Second))
	// An error means that the client has disconnected; the connection ends in either case.
	_, _ = c.Conn.Write([]byte(refusal))
	return &net.OpError{Op: "read", Net: "tcp", Err: errHeadRefused}
}

// Write writes in pieces of at most writeSize bytes, each of which has to be written within Options.WriteTime.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		piece := p[written:min(len(p), written+writeSize)]
		c.writeSince.Store(c.limiter.now.Load())
		count, err := c.Conn.Write(piece)
		c.writeSince.Store(0)
		written += count
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// CloseWrite closes the connection for writing. net/http calls it so that the client can still read the last response.
func (c *conn) CloseWrite() error {
	if c.tcp == nil {
		return nil
	}
	return c.tcp.CloseWrite()
}

// Close closes the connection and gives back its memory.
func (c *conn) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return net.ErrClosed
	}
	err := c.Conn.Close()
	c.limiter.remove(c)
	c.claim.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lowerBuffer()
	if c.extra != nil {
		c.extra.Close()
	}
	return err
}

// begin records that the head of a request is complete.
func (c *conn) begin() {
	c.pipelined.Store(false)
	c.inRequest.Store(true)
	c.since.Store(c.limiter.now.Load())
}

// hijack records that a handler has taken the connection over. A client that sends nothing more may wait for the handler.
func (c *conn) hijack() {
	c.hijacked.Store(true)
	c.pipelined.Store(false)
	c.readSince.Store(0)
}

// finish records that a response is complete, and gives back the memory of the head and the raised buffer.
func (c *conn) finish() {
	c.served.Store(true)
	c.since.Store(c.limiter.now.Load())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inRequest.Store(false)
	c.head.restart()
	c.bodyBytes = 0
	c.lowerBuffer()
	if c.headTaken > 0 {
		c.extra.Give(c.headTaken)
		c.headTaken = 0
	}
}

// candidate returns the connection with its present activity.
func (c *conn) candidate() candidate {
	if since := c.writeSince.Load(); since != 0 {
		return candidate{conn: c, activity: slowReader, since: since}
	}
	since := c.since.Load()
	switch {
	case c.inRequest.Load() && c.readSince.Load() != 0:
		return candidate{conn: c, activity: slowBody, since: c.readSince.Load()}
	case c.inRequest.Load():
		return candidate{conn: c, activity: working, since: since}
	case c.served.Load():
		return candidate{conn: c, activity: idle, since: since}
	}
	return candidate{conn: c, activity: waiting, since: since}
}

// endFor closes the connection and counts the cause.
func (c *conn) endFor(cause cause) {
	if c.closed.Load() {
		return
	}
	c.limiter.counts.ended[cause].Add(1)
	if c.tcp != nil && (cause != causeRoom || c.inRequest.Load()) {
		// Discards the bytes that the kernel has not sent yet, which a slow client would otherwise keep in memory. A client of HTTP/1.0 would
		// take an end in order for the end of its response.
		_ = c.tcp.SetLinger(0)
	}
	_ = c.Close()
}
