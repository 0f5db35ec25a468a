package connlimit

import (
	"time"

	"github.com/arbutuswinch/winch/internal/socket"
)

const (
	// watchEvery is the interval between checks of all connections, busyWatchEvery the same while more than busyConnections are open.
	watchEvery      = 500 * time.Millisecond
	busyWatchEvery  = 100 * time.Millisecond
	busyConnections = 64
	// maxWatchGap is the time between two checks above which the process is taken to have been stopped itself, so that the lack of
	// progress is not the clients' fault.
	maxWatchGap = 2 * time.Second
	// defaultReadTime and defaultWriteTime are the defaults of Options.ReadTime and Options.WriteTime.
	defaultReadTime  = 10 * time.Second
	defaultWriteTime = 30 * time.Second
	// progressBytes is the number of bytes of a body that a client has to send within Options.ReadTime.
	progressBytes = 4 << 10
)

// watch checks the connections until done is closed.
func (l *Limiter) watch(done <-chan struct{}) {
	timer := time.NewTimer(watchEvery)
	defer timer.Stop()
	report, checkedAt := reporter{limiter: l}, time.Now()
	for {
		select {
		case <-done:
			return
		case now := <-timer.C:
			l.now.Store(now.UnixNano())
			timer.Reset(l.checkAll(now, now.Sub(checkedAt) > maxWatchGap))
			report.report(now)
			checkedAt = now
		}
	}
}

// checkAll ends connections without progress, and returns the time until the next check. After a gap, the time limits of all
// connections begin again.
func (l *Limiter) checkAll(now time.Time, gap bool) time.Duration {
	l.checking.Lock()
	defer l.checking.Unlock()
	l.mu.Lock()
	open := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		if gap {
			c.progressAt = 0
			if since := c.writeSince.Load(); since != 0 {
				c.writeSince.CompareAndSwap(since, now.UnixNano())
			}
		}
		l.checkConn(now.UnixNano(), c)
	}
	if len(open) > busyConnections {
		return busyWatchEvery
	}
	return watchEvery
}

func (l *Limiter) checkConn(now int64, c *conn) {
	if since := c.writeSince.Load(); since != 0 && now-since > int64(l.options.WriteTime) {
		c.endFor(causeSlowReader)
		return
	}
	received := c.received.Load()
	if c.readSince.Load() == 0 || received-c.progressReceived >= progressBytes || c.progressAt == 0 {
		c.progressAt, c.progressReceived = now, received
	}
	if now-c.progressAt > int64(l.options.ReadTime) {
		c.endFor(causeSlowBody)
		return
	}
	c.countQueued()
}

// countQueued takes memory for bytes that have arrived while the server works on an earlier request of the connection.
func (c *conn) countQueued() {
	queued := 0
	if c.tcp != nil && c.inRequest.Load() && c.pipelined.Load() {
		// The error means that the connection is closed.
		queued, _ = socket.Unread(c.tcp)
	}
	c.mu.Lock()
	more := int64(queued) - c.queued
	var err error
	switch {
	case more > 0:
		err = c.takeExtra(more)
	case more < 0:
		c.extra.Give(-more)
	}
	if err == nil {
		c.queued = int64(queued)
	}
	c.mu.Unlock()
	if err != nil {
		c.endFor(causeQueued)
	}
}
