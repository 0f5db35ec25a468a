package keyvalue

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/arbutuswinch/winch"
)

// fakeStore is an in-memory key-value service. Each write takes the next fault of the list.
type fakeStore struct {
	mutex       sync.Mutex
	entries     map[string]winch.Entry
	version     winch.Version
	faults      []fault
	unavailable bool
	// lostReads is the number of reads whose responses will be lost.
	lostReads int
	puts      int
	gets      int
}

type fault int

const (
	faultNone fault = iota
	// faultResponseLost: the write takes effect and its response is lost.
	faultResponseLost
	// faultRequestLost: the write has no effect, and the writer gets no response.
	faultRequestLost
	// faultUnavailable and faultRateLimited: the write has no effect, and the writer gets an
	// error that says so.
	faultUnavailable
	faultRateLimited
)

func newFakeStore() *fakeStore { return &fakeStore{entries: map[string]winch.Entry{}} }

func (s *fakeStore) Get(_ context.Context, key string) (winch.Entry, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.gets++
	if s.unavailable {
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
	case s.unavailable, next == faultUnavailable:
		return 0, winch.ErrUnavailable
	case next == faultRateLimited:
		return 0, winch.ErrRateLimited
	case next == faultRequestLost:
		return 0, winch.ErrOutcomeUnknown
	case expect != winch.VersionAny && s.entries[key].Version != expect:
		return 0, winch.ErrConflict
	}
	s.version++
	s.entries[key] = winch.Entry{Key: key, Value: append([]byte(nil), value...), Version: s.version}
	if next == faultResponseLost {
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

func (s *fakeStore) setUnavailable(unavailable bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unavailable = unavailable
}
