package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/memory"
)

const (
	// firstBodyStep is the number of bytes for which a body takes memory at first. Each further step is bodyStepFactor times as
	// large, so that a body has arrived in part before it takes memory for the rest.
	firstBodyStep  = 16 << 10
	bodyStepFactor = 4
	// progressTime is the time within which a caller has to send progressBytes of a body or the rest of it.
	progressTime  = 5 * time.Second
	progressBytes = 4 << 10
	// progressNote is the interval at which the progress of a body is noted.
	progressNote = 250 * time.Millisecond
	// stalledTime is the time without a byte after which a body is given up if others need its memory.
	stalledTime = time.Second
	// expectedTime is the time for which the rate of a body tells what is expected of it.
	expectedTime = 2 * time.Second
	// roomTime is how long a body waits at most for memory, but no longer than the time to the deadline divided by
	// roomDeadlineShare. It tries every roomPause. maxRoomWaiters is how many bodies may wait.
	roomPause         = 20 * time.Millisecond
	roomTime          = 800 * time.Millisecond
	roomDeadlineShare = 4
	maxRoomWaiters    = 16
	// queuedBodySize is what the kernel holds of a body that nobody reads, in bytes.
	queuedBodySize = 64 << 10
	// againTime is how long a read is tried once more after a timeout.
	againTime = 100 * time.Millisecond
	// trailerFieldSize is the memory of one field of a trailer in bytes.
	trailerFieldSize = 256
	// discardTime is how long the rest of a refused body is read and discarded at most, and maxDiscards of how many requests at once.
	discardTime = 2 * time.Second
	maxDiscards = 4
)

// noMemoryRetryAfter is the retry delay of requests that are refused because memory is scarce.
const noMemoryRetryAfter = time.Second

// errStalled: the caller of a body sent too little for too long.
var errStalled = errors.New("caller sends too slowly")

// noMemory returns the fault for a request that is refused because other requests take the memory.
func noMemory() *fault {
	f := notRun("no_memory", noMemoryRetryAfter)
	f.closes = true
	return f
}

// stalledBody returns the fault for a request whose body stopped before its end.
func stalledBody() *fault {
	f := notRun("body_stalled", 0)
	f.closes = true
	return f
}

// discardRest sends the response and reads the rest of the body for a short time. The kernel discards the response if the connection
// is closed while bytes arrive that nobody reads.
func (s *Server) discardRest(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	if s.discards.Add(1) <= maxDiscards && controller.Flush() == nil && controller.SetReadDeadline(time.Now().Add(discardTime)) == nil {
		// An error means that the caller has disconnected or sends for too long; the connection is closed in either case.
		_, _ = io.Copy(io.Discard, r.Body)
	} else {
		_ = controller.SetReadDeadline(time.Now())
	}
	s.discards.Add(-1)
}

// openClaim returns the claim for memory of an admitted request.
func (s *Server) openClaim(r *http.Request, a *admission) *memory.Claim {
	// An address that cannot be parsed is that of a test; all of these share one account.
	address, _ := netip.ParseAddrPort(r.RemoteAddr)
	return s.options.Memory.Open(memory.Holder{Address: address.Addr(), Organisation: string(a.organisation), Rank: a.rank()})
}

// rank returns the rank of the request's claim for memory: a class is urgent if none has a higher tier.
func (a *admission) rank() memory.Rank {
	for _, class := range a.configuration.Classes {
		if class.Tier < a.class.Tier {
			return memory.RankOrdinary
		}
	}
	return memory.RankUrgent
}

