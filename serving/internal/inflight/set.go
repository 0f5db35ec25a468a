// Package inflight tracks the open requests of a server. Requests can be cancelled by key or all
// at once, and code can wait until none is open.
//
// # Usage
//
//	set := inflight.NewSet()
//	entry := set.Add(cancel)
//	defer set.Remove(entry)
//	entry.Identify(hash)
package inflight

import (
	"context"
	"sync"
	"time"

	"github.com/arbutuswinch/winch"
)

// Set is the set of open requests. It is safe for concurrent use.
type Set struct {
	mutex      sync.Mutex
	entries    map[*Entry]bool
	totalAdded int64
	// empty is closed when the last request ends. It is nil while nothing waits for that.
	empty chan struct{}
}

// Entry is one open request.
type Entry struct {
	set    *Set
	cancel context.CancelCauseFunc
	// hashKnown and hash are set by Identify.
	hashKnown bool
	hash      winch.KeyHash
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{entries: map[*Entry]bool{}} }

// Add adds a request, which can be ended by calling cancel.
func (s *Set) Add(cancel context.CancelCauseFunc) *Entry {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	entry := &Entry{set: s, cancel: cancel}
	s.entries[entry] = true
	s.totalAdded++
	return entry
}

// Identify sets the hash of the key with which the request was admitted.
func (e *Entry) Identify(hash winch.KeyHash) {
	e.set.mutex.Lock()
	defer e.set.mutex.Unlock()
	e.hashKnown, e.hash = true, hash
}

// Remove removes a request that has ended.
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

// Hashes returns the key hashes of the open requests as the keys of a map. Its values are nil.
func (s *Set) Hashes() map[winch.KeyHash]error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := map[winch.KeyHash]error{}
	for entry := range s.entries {
		if entry.hashKnown {
			found[entry.hash] = nil
		}
	}
	return found
}

// Cancel cancels each request whose key hash has a cause in the map, with that cause, and
// returns the number of these requests.
func (s *Set) Cancel(causes map[winch.KeyHash]error) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for entry := range s.entries {
		if err := causes[entry.hash]; entry.hashKnown && err != nil {
			entry.cancel(err)
			count++
		}
	}
	return count
}

// CancelAll cancels all requests and returns their number.
func (s *Set) CancelAll(cause error) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for entry := range s.entries {
		entry.cancel(cause)
	}
	return len(s.entries)
}

// idlePeriod is the time after which a server counts as idle if no request has been open or has
// arrived. Requests may still be on their way when callers learn of the shutdown.
const idlePeriod = 250 * time.Millisecond

// waitIdle waits until no request has been open or has arrived for idlePeriod and returns true.
// If ctx ends while a request is open, it returns false. If ctx ends during idlePeriod, it
// reports whether no request is open at that moment.
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

// added returns how many requests were ever added.
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
