package forward

import (
	"errors"
	"os"
	"time"
)

// guard begins to limit the time without progress of the body, or begins anew.
func (b *bodyReader) guard() {
	b.guarded = true
	b.windowStart, b.windowBytes = time.Now(), 0
	b.recordedAt, b.unrecorded = b.windowStart, 0
	b.claim.Wait(b.windowStart, b.end)
	b.extend()
}

// progress records that count more bytes were read, and extends the deadline of the read after progressBytes.
func (b *bodyReader) progress(count int) {
	now := time.Now()
	b.windowBytes += count
	b.unrecorded += count
	if now.Sub(b.recordedAt) < progressInterval {
		return
	}
	b.claim.Wait(now, b.end)
	if b.request.ContentLength > 0 {
		// Memory that a slow caller will need only later is not held back from others.
		soon := int64(b.unrecorded) * int64(expectedTime/now.Sub(b.recordedAt))
		b.claim.Expect(min(b.rest, soon))
	}
	b.recordedAt, b.unrecorded = now, 0
	if b.windowBytes >= progressBytes {
		b.windowStart, b.windowBytes, b.reread = now, 0, false
		b.extend()
	}
}

// mayHaveArrived reports whether the read is tried once more after a timeout, and sets its deadline. If the process itself was stopped
// meanwhile, the caller's bytes may have arrived.
func (b *bodyReader) mayHaveArrived(err error) bool {
	now := time.Now()
	if b.reread || !errors.Is(err, os.ErrDeadlineExceeded) || b.ctx.Err() != nil || b.hasEnded() || !now.Before(b.deadline) {
		return false
	}
	b.reread = true
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setDeadline(now.Add(rereadTime))
	return true
}

// end makes the current and every further read fail, because others need the memory.
func (b *bodyReader) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	b.setDeadline(time.Now())
}

// stop makes the current read fail at the end of a shutdown.
func (b *bodyReader) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setDeadline(time.Now())
}

// extend sets the deadline of the read to the end of the current period or of the time for the whole body. It is compared with the
// system clock. If the read was ended, it fails at once.
func (b *bodyReader) extend() {
	until := b.windowStart.Add(progressTime)
	if b.deadline.Before(until) {
		until = b.deadline
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setDeadline(until)
	if b.ended || b.ctx.Err() != nil {
		b.setDeadline(time.Now())
	}
}

// setDeadline is called with mu held. It does nothing after the end of the read, since net/http then reads from the connection itself
// to notice that the caller disconnects.
func (b *bodyReader) setDeadline(until time.Time) {
	if !b.over {
		// The error is ignored because writers in tests may not support deadlines.
		_ = b.controller.SetReadDeadline(until)
	}
}

// release withdraws the expected bytes and removes the deadline of the read.
func (b *bodyReader) release() {
	b.claim.Expect(0)
	b.claim.WaitOver()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.guarded {
		b.setDeadline(time.Time{})
	}
	b.over = true
}

func (b *bodyReader) hasEnded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended
}