// bodyReader reads the body of one request into memory that its claim holds.
type bodyReader struct {
	ctx        context.Context
	request    *http.Request
	controller *http.ResponseController
	budget     *memory.Budget
	// waiters counts the requests that wait until their bodies fit.
	waiters *atomic.Int64
	claim   *memory.Claim
	limit   int64
	// deadline is until when the body has to be complete.
	deadline time.Time
	// mu protects ended, which is set if others need the memory, and over, which is set at the end of the read.
	mu          sync.Mutex
	ended, over bool
	// windowStart is when the current progressTime began, in which windowBytes were read.
	windowStart time.Time
	windowBytes int
	// notedAt is when progress was noted last, and notedBytes what was read since.
	notedAt    time.Time
	notedBytes int
	// rest is the part of the body for which no memory is taken yet.
	rest    int64
	guarded bool
	// triedAgain is set after a timeout, until there is progress.
	triedAgain bool
}

// read reads the whole body.
func (b *bodyReader) read() ([]byte, *fault) {
	declared := b.request.ContentLength
	if declared > b.limit {
		f := bodyTooLarge(b.limit)
		f.closes = true
		return nil, f
	}
	if declared == 0 {
		return nil, nil
	}
	if f := b.admit(declared); f != nil {
		return nil, f
	}
	defer b.release()
	return b.readSteps(declared)
}

// admit refuses a body for which there is no room before any of it is read. It waits for room for a short time, since bodies
// come and go quickly.
func (b *bodyReader) admit(declared int64) *fault {
	if declared <= firstBodyStep || b.claim.Fits(declared) == nil {
		return nil
	}
	// What the kernel holds of the body meanwhile is memory of the process too. It is given back when there is room for the body.
	if b.claim.Take(queuedBodySize) != nil {
		return noMemory()
	}
	fits := b.waitForRoom(declared, func() error { return b.claim.Fits(declared - queuedBodySize) })
	b.claim.Give(queuedBodySize)
	if !fits {
		b.budget.CountRefusal(b.claim.Fits(declared))
		return noMemory()
	}
	return nil
}

// waitForRoom tries take for a short time, and ends bodies that have stalled. It reports whether take succeeded.
func (b *bodyReader) waitForRoom(size int64, take func() error) bool {
	defer b.waiters.Add(-1)
	if b.waiters.Add(1) > maxRoomWaiters {
		return false
	}
	ticker := time.NewTicker(roomPause)
	defer ticker.Stop()
	// The times differ, so that of bodies that wait for each other some end before the others.
	limit := min(roomTime, time.Until(b.deadline)/roomDeadlineShare)
	until := time.NewTimer(limit/2 + rand.N(max(limit/2, 1)))
	defer until.Stop()
	for {
		for _, stalled := range b.budget.Stalled(time.Now().Add(-stalledTime), size) {
			stalled.End()
		}
		select {
		case <-ticker.C:
			if take() == nil {
				return true
			}
		case <-until.C:
			return false
		case <-b.ctx.Done():
			return false
		}
	}
}

// readSteps reads a body of the declared length, which is negative if it is unknown.
func (b *bodyReader) readSteps(declared int64) ([]byte, *fault) {
	whole := declared
	if declared < 0 {
		// One byte more shows that the body exceeds the limit.
		whole = b.limit + 1
	}
	var body []byte
	for size := int64(0); ; {
		if size == int64(cap(body)) {
			grown, f := b.grow(body, whole)
			if f != nil {
				return nil, f
			}
			body = grown
		}
		if !b.guarded && whole > firstBodyStep {
			b.guard()
		}
		count, err := b.request.Body.Read(body[size:cap(body)])
		size += int64(count)
		body = body[:size]
		switch {
		case size > b.limit:
			f := bodyTooLarge(b.limit)
			f.closes = true
			return nil, f
		case size == declared:
			return body, nil
		case errors.Is(err, io.EOF) && declared < 0:
			return body, b.checkTrailer()
		case err != nil && b.mayHaveArrived(err):
		case err != nil:
			return nil, b.failure(err)
		}
		if b.guarded {
			b.progress(count)
		}
	}
}

