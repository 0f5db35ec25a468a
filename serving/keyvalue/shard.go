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
	firstBackoff   = 4 * time.Millisecond
	longestBackoff = 100 * time.Millisecond
)

// shard carries the operations of one shard out, one group after the other.
type shard struct {
	options Options
	limiter *rate.Limiter
	key     string
	mutex   sync.Mutex
	waiting []*operation
	running bool
	// away says that the last group failed. One group at a time tries again then, and
	// acquisitions that come meanwhile are refused at once.
	away bool

	// What follows belongs to the goroutine that runs the groups.

	// known says that head and version are what was read or written last.
	known   bool
	head    head
	version winch.Version
	// contended says that other hosts write the head too: it is read before each
	// write then, since reads are the more plentiful.
	contended bool
	// index remembers the sealed claims, loaded the sealed entries that are in it.
	index  map[claimID]trace
	loaded map[string]time.Time
	seals  int
}

func newShard(options Options, limiter *rate.Limiter, key string) *shard {
	return &shard{options: options, limiter: limiter, key: key, index: map[claimID]trace{}, loaded: map[string]time.Time{}}
}

// do carries the operation out with others that wait. Its result is in the operation.
// It takes at most the time limits of two groups.
func (s *shard) do(o *operation) {
	s.mutex.Lock()
	if s.away && s.running && o.kind == acquire {
		s.mutex.Unlock()
		o.err = errAway
		return
	}
	s.waiting = append(s.waiting, o)
	if !s.running {
		s.running = true
		go s.run()
	}
	s.mutex.Unlock()
	<-o.done
}

// run carries groups out until none waits.
func (s *shard) run() {
	for {
		time.Sleep(s.options.GroupDelay)
		_ = s.limiter.Wait(context.Background())
		s.mutex.Lock()
		group := s.waiting
		s.waiting = nil
		if len(group) == 0 {
			s.running = false
			s.mutex.Unlock()
			return
		}
		s.mutex.Unlock()
		ctx, stop := context.WithTimeout(context.Background(), s.options.Timeout)
		s.setUnavailable(!s.commit(ctx, group))
		stop()
	}
}

var errAway = fmt.Errorf("%w: the key-value service has just failed", winch.ErrUnavailable)

// setUnavailable takes the result of a group. After a failure it refuses the acquisitions that wait.
func (s *shard) setUnavailable(away bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.away = away
	if !away {
		return
	}
	kept := s.waiting[:0]
	for _, o := range s.waiting {
		if o.kind != acquire {
			kept = append(kept, o)
			continue
		}
		o.err = errAway
		close(o.done)
	}
	s.waiting = kept
}

// commit writes a group. Every operation gets a result. It reports whether the group was written.
func (s *shard) commit(ctx context.Context, group []*operation) bool {
	now := newest(group)
	s.forgetContended()
	uncertain, fresh := false, false
	for backoff := firstBackoff; ; backoff = min(2*backoff, longestBackoff) {
		fresh = fresh || !s.known
		done, err := s.try(ctx, now, group, fresh)
		if done {
			s.conclude(ctx, group)
			return true
		}
		s.contended = s.contended || errors.Is(err, winch.ErrConflict)
		uncertain = uncertain || errors.Is(err, winch.ErrOutcomeUnknown)
		if err == nil {
			continue
		}
		if !passing(err) || !pause(ctx, backoff) {
			fail(group, uncertain, err)
			return false
		}
	}
}

// forgetContended makes a contended head be read again.
func (s *shard) forgetContended() {
	if s.contended {
		s.known = false
	}
}

// try reads the head, unless it is known, and writes the group once.
func (s *shard) try(ctx context.Context, now time.Time, group []*operation, fresh bool) (bool, error) {
	if err := s.refresh(ctx); err != nil {
		return false, err
	}
	return s.write(ctx, now, group, fresh)
}

func newest(group []*operation) time.Time {
	now := group[0].now
	for _, o := range group {
		if o.now.After(now) {
			now = o.now
		}
	}
	return now
}

// passing reports whether another try is worthwhile.
func passing(err error) bool {
	return errors.Is(err, winch.ErrConflict) || errors.Is(err, winch.ErrRateLimited) ||
		errors.Is(err, winch.ErrOutcomeUnknown) || errors.Is(err, errReadLost)
}

// pause waits for a time around the backoff; false means that the context ended.
func pause(ctx context.Context, backoff time.Duration) bool {
	timer := time.NewTimer(backoff/2 + rand.N(backoff))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// write applies the group to the head and writes it. It reports whether all is
// done; without an error the head is looked at afresh and the group tried again.
func (s *shard) write(ctx context.Context, now time.Time, group []*operation, fresh bool) (bool, error) {
	next, changed, contested := s.head.apply(now, s.index, group)
	if contested && !fresh {
		s.known = false
		return false, nil
	}
	if !changed || s.options.unguarded {
		s.head = next
		return true, nil
	}
	value, err := encodeHead(next)
	if err != nil {
		return false, err
	}
	if len(value) > s.options.HeadLimit {
		s.options.Logger.Error("shard full", "Event", EventShardFull, "Key", s.key, "Bytes", len(value))
		return false, fmt.Errorf("write claims: %w: shard is full", winch.ErrUnavailable)
	}
	version, err := s.options.Store.Put(ctx, s.key, value, s.version)
	if err != nil {
		s.known = errors.Is(err, winch.ErrRateLimited) || errors.Is(err, winch.ErrUnavailable)
		return false, fmt.Errorf("write claims: %w", err)
	}
	dropped := s.head.sealed
	s.head, s.version = next, version
	s.clean(ctx, now, dropped)
	if len(value) > s.options.SealSize {
		s.sealHead(ctx)
	}
	return true, nil
}

// conclude fetches kept answers and hands the results out.
func (s *shard) conclude(ctx context.Context, group []*operation) {
	for _, o := range group {
		if o.kind == acquire && o.sealed != "" && o.claim.State == winch.ClaimFinished {
			o.claim, o.err = s.sealedAnswer(ctx, o)
		}
		close(o.done)
	}
}

// fail hands the error out. Nothing was claimed unless a write's outcome is unknown.
func fail(group []*operation, uncertain bool, err error) {
	kind := winch.ErrUnavailable
	if uncertain {
		kind = winch.ErrOutcomeUnknown
	}
	for _, o := range group {
		// The text of the last error is kept, but not its kind.
		o.err = fmt.Errorf("%w: %s", kind, err.Error())
		close(o.done)
	}
}
