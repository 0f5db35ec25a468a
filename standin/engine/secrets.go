package engine

import (
	"net/http"
	"sort"
	"sync"
)

// secretLimit is the largest number of distinct values that are kept.
const secretLimit = 4096

// secrets records the credentials that requests carried, so that a test can check which
// of them reach the engine.
type secrets struct {
	mu   sync.Mutex
	seen map[string]struct{}
}

func (s *secrets) note(header http.Header) {
	for _, name := range [...]string{"Authorization", "Cookie", "Proxy-Authorization", "X-Api-Key"} {
		for _, value := range header[name] {
			s.add(name + ": " + value)
		}
	}
}

func (s *secrets) add(value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.seen) < secretLimit {
		s.seen[value] = struct{}{}
	}
}

func (s *secrets) list() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]string, 0, len(s.seen))
	for value := range s.seen {
		out = append(out, value)
	}
	sort.Strings(out)
	return out
}
