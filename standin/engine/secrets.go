package engine

import (
	"net/http"
	"sort"
	"sync"
)

// credentialLimit is the largest number of distinct values that are kept.
const credentialLimit = 4096

// credentials records the credentials that requests carried, so that a test can check which
// of them reach the engine.
type credentials struct {
	mu     sync.Mutex
	values map[string]struct{}
}

func (s *credentials) record(header http.Header) {
	for _, name := range [...]string{"Authorization", "Cookie", "Proxy-Authorization", "X-Api-Key"} {
		for _, value := range header[name] {
			s.add(name + ": " + value)
		}
	}
}

func (s *credentials) add(value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.values) < credentialLimit {
		s.values[value] = struct{}{}
	}
}

func (s *credentials) list() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]string, 0, len(s.values))
	for value := range s.values {
		out = append(out, value)
	}
	sort.Strings(out)
	return out
}
