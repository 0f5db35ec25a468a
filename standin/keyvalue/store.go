package keyvalue

import (
	"errors"
	"sort"
	"strings"
	"sync"
	"time"
)

// Limits of the store.
const (
	// ValueLimit is the largest value, in bytes.
	ValueLimit = 1 << 20
	// minHistory is the least number of changes that are kept for watches.
	minHistory = 16384
)

// Expectations of Put and Delete that are not versions. ExpectAny accepts any state, ExpectAbsent
// requires that there is no entry.
const (
	ExpectAny    Version = -1
	ExpectAbsent Version = 0
)

// Errors of the store. A call that returns one of them had no effect.
var (
	ErrConflict  = errors.New("conflict")
	ErrTooLarge  = errors.New("too large")
	ErrCompacted = errors.New("compacted")
	ErrNoLease   = errors.New("no such lease")
)

// Version is a revision of the store. The version of an entry is the revision of its last change.
type Version int64

// LeaseID identifies a lease.
type LeaseID string

// Entry is a key with its value and version.
type Entry struct {
	Key     string
	Value   []byte
	Version Version
	Deleted bool
}

type item struct {
	value   []byte
	version Version
	lease   LeaseID
}

type change struct {
	key     string
	version Version
}

// Store holds the entries and leases. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	items    map[string]*item
	revision Version
	history  []change
	// compacted is the version of the newest change that is no longer in history.
	compacted Version
	leases    map[LeaseID]*lease
	leaseSeq  int
	watchers  map[*watcher]struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: map[string]*item{}, leases: map[LeaseID]*lease{}, watchers: map[*watcher]struct{}{}}
}

// Get returns the entry of a key.
func (s *Store) Get(now time.Time, key string) (Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	return s.entry(key)
}

// List returns the entries whose key has the prefix, sorted by key, and the revision.
func (s *Store) List(now time.Time, prefix string) ([]Entry, Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	entries := []Entry{}
	for key, stored := range s.items {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, Entry{Key: key, Value: stored.value, Version: stored.version})
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries, s.revision
}

// Put writes a value if the version of the entry is the expected one. With ErrConflict it
// returns the current entry, if there is one.
func (s *Store) Put(now time.Time, key string, value []byte, expect Version, leaseID LeaseID) (Entry, error) {
	if len(value) > ValueLimit {
		return Entry{}, ErrTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	if !s.matches(key, expect) {
		current, _ := s.entry(key)
		return current, ErrConflict
	}
	if leaseID != "" && s.leases[leaseID] == nil {
		return Entry{}, ErrNoLease
	}
	s.setLease(key, leaseID)
	s.record(key)
	s.items[key] = &item{value: value, version: s.revision, lease: leaseID}
	s.notify(key)
	return Entry{Key: key, Version: s.revision}, nil
}

// Delete removes an entry if its version is the expected one. Deleting an absent key with
// ExpectAny or ExpectAbsent changes nothing.
func (s *Store) Delete(now time.Time, key string, expect Version) (Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	if !s.matches(key, expect) {
		current, _ := s.entry(key)
		return current, ErrConflict
	}
	if s.items[key] != nil {
		s.remove(key)
	}
	return Entry{Key: key, Version: s.revision}, nil
}

func (s *Store) entry(key string) (Entry, bool) {
	stored, found := s.items[key]
	if !found {
		return Entry{}, false
	}
	return Entry{Key: key, Value: stored.value, Version: stored.version}, true
}

func (s *Store) matches(key string, expect Version) bool {
	if expect == ExpectAny {
		return true
	}
	stored, found := s.items[key]
	if !found {
		return expect == ExpectAbsent
	}
	return stored.version == expect
}

// remove deletes an existing entry.
func (s *Store) remove(key string) {
	s.setLease(key, "")
	delete(s.items, key)
	s.record(key)
	s.notify(key)
}

// record advances the revision and adds the change of the key to the history.
func (s *Store) record(key string) {
	s.revision++
	s.history = append(s.history, change{key: key, version: s.revision})
	if len(s.history) > 2*minHistory {
		s.compacted = s.history[minHistory-1].version
		s.history = append([]change(nil), s.history[minHistory:]...)
	}
}
