package keyvalue

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/arbutuswinch/winch"
)

// fault is a failure that the fake injects into a call.
type fault int

const (
	faultNone fault = iota
	faultUnavailable
	faultRequestLost
	faultResponseLost
	// faultDelayedWrite returns an unknown outcome; the write takes effect at the next call.
	faultDelayedWrite
)

// fakeService is an in-memory key-value service with fault injection.
type fakeService struct {
	mu      sync.Mutex
	version winch.Version
	entries map[string]winch.Entry
	delayed []func()
	calls   map[string]int
	bytes   int
	// injectFault is called before each call and returns its fault.
	injectFault func(call, key string) fault
}

func newFakeService() *fakeService {
	return &fakeService{entries: map[string]winch.Entry{}, calls: map[string]int{}, injectFault: func(string, string) fault { return faultNone }}
}

func (f *fakeService) startCall(call, key string) fault {
	for _, write := range f.delayed {
		write()
	}
	f.delayed = nil
	f.calls[call]++
	return f.injectFault(call, key)
}

func (f *fakeService) startRead(call, key string) error {
	if f.startCall(call, key) != faultNone {
		return fmt.Errorf("%s %s: %w", call, key, winch.ErrUnavailable)
	}
	return nil
}

func (f *fakeService) Get(_ context.Context, key string) (winch.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.startRead("get", key); err != nil {
		return winch.Entry{}, err
	}
	entry, found := f.entries[key]
	if !found || entry.Deleted {
		return winch.Entry{}, fmt.Errorf("get %s: %w", key, winch.ErrNotFound)
	}
	return entry, nil
}

func (f *fakeService) list(prefix string, after winch.Version) []winch.Entry {
	entries := []winch.Entry{}
	for key, entry := range f.entries {
		if strings.HasPrefix(key, prefix) && entry.Version > after && (after > 0 || !entry.Deleted) {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(a, b winch.Entry) int { return cmp.Compare(a.Key, b.Key) })
	return entries
}

func (f *fakeService) List(_ context.Context, prefix string) ([]winch.Entry, winch.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.startRead("list", prefix); err != nil {
		return nil, 0, err
	}
	return f.list(prefix, 0), f.version, nil
}

func (f *fakeService) Watch(_ context.Context, prefix string, after winch.Version, _ time.Duration) ([]winch.Entry, winch.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.startRead("watch", prefix); err != nil {
		return nil, 0, err
	}
	return f.list(prefix, after), f.version, nil
}

func (f *fakeService) Put(_ context.Context, key string, value []byte, expect winch.Version) (winch.Version, error) {
	if len(value) > 1<<20 {
		return 0, fmt.Errorf("put %s: %w", key, winch.ErrInvalid)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bytes += len(value)
	return f.write("put", winch.Entry{Key: key, Value: slices.Clone(value)}, expect)
}

func (f *fakeService) Delete(_ context.Context, key string, expect winch.Version) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, err := f.write("delete", winch.Entry{Key: key, Deleted: true}, expect)
	return err
}

func (f *fakeService) write(call string, entry winch.Entry, expect winch.Version) (winch.Version, error) {
	errUnknown := fmt.Errorf("%s %s: %w", call, entry.Key, winch.ErrOutcomeUnknown)
	switch f.startCall(call, entry.Key) {
	case faultUnavailable:
		return 0, fmt.Errorf("%s %s: %w", call, entry.Key, winch.ErrUnavailable)
	case faultRequestLost:
		return 0, errUnknown
	case faultDelayedWrite:
		f.delayed = append(f.delayed, func() { _, _ = f.applyWrite(entry, expect) })
		return 0, errUnknown
	case faultResponseLost:
		_, _ = f.applyWrite(entry, expect)
		return 0, errUnknown
	}
	return f.applyWrite(entry, expect)
}

func (f *fakeService) applyWrite(entry winch.Entry, expect winch.Version) (winch.Version, error) {
	old, found := f.entries[entry.Key]
	present := found && !old.Deleted
	if expect == winch.VersionAbsent && present || expect > 0 && (!present || old.Version != expect) {
		return 0, fmt.Errorf("write %s: %w", entry.Key, winch.ErrConflict)
	}
	f.version++
	entry.Version = f.version
	f.entries[entry.Key] = entry
	return f.version, nil
}