// grow returns the body with room for the next step.
func (b *bodyReader) grow(body []byte, whole int64) ([]byte, *fault) {
	grown := min(max(firstBodyStep, int64(cap(body))*bodyStepFactor), whole)
	if !b.take(grown - int64(cap(body))) {
		return nil, noMemory()
	}
	if b.rest = whole - grown; b.request.ContentLength > 0 && len(body) > 0 {
		b.claim.Expect(b.rest)
	}
	return append(make([]byte, 0, grown), body...), nil
}

// take takes memory for a step. It waits for a short time if there is none. The time is not the caller's.
func (b *bodyReader) take(size int64) bool {
	if b.claim.Take(size) == nil {
		return true
	}
	if b.guarded {
		b.claim.WaitOver()
	}
	if !b.waitForRoom(size, func() error { return b.claim.Take(size) }) {
		return false
	}
	if b.guarded {
		b.guard()
	}
	return true
}

// guard ends the read of a body that makes no progress from now on.
func (b *bodyReader) guard() {
	b.guarded = true
	b.windowStart, b.windowBytes = time.Now(), 0
	b.notedAt, b.notedBytes = b.windowStart, 0
	b.claim.Wait(b.windowStart, b.end)
	b.extend()
}

func (b *bodyReader) progress(count int) {
	now := time.Now()
	b.windowBytes += count
	b.notedBytes += count
	if now.Sub(b.notedAt) < progressNote {
		return
	}
	b.claim.Wait(now, b.end)
	if b.request.ContentLength > 0 {
		// A slow caller is not expected to send all of the rest soon.
		soon := int64(b.notedBytes) * int64(expectedTime/now.Sub(b.notedAt))
		b.claim.Expect(min(b.rest, soon))
	}
	b.notedAt, b.notedBytes = now, 0
	if b.windowBytes >= progressBytes {
		b.windowStart, b.windowBytes, b.triedAgain = now, 0, false
		b.extend()
	}
}

// mayHaveArrived reports whether the read is tried once more after a timeout: if the process itself was stopped, the caller's bytes
// are there.
func (b *bodyReader) mayHaveArrived(err error) bool {
	now := time.Now()
	if b.triedAgain || !errors.Is(err, os.ErrDeadlineExceeded) || b.ctx.Err() != nil || b.hasEnded() || !now.Before(b.deadline) {
		return false
	}
	b.triedAgain = true
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setDeadline(now.Add(againTime))
	return true
}

// end makes the current and each further read fail.
func (b *bodyReader) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	b.setDeadline(time.Now())
}

// stop makes the current read fail.
func (b *bodyReader) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setDeadline(time.Now())
}

// extend sets the deadline of the read by the system clock, unless the read is to end now.
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

// setDeadline is called with the lock held. It does nothing after the end of the read, since net/http then reads from the
// connection to notice that the caller leaves.
func (b *bodyReader) setDeadline(until time.Time) {
	if !b.over {
		// The error is ignored because writers in tests may not support deadlines.
		_ = b.controller.SetReadDeadline(until)
	}
}

// release ends the watch of the read.
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

// checkTrailer takes memory for the trailer, which is not forwarded.
func (b *bodyReader) checkTrailer() *fault {
	size := int64(len(b.request.Trailer)) * trailerFieldSize
	if size == 0 {
		return nil
	}
	if b.claim.Take(size) != nil {
		return noMemory()
	}
	return nil
}

// failure returns the fault for a body that could not be read. A body that ends early means that the caller has disconnected;
// errors other than those of time, such as malformed chunks, are reported as a bad request.
func (b *bodyReader) failure(err error) *fault {
	switch {
	case b.hasEnded():
		return noMemory()
	case errors.Is(err, os.ErrDeadlineExceeded) && b.ctx.Err() == nil:
		if !time.Now().Before(b.deadline) {
			f := notRun(string(winch.RefusedDeadline), 0)
			f.closes = true
			return f
		}
		f := stalledBody()
		f.cause = fmt.Errorf("read body: %w: %w", errStalled, err)
		return f
	case errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF):
		return callerLeft()
	}
	return &fault{status: http.StatusBadRequest, reason: "body_unread", message: "the body could not be read", cause: err}
}
