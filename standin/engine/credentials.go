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

func (c *credentials) record(header http.Header) {
	for _, name := range [...]string{"Authorization", "Cookie", "Proxy-Authorization", "X-Api-Key"} {
		for _, value := range header[name] {
			c.add(name + ": " + value)
		}
	}
}

func (c *credentials) add(value string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.values) < credentialLimit {
		c.values[value] = struct{}{}
	}
}

func (c *credentials) list() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]string, 0, len(c.values))
	for value := range c.values {
		out = append(out, value)
	}
	sort.Strings(out)
	return out
}
