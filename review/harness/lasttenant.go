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

func init() { cases["lasttenant"] = lastTenant }

// lastTenant: keys are taken away (revoke). They are the last ones of the only tenant, which leaves with them. Without the disruption
// one of its two keys stays.
func lastTenant(dir string) int {
	const revoke = 5 * time.Second // revoke_ms
	store := NewStore()
	address := serveHTTP(store)
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	var revokedAt time.Time
	ranLate, ranUnknown := atomic.Int64{}, atomic.Int64{}
	runner := newRunner("i-1", "desk", func(r *Runner, c *Call) bool {
		mu.Lock()
		sent, revoked := sentAt[c.ID], revokedAt
		mu.Unlock()
		note("runner %s runs %s, Tenant %q", r.ID, c.ID, c.Req.Header.Get("Tenant"))
		if c.ID[0] == 'u' {
			ranUnknown.Add(1)
			note("ROUTE broken: %s runs, whose key no configuration ever held", c.ID)
		} else if c.ID[0] == 'r' && !revoked.IsZero() && sent.After(revoked.Add(revoke)) {
			ranLate.Add(1)
			note("CONFIG broken: %s runs, sent %.3f s after the acknowledgement of the configuration that took its key away", c.ID, sent.Sub(revoked).Seconds())
		}
		fmt.Fprintf(c.Conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: s-%s\r\nKeep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\nheld", c.ID, c.ID)
		return true
	})
	runner.beat(store, "ready", 6, false)
	routes := []Route{{Name: "hold", Type: "non_idempotent", Service: "desk", TimeoutMS: 4000, TargetMS: 300, Attempts: 1}}
	store.Set("op/config", configuration(1, routes, map[string][]string{"t": {"k1", "k2"}}))
	hosts := []*Host{newHost(dir, "front-1", address, "", 134), newHost(dir, "front-2", address, "", 134)}
	for _, h := range hosts {
		h.start()
	}
	for _, h := range hosts {
		h.waitReady(10 * time.Second)
	}
	send := func(h *Host, id, key string) int {
		c, err := net.DialTimeout("tcp", h.Front, time.Second)
		if err != nil {
			return 0
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		mu.Lock()
		sentAt[id] = time.Now()
		mu.Unlock()
		note("client sends %s with the key %s", id, key)
		fmt.Fprintf(c, "POST /hold/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n\r\nhire", id, key)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return 0
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		note("client gets %d for %s", resp.StatusCode, id)
		return resp.StatusCode
	}
	served := 0
	begun := time.Now()
	for n := 0; time.Since(begun) < 16*time.Second; n++ {
		if n == 40 {
			keys := map[string][]string{"t": {"k2"}}
			if os.Getenv("TROUBLE") != "0" {
				keys = map[string][]string{}
			}
			store.Set("op/config", configuration(2, routes, keys))
			mu.Lock()
			revokedAt = time.Now()
			mu.Unlock()
			note("the store acknowledges version 2, which holds %d tenants and not the key k1: %s", len(keys), configuration(2, routes, keys))
		}
		h := hosts[n%2]
		if send(h, fmt.Sprintf("r%03d", n), "k1") == 200 && n < 40 {
			served++
		}
		if os.Getenv("TROUBLE") == "0" {
			send(h, fmt.Sprintf("s%03d", n), "k2")
		}
		send(h, fmt.Sprintf("u%03d", n), "never-given")
		time.Sleep(100 * time.Millisecond)
	}
	note("%d served before; CONFIG broken %d times, ROUTE %d times", served, ranLate.Load(), ranUnknown.Load())
	if served < 30 {
		cannotRun("too little was served before the change")
	}
	if ranLate.Load()+ranUnknown.Load() > 0 {
		return 1
	}
	return 0
}
