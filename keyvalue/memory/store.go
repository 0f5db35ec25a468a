// Package memory is an in-process key-value service for tests and for examples of
// embedding. It follows the contract of winch.KeyValue. For fault tests it can lose the
// response of a write that took effect, be unavailable, or delay calls.
//
// # Usage
//
//	store := memory.New()
//	version, err := store.Put(ctx, "notes/head", value, winch.VersionAbsent)
//	store.LoseResponses(1) // the next write takes effect and returns winch.ErrOutcomeUnknown
//	store.SetOutage(true)
//	store.SetDelay(50 * time.Millisecond)
package memory

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/arbutuswinch/winch"
)

// Store implements winch.KeyValue. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	entries map[string]winch.Entry
	history []winch.Entry
	// revision is the version of the last change of any key.
	revision        winch.Version
	changed         chan struct{}
	responsesToLose int
	outage          bool
	delay           time.Duration
	calls           int
}

var _ winch.KeyValue = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{entries: map[string]winch.Entry{}, changed: make(chan struct{})}
}

// LoseResponses makes the next count writes take effect but return winch.ErrOutcomeUnknown.
func (s *Store) LoseResponses(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responsesToLose = count
}

// SetOutage begins or ends an outage. Calls that start during it fail at once with
// winch.ErrUnavailable; a watch that is already waiting continues.
func (s *Store) SetOutage(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = down
}

// SetDelay makes every call that starts outside an outage wait for the delay before it takes
// effect.
func (s *Store) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// Calls returns the number of calls made so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Get returns the entry of the key, or an error that matches winch.ErrNotFound.
func (s *Store) Get(ctx context.Context, key string) (winch.Entry, error) {
	if err := s.startCall(ctx); err != nil {
		return winch.Entry{}, fmt.Errorf("get %s: %w", key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, found := s.entries[key]
	if !found {
		return winch.Entry{}, fmt.Errorf("get %s: %w", key, winch.ErrNotFound)
	}
	return clone(entry), nil
}

// List returns the entries whose keys have the prefix, sorted by key, and the current revision.
func (s *Store) List(ctx context.Context, prefix string) ([]winch.Entry, winch.Version, error) {
	if err := s.startCall(ctx); err != nil {
		return nil, 0, fmt.Errorf("list %s: %w", prefix, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := []winch.Entry{}
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, clone(entry))
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries, s.revision, nil
}

// Put writes the value if the entry has the expected version.
func (s *Store) Put(ctx context.Context, key string, value []byte, expect winch.Version) (winch.Version, error) {
	return s.write(ctx, "put", winch.Entry{Key: key, Value: value}, expect)
}

// Delete removes the entry if it has the expected version.
func (s *Store) Delete(ctx context.Context, key string, expect winch.Version) error {
	_, err := s.write(ctx, "delete", winch.Entry{Key: key, Deleted: true}, expect)
	return err
}

// Watch waits until an entry with the prefix has changed after the given version, or until wait
// has passed.
func (s *Store) Watch(ctx context.Context, prefix string, after winch.Version, wait time.Duration) ([]winch.Entry, winch.Version, error) {
	if err := s.startCall(ctx); err != nil {
		return nil, 0, fmt.Errorf("watch %s: %w", prefix, err)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		entries, revision, changed := s.changes(prefix, after)
		if len(entries) > 0 {
			return entries, revision, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, fmt.Errorf("watch %s: %w: %w", prefix, winch.ErrUnavailable, ctx.Err())
		}
	}
}

// startCall counts the call. During an outage it returns an error at once, otherwise it waits
// for the delay.
func (s *Store) startCall(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	delay, outage := s.delay, s.outage
	s.mu.Unlock()
	if outage {
		return winch.ErrUnavailable
	}
	if delay == 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", winch.ErrUnavailable, ctx.Err())
	}
}

func (s *Store) write(ctx context.Context, operation string, entry winch.Entry, expect winch.Version) (winch.Version, error) {
	if err := s.startCall(ctx); err != nil {
		return 0, fmt.Errorf("%s %s: %w", operation, entry.Key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.entries[entry.Key]
	if expect != winch.VersionAny && current.Version != expect {
		return 0, fmt.Errorf("%s %s: version %d, expected %d: %w", operation, entry.Key, current.Version, expect, winch.ErrConflict)
	}
	s.apply(entry)
	if s.responsesToLose > 0 {
		s.responsesToLose--
		return 0, fmt.Errorf("%s %s: %w", operation, entry.Key, winch.ErrOutcomeUnknown)
	}
	return s.revision, nil
}

func (s *Store) apply(entry winch.Entry) {
	s.revision++
	entry = clone(entry)
	entry.Version = s.revision
	if entry.Deleted {
		delete(s.entries, entry.Key)
	} else {
		s.entries[entry.Key] = entry
	}
	s.history = append(s.history, entry)
	close(s.changed)
	s.changed = make(chan struct{})
}

// changes returns the latest change after the version of each key with the prefix, ordered by
// version. It also returns the current revision and a channel that is closed at the next
// change.
func (s *Store) changes(prefix string, after winch.Version) ([]winch.Entry, winch.Version, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	latest := map[string]winch.Entry{}
	for _, entry := range s.history {
		if entry.Version > after && strings.HasPrefix(entry.Key, prefix) {
			latest[entry.Key] = entry
		}
	}
	entries := make([]winch.Entry, 0, len(latest))
	for _, entry := range latest {
		entries = append(entries, clone(entry))
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Version < entries[j].Version })
	return entries, s.revision, s.changed
}

func clone(entry winch.Entry) winch.Entry {
	entry.Value = append([]byte(nil), entry.Value...)
	return entry
}
