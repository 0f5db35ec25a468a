package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["lasttenant"] = playLastTenant }

const (
	revokeLimit = 5 * time.Second // revoke_ms
	// changeAt is the number of the request before which the keys are taken away.
	changeAt = 40
)

// tenantCase: keys are taken away (revoke). They are the last ones of the only tenant, which leaves with them. Without the disruption
// one of its two keys stays.
type tenantCase struct {
	store               *Store
	routes              []Route
	served              int
	ranLate, ranUnknown atomic.Int64
	troubled            bool

	mu        sync.Mutex
	sentAt    map[string]time.Time
	revokedAt time.Time
}

func playLastTenant(dir string) int {
	s := &tenantCase{store: NewStore(), sentAt: map[string]time.Time{}, troubled: os.Getenv("TROUBLE") != "0"}
	address := serveHTTP(s.store)
	newRunner("i-1", "desk", s.run).beat(s.store, "ready", 6, false)
	s.routes = []Route{{Name: "hold", Type: "non_idempotent", Service: "desk", TimeoutMS: 4000, TargetMS: 300, Attempts: 1}}
	s.store.Set(page("{config}"), configuration(1, s.routes, map[string][]string{"t": {"k1", "k2"}}))
	hosts := []*Host{newHost(dir, "front-1", address, "", 134), newHost(dir, "front-2", address, "", 134)}
	for _, h := range hosts {
		h.start()
	}
	for _, h := range hosts {
		h.waitReady(10 * time.Second)
	}
	begun := time.Now()
	for n := 0; time.Since(begun) < 16*time.Second; n++ {
		if n == changeAt {
			s.change()
		}
		h := hosts[n%2]
		if s.send(h, fmt.Sprintf("r%03d", n), "k1") == 200 && n < changeAt {
			s.served++
		}
		if !s.troubled {
			s.send(h, fmt.Sprintf("s%03d", n), "k2")
		}
		s.send(h, fmt.Sprintf("u%03d", n), "never-given")
		time.Sleep(100 * time.Millisecond)
	}
	note("%d served before; CONFIG broken %d times, ROUTE %d times", s.served, s.ranLate.Load(), s.ranUnknown.Load())
	if s.served < changeAt*3/4 {
		cannotRun("too little was served before the change")
	}
	if s.ranLate.Load()+s.ranUnknown.Load() > 0 {
		return 1
	}
	return 0
}

// change writes the configuration that holds the key k1 no longer.
func (s *tenantCase) change() {
	keys := map[string][]string{"t": {"k2"}}
	if s.troubled {
		keys = map[string][]string{}
	}
	content := configuration(2, s.routes, keys)
	s.store.Set(page("{config}"), content)
	s.mu.Lock()
	s.revokedAt = time.Now()
	s.mu.Unlock()
	note("the store acknowledges version 2, which holds %d tenants and not the key k1: %s", len(keys), content)
}

// run runs a request. Its id begins with r if its key is the one that is taken away, with u if its key never was given.
func (s *tenantCase) run(r *Runner, c *Call) bool {
	s.mu.Lock()
	sent, revoked := s.sentAt[c.ID], s.revokedAt
	s.mu.Unlock()
	note("runner %s runs %s, Tenant %q", r.ID, c.ID, c.Req.Header.Get("Tenant"))
	switch {
	case c.ID[0] == 'u':
		s.ranUnknown.Add(1)
		note("ROUTE broken: %s runs, whose key no configuration ever held", c.ID)
	case c.ID[0] == 'r' && !revoked.IsZero() && sent.After(revoked.Add(revokeLimit)):
		s.ranLate.Add(1)
		note("CONFIG broken: %s runs, sent %.3f s after the acknowledgement of the configuration that took its key away", c.ID, sent.Sub(revoked).Seconds())
	}
	fmt.Fprintf(c.Conn, page("HTTP/1.1 200 OK\r\n{id}: %s\r\n{signature}: s-%s\r\nKeep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\nheld"), c.ID, c.ID)
	return true
}

// send sends a request on a connection of its own and returns the status, zero without an answer.
func (s *tenantCase) send(h *Host, id, key string) int {
	c, err := net.DialTimeout("tcp", h.Front, time.Second)
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	s.mu.Lock()
	s.sentAt[id] = time.Now()
	s.mu.Unlock()
	note("client sends %s with the key %s", id, key)
	fmt.Fprintf(c, page("POST /hold/x HTTP/1.1\r\nHost: a.example\r\n{id}: %s\r\n{deadline}: 4000\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n\r\nhire"), id, key)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	note("client gets %d for %s", resp.StatusCode, id)
	return resp.StatusCode
}
