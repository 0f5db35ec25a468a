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
	// progressInterval is the shortest interval at which the progress of a body is recorded.
	progressInterval = 250 * time.Millisecond
	// stalledTime is the time without progress after which the read of a body is ended if others need its memory.
	stalledTime = time.Second
	// expectedTime is how far ahead the bytes that a body is expected to need are estimated from its present rate.
	expectedTime = 2 * time.Second
	// roomTime is the maximum time that a body waits for memory, but no longer than the time to the deadline divided by
	// roomDeadlineDivisor. It tries every roomInterval. maxRoomWaiters is how many bodies may wait at once.
	roomInterval        = 20 * time.Millisecond
	roomTime            = 800 * time.Millisecond
	roomDeadlineDivisor = 4
	maxRoomWaiters      = 16
	// queuedBodySize is the number of bytes that the kernel is assumed to hold of a body while nobody reads it.
	queuedBodySize = 64 << 10
	// rereadTime is the time limit of the one further read after a timeout.
	rereadTime = 100 * time.Millisecond
	// trailerFieldSize is the assumed memory of one field of a trailer in bytes.
	trailerFieldSize = 256
	// discardTime is how long the rest of a refused body is read and discarded at most, and maxDiscards is for how many requests at
	// once.
	discardTime = 2 * time.Second
	maxDiscards = 4
)

// noMemoryRetryAfter is the Retry-After time of requests that are refused for lack of memory.
const noMemoryRetryAfter = time.Second

// errStalled says that the caller sent fewer than progressBytes of a body within progressTime.
var errStalled = errors.New("caller sends too slowly")

// noMemory returns the fault for a request that is refused because there is no memory for its body.
func noMemory() *fault {
	f := notRun("no_memory", noMemoryRetryAfter)
	f.closes = true
	return f
}

// stalledBody returns the fault for a request whose caller sends the body too slowly.
func stalledBody() *fault {
	f := notRun("body_stalled", 0)
	f.closes = true
	return f
}

// discardRest sends the response, and reads and discards the rest of the body for a short time. Closing a connection with unread bytes
// makes the kernel reset it, and the caller may then lose the response.
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

// openClaim opens the memory claim of an admitted request. The caller has to close it.
func (s *Server) openClaim(r *http.Request, a *admission) *memory.Claim {
	// Only tests have addresses that cannot be parsed. These requests share one account.
	address, _ := netip.ParseAddrPort(r.RemoteAddr)
	return s.options.Memory.Open(memory.Holder{Address: address.Addr(), Organisation: string(a.organisation), Rank: a.rank()})
}

// rank returns the rank of the request's memory claim. A request is urgent if no class has a higher priority than its own.
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
	// limit is the maximum size of the body in bytes.
	limit int64
	// deadline is until when the body has to be complete.
	deadline time.Time
	// mu protects ended, which is set if others need the memory, and over, which is set at the end of the read.
	mu          sync.Mutex
	ended, over bool
	// windowStart is when the current period of progressTime began, in which windowBytes were read.
	windowStart time.Time
	windowBytes int
	// recordedAt is when progress was last recorded, and unrecorded the number of bytes read since.
	recordedAt time.Time
	unrecorded int
	// rest is the number of bytes of the body for which no memory is taken yet.
	rest int64
	// guarded is set once guard was called.
	guarded bool
	// reread is set after a timeout, until there is progress.
	reread bool
}

// read reads the whole body. The memory stays with the claim.
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

// admit refuses a body of the declared length for which there is no memory, before any of it is read. It waits a short time for memory,
// since most bodies hold theirs only briefly.
func (b *bodyReader) admit(declared int64) *fault {
	if declared <= firstBodyStep || b.claim.Fits(declared) == nil {
		return nil
	}
	// During the wait, the bytes in the kernel's buffer count as memory of the request.
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

// waitForRoom repeats take for a short time, and meanwhile ends bodies that have stalled until size bytes are free. It reports whether
// take succeeded.
func (b *bodyReader) waitForRoom(size int64, take func() error) bool {
	defer b.waiters.Add(-1)
	if b.waiters.Add(1) > maxRoomWaiters {
		return false
	}
	ticker := time.NewTicker(roomInterval)
	defer ticker.Stop()
	// The time is random, so that bodies that wait for each other's memory do not all give up at once.
	limit := min(roomTime, time.Until(b.deadline)/roomDeadlineDivisor)
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

// grow takes memory for the next step and returns the body with capacity for it. whole is the size beyond which it does not grow.
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

// take takes memory for a step and reports whether there was enough. If there is none, it waits a short time, which does not count as
// time without progress of the caller.
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

// checkTrailer takes memory for the trailer, which is kept with the request but not forwarded.
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

// failure returns the fault for a body that could not be read. A body that ends early means that the caller has disconnected. Errors
// that are no timeouts, such as malformed chunks, are reported as a bad request.
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
