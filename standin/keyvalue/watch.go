package keyvalue

import (
	"context"
	"strings"
	"time"
)

// watcher is a waiting call of Watch.
type watcher struct {
	prefix string
	wake   chan struct{}
}

// Watch waits until a key with the prefix has changed after the version, until wait has
// passed or until ctx is done. It returns each changed key once, in its current state, and
// the revision; no entries when nothing has changed; and ErrCompacted when changes after the version
// are no longer kept.
func (s *Store) Watch(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Entry, Version, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	waiting := &watcher{prefix: prefix, wake: make(chan struct{}, 1)}
	s.mu.Lock()
	s.watchers[waiting] = struct{}{}
	s.mu.Unlock()
	defer s.removeWatcher(waiting)
	for {
		entries, revision, err := s.changes(prefix, after)
		if err != nil || len(entries) > 0 {
			return entries, revision, err
		}
		select {
		case <-waiting.wake:
		case <-timer.C:
			return s.changes(prefix, after)
		case <-ctx.Done():
			return s.changes(prefix, after)
		}
	}
}

func (s *Store) removeWatcher(waiting *watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watchers, waiting)
}

func (s *Store) changes(prefix string, after Version) ([]Entry, Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compacted {
		return nil, s.revision, ErrCompacted
	}
	entries := []Entry{}
	seen := map[string]bool{}
	for i := len(s.history) - 1; i >= 0 && s.history[i].version > after; i-- {
		changed := s.history[i]
		if seen[changed.key] || !strings.HasPrefix(changed.key, prefix) {
			continue
		}
		seen[changed.key] = true
		entry, found := s.entry(changed.key)
		if !found {
			entry = Entry{Key: changed.key, Version: changed.version, Deleted: true}
		}
		entries = append(entries, entry)
	}
	for i, j := 0, len(entries)-1; i < j; i, j = i+1, j-1 {
		entries[i], entries[j] = entries[j], entries[i]
	}
	return entries, s.revision, nil
}

func (s *Store) notify(key string) {
	for waiting := range s.watchers {
		if !strings.HasPrefix(key, waiting.prefix) {
			continue
		}
		select {
		case waiting.wake <- struct{}{}:
		default:
		}
	}
}
