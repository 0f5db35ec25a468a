package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

func init() { cases["anonymous"] = playAnonymous }

// The disruption is that of the site: platform_down, how "busy", for_s 8.
const (
	downFrom   = 4 * time.Second
	downFor    = 8 * time.Second
	downLength = 18 * time.Second
)

// anonymousCase: the store is down (busy). Clients send their key on all routes, also on one that is exempt.
type anonymousCase struct {
	begun                time.Time
	served, right, wrong atomic.Int64
}

func playAnonymous(dir string) int {
	s := &anonymousCase{begun: time.Now()}
	store := NewStore()
	address := serveHTTP(store)
	newRunner("i-1", "desk", s.run).beat(store, "ready", 6, false)
	routes := []Route{{Name: "order", Type: "non_idempotent", Service: "desk", TimeoutMS: 4000, TargetMS: 300, Attempts: 1, Exempt: true}, {Name: "hold", Type: "non_idempotent", Service: "desk", TimeoutMS: 4000, TargetMS: 300, Attempts: 1}}
	store.Set(page("{config}"), configuration(1, routes, map[string][]string{"t": {"k1"}}))
	hosts := []*Host{newHost(dir, "front-1", address, "", 134), newHost(dir, "front-2", address, "", 134)}
	for _, h := range hosts {
		h.start()
	}
	for _, h := range hosts {
		h.waitReady(10 * time.Second)
	}
	s.begun = time.Now()
	down := func() bool {
		at := time.Since(s.begun)
		return os.Getenv("TROUBLE") != "0" && at >= downFrom && at < downFrom+downFor
	}
	store.Reject = func(w http.ResponseWriter, _ *http.Request) bool {
		if !down() {
			return false
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	was := false
	for n := 0; time.Since(s.begun) < downLength; n++ {
		if is := down(); is != was {
			was = is
			note("the store answers 503 to all calls: %v", is)
		}
		s.send(hosts[n%2], "order", fmt.Sprintf("r%03d", n))
		s.send(hosts[n%2], "hold", fmt.Sprintf("h%03d", n))
		time.Sleep(100 * time.Millisecond)
	}
	note("%d answered with 200; %d ran with the Tenant of their key, %d without", s.served.Load(), s.right.Load(), s.wrong.Load())
	if s.right.Load() < 40 {
		cannotRun("too little was served")
	}
	if s.wrong.Load() > 0 {
		return 1
	}
	return 0
}

func (s *anonymousCase) run(r *Runner, c *Call) bool {
	tenant := c.Req.Header.Get("Tenant")
	note("runner %s runs %s (%s), Tenant %q", r.ID, c.ID, c.Req.URL.Path, tenant)
	if tenant == "t" {
		s.right.Add(1)
	} else {
		s.wrong.Add(1)
		note("UNASKED broken: %s runs with the Tenant %q, and its key is held by t", c.ID, tenant)
	}
	fmt.Fprintf(c.Conn, page("HTTP/1.1 200 OK\r\n{id}: %s\r\n{signature}: s-%s\r\nKeep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\nheld"), c.ID, c.ID)
	return true
}

func (s *anonymousCase) send(h *Host, route, id string) {
	c, err := net.DialTimeout("tcp", h.Front, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	note("client sends %s to /%s/ with the key k1", id, route)
	fmt.Fprintf(c, page("POST /%s/x HTTP/1.1\r\nHost: a.example\r\n{id}: %s\r\n{deadline}: 4000\r\nAuthorization: Bearer k1\r\nContent-Length: 4\r\n\r\nhire"), route, id)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	note("client gets %d for %s", resp.StatusCode, id)
	if resp.StatusCode == 200 {
		s.served.Add(1)
	}
}
