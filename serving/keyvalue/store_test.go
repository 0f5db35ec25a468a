package keyvalue

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/arbutuswinch/winch"
)

// fakeStore is the key-value service in memory. Faults are taken from a list, one for each write.
type fakeStore struct {
	mutex   sync.Mutex
	entries map[string]winch.Entry
	version winch.Version
	faults  []fault
	away    bool
	// lostReads is how many reads lose their answers.
	lostReads int
	puts      int
	gets      int
}

type fault int

const (
	faultNone fault = iota
	// faultLost: the write takes effect and its answer is lost.
	faultLost
	// faultDropped: the write has no effect, and nobody is told.
	faultDropped
	// faultUnavailable and faultLimited: no effect, and the writer is told.
	faultUnavailable
	faultLimited
)

func newStore() *fakeStore { return &fakeStore{entries: map[string]winch.Entry{}} }

func (s *fakeStore) Get(_ context.Context, key string) (winch.Entry, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.gets++
	if s.away {
		return winch.Entry{}, winch.ErrUnavailable
	}
	if s.lostReads > 0 {
		s.lostReads--
		return winch.Entry{}, winch.ErrOutcomeUnknown
	}
	if entry, found := s.entries[key]; found {
		return entry, nil
	}
	return winch.Entry{}, winch.ErrNotFound
}

func (s *fakeStore) List(context.Context, string) ([]winch.Entry, winch.Version, error) {
	return nil, 0, nil
}

func (s *fakeStore) Watch(context.Context, string, winch.Version, time.Duration) ([]winch.Entry, winch.Version, error) {
	return nil, 0, nil
}

func (s *fakeStore) Put(_ context.Context, key string, value []byte, expect winch.Version) (winch.Version, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.puts++
	next := faultNone
	if len(s.faults) > 0 {
		next, s.faults = s.faults[0], s.faults[1:]
	}
	switch {
	case s.away, next == faultUnavailable:
		return 0, winch.ErrUnavailable
	case next == faultLimited:
		return 0, winch.ErrRateLimited
	case next == faultDropped:
		return 0, winch.ErrOutcomeUnknown
	case expect != winch.VersionAny && s.entries[key].Version != expect:
		return 0, winch.ErrConflict
	}
	s.version++
	s.entries[key] = winch.Entry{Key: key, Value: append([]byte(nil), value...), Version: s.version}
	if next == faultLost {
		return 0, winch.ErrOutcomeUnknown
	}
	return s.version, nil
}

func (s *fakeStore) Delete(_ context.Context, key string, _ winch.Version) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.entries, key)
	return nil
}

func (s *fakeStore) keys() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	names := []string{}
	for name := range s.entries {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, " ")
}

func (s *fakeStore) setAway(away bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.away = away
}
