// Package open keeps the open requests of a server, so that they can be ended by
// their key or all together, and their end be waited for.
//
// # Usage
//
//	set := open.NewSet()
//	entry := set.Add(cancel)
//	defer set.Remove(entry)
//	entry.Identify(hash)
package open

import (
	"context"
	"sync"
	"time"

	"github.com/arbutuswinch/winch"
)

// Set holds the open requests. It is safe for concurrent use.
type Set struct {
	mutex      sync.Mutex
	entries    map[*Entry]bool
	totalAdded int64
	// idle is closed when the last request ends, once somebody waits for that.
	empty chan struct{}
}

// Entry is one open request.
type Entry struct {
	set    *Set
	cancel context.CancelCauseFunc
	// keyed and hash are set once the caller is known.
	keyed bool
	hash  winch.KeyHash
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{entries: map[*Entry]bool{}} }

// Add enters a request that cancel ends.
func (s *Set) Add(cancel context.CancelCauseFunc) *Entry {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	entry := &Entry{set: s, cancel: cancel}
	s.entries[entry] = true
	s.totalAdded++
	return entry
}

// Identify notes by which key the request was admitted.
func (e *Entry) Identify(hash winch.KeyHash) {
	e.set.mutex.Lock()
	defer e.set.mutex.Unlock()
	e.keyed, e.hash = true, hash
}

// Remove takes the request out.
func (s *Set) Remove(entry *Entry) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.entries, entry)
	if len(s.entries) == 0 && s.empty != nil {
		close(s.empty)
		s.empty = nil
	}
}

// Count returns the number of open requests.
func (s *Set) Count() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return int64(len(s.entries))
}

// Hashes returns the keys in use, each with no error.
func (s *Set) Hashes() map[winch.KeyHash]error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := map[winch.KeyHash]error{}
	for entry := range s.entries {
		if entry.keyed {
			found[entry.hash] = nil
		}
	}
	return found
}

// Cancel ends the requests whose key has an error, and returns their number.
func (s *Set) Cancel(errors map[winch.KeyHash]error) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for entry := range s.entries {
		if err := errors[entry.hash]; entry.keyed && err != nil {
			entry.cancel(err)
			count++
		}
	}
	return count
}

// CancelAll ends all requests, and returns their number.
func (s *Set) CancelAll(cause error) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for entry := range s.entries {
		entry.cancel(cause)
	}
	return len(s.entries)
}

// quietTime is how long no request may come until a server counts as unused: requests may
// have been on their way when callers learnt of the stop.
const idlePeriod = 250 * time.Millisecond

// quiet waits until no request was open for the quiet time, or ctx ends, and reports which.
func (s *Set) waitIdle(ctx context.Context) bool {
	for {
		select {
		case <-s.Empty():
		case <-ctx.Done():
			return false
		}
		before := s.added()
		timer := time.NewTimer(idlePeriod)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return s.Count() == 0
		}
		if s.added() == before && s.Count() == 0 {
			return true
		}
	}
}

// entered returns how many requests were ever added.
func (s *Set) added() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.totalAdded
}

// Empty returns a channel that is closed when no request is open.
func (s *Set) Empty() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.entries) == 0 {
		done := make(chan struct{})
		close(done)
		return done
	}
	if s.empty == nil {
		s.empty = make(chan struct{})
	}
	return s.empty
}
