package keyvalue

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/arbutuswinch/winch"
)

const (
	minBackoff = 4 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
)

// shard executes the operations of one shard in groups, one group at a time.
type shard struct {
	options Options
	limiter *rate.Limiter
	key     string
	mutex   sync.Mutex
	queue   []*operation
	running bool
	// unavailable says that the last group failed. From the time when the next group is
	// scheduled until it ends, new acquisitions are then refused at once, so that their callers
	// do not wait for a store that does not respond.
	unavailable bool

	// The fields below are used only by the goroutine that executes the groups.

	// cached says that head and version hold the last state that was read or written.
	cached  bool
	head    head
	version winch.Version
	// contended says that other hosts write the head too. The head is then read before each
	// write, since a write with an outdated version is wasted, and the store permits more reads
	// than writes.
	contended bool
	// sealedIndex holds the claims of the sealed entries in loadedSealed, which maps the key
	// of an entry to its expiry.
	sealedIndex  map[claimID]sealedClaim
	loadedSealed map[string]time.Time
	sealCount    int
}

func newShard(options Options, limiter *rate.Limiter, key string) *shard {
	return &shard{options: options, limiter: limiter, key: key, sealedIndex: map[claimID]sealedClaim{}, loadedSealed: map[string]time.Time{}}
}

// execute executes the operation in a group with others and stores the result in it. It
// takes at most the time limits of two groups, plus the delays before them.
func (s *shard) execute(o *operation) {
	s.mutex.Lock()
	if s.unavailable && s.running && o.kind == opAcquire {
		s.mutex.Unlock()
		o.err = errStoreFailing
		return
	}
	s.queue = append(s.queue, o)
	if !s.running {
		s.running = true
		go s.run()
	}
	s.mutex.Unlock()
	<-o.done
}

// run executes groups until the queue is empty.
func (s *shard) run() {
	for {
		time.Sleep(s.options.GroupDelay)
		_ = s.limiter.Wait(context.Background())
		s.mutex.Lock()
		group := s.queue
		s.queue = nil
		if len(group) == 0 {
			s.running = false
			s.mutex.Unlock()
			return
		}
		s.mutex.Unlock()
		ctx, stop := context.WithTimeout(context.Background(), s.options.Timeout)
		s.handleGroupEnd(!s.commit(ctx, group))
		stop()
	}
}

var errStoreFailing = fmt.Errorf("%w: the last access to the key-value service failed", winch.ErrUnavailable)

// handleGroupEnd records whether the last group failed. After a failure it refuses the queued
// acquisitions.
func (s *shard) handleGroupEnd(failed bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unavailable = failed
	if !failed {
		return
	}
	remaining := s.queue[:0]
	for _, o := range s.queue {
		if o.kind != opAcquire {
			remaining = append(remaining, o)
			continue
		}
		o.err = errStoreFailing
		close(o.done)
	}
	s.queue = remaining
}

// commit executes a group, with retries, and sets the result of every operation. It reports
// whether it succeeded.
func (s *shard) commit(ctx context.Context, group []*operation) bool {
	now := latestTime(group)
	s.invalidateIfContended()
	outcomeUnknown, fresh := false, false
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		fresh = fresh || !s.cached
		done, err := s.readAndWrite(ctx, now, group, fresh)
		if done {
			s.finishGroup(ctx, group)
			return true
		}
		s.contended = s.contended || errors.Is(err, winch.ErrConflict)
		outcomeUnknown = outcomeUnknown || errors.Is(err, winch.ErrOutcomeUnknown)
		if err == nil {
			continue
		}
		if !retryable(err) || !sleepJittered(ctx, backoff) {
			failGroup(group, outcomeUnknown, err)
			return false
		}
	}
}

// invalidateIfContended makes the next attempt read the head if other hosts write it too.
func (s *shard) invalidateIfContended() {
	if s.contended {
		s.cached = false
	}
}

// readAndWrite reads the head, unless it is cached, and makes one attempt to write the group.
func (s *shard) readAndWrite(ctx context.Context, now time.Time, group []*operation, fresh bool) (bool, error) {
	if err := s.refresh(ctx); err != nil {
		return false, err
	}
	return s.write(ctx, now, group, fresh)
}

func latestTime(group []*operation) time.Time {
	now := group[0].now
	for _, o := range group {
		if o.now.After(now) {
			now = o.now
		}
	}
	return now
}

// retryable reports whether the group should be tried again after the error.
func retryable(err error) bool {
	return errors.Is(err, winch.ErrConflict) || errors.Is(err, winch.ErrRateLimited) ||
		errors.Is(err, winch.ErrOutcomeUnknown) || errors.Is(err, errReadResponseLost)
}

// sleepJittered sleeps for 0.5 to 1.5 times the backoff. It returns false if the context
// ended.
func sleepJittered(ctx context.Context, backoff time.Duration) bool {
	timer := time.NewTimer(backoff/2 + rand.N(backoff))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// write applies the group to the head and writes it. It returns true if the group is done,
// and false without an error if the head must be read again first. The argument fresh says
// that the head was read for this group.
func (s *shard) write(ctx context.Context, now time.Time, group []*operation, fresh bool) (bool, error) {
	next, changed, denied := s.head.apply(now, s.sealedIndex, group)
	if denied && !fresh {
		s.cached = false
		return false, nil
	}
	if !changed || s.options.skipWrites {
		s.head = next
		return true, nil
	}
	value, err := encodeHead(next)
	if err != nil {
		return false, err
	}
	if len(value) > s.options.HeadLimit {
		s.options.Logger.Error("shard is full, write refused", "Event", EventShardFull, "Key", s.key, "Bytes", len(value))
		return false, fmt.Errorf("write claims: %w: shard is full", winch.ErrUnavailable)
	}
	version, err := s.options.Store.Put(ctx, s.key, value, s.version)
	if err != nil {
		// After these errors the write had no effect, so the cached head can be used again. After
		// others it must be read first.
		s.cached = errors.Is(err, winch.ErrRateLimited) || errors.Is(err, winch.ErrUnavailable)
		return false, fmt.Errorf("write claims: %w", err)
	}
	previous := s.head.sealed
	s.head, s.version = next, version
	s.deleteExpired(ctx, now, previous)
	if len(value) > s.options.SealSize {
		s.sealHead(ctx)
	}
	return true, nil
}

// finishGroup reads the stored responses of sealed claims and releases the waiting callers.
func (s *shard) finishGroup(ctx context.Context, group []*operation) {
	for _, o := range group {
		if o.kind == opAcquire && o.sealedKey != "" && o.claim.State == winch.ClaimFinished {
			o.claim, o.err = s.sealedResult(ctx, o)
		}
		close(o.done)
	}
}

// failGroup sets the error of all operations. Nothing was claimed unless the outcome of a
// write is unknown.
func failGroup(group []*operation, outcomeUnknown bool, err error) {
	sentinel := winch.ErrUnavailable
	if outcomeUnknown {
		sentinel = winch.ErrOutcomeUnknown
	}
	for _, o := range group {
		// Only the text of err is included, so that it does not match other sentinels.
		o.err = fmt.Errorf("%w: %s", sentinel, err.Error())
		close(o.done)
	}
}
