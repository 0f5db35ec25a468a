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

func init() { cases["stray"] = playStray }

// The disruption stays inside that of the site: garble, how "extra late", share 0.6, x 0.03, for_s 5.
const (
	strayShare    = 0.6
	strayEveryNth = 34
	strayFrom     = 4.0 // seconds
	strayFor      = 5.0
	strayLength   = 12.0
	strayRunners  = 5
	strayPerS     = 120
)

// strayCase: runners of a share send additional bytes after a complete response, late, at the point where the next response is
// expected. The bytes are the refusals of the pages' own examples (421 and 503), without an id.
type strayCase struct {
	trouble bool
	begun   time.Time
	hosts   []*Host
	// answers counts those of the faulty runners during the disruption, strays the additional bytes that were sent.
	answers, strays atomic.Int64
	// pending holds the connections on which additional bytes are to come.
	pending sync.Map

	mu             sync.Mutex
	runs, statuses map[string]int
}

func playStray(dir string) int {
	s := &strayCase{trouble: os.Getenv("TROUBLE") != "0", begun: time.Now(), runs: map[string]int{}, statuses: map[string]int{}}
	store := NewStore()
	address := serveHTTP(store)
	for i := range strayRunners {
		faulty := float64(i) < strayShare*strayRunners
		newRunner(fmt.Sprintf("i-%d", i), "desk", func(r *Runner, c *Call) bool { return s.run(r, c, faulty) }).beat(store, "ready", 6, false)
	}
	store.Set(page("{config}"), configuration(1, []Route{{Name: "confirm", Type: "non_idempotent", Service: "desk", TimeoutMS: 600, TargetMS: 100, Attempts: 1}}, map[string][]string{"t": {"k1"}}))
	s.hosts = []*Host{newHost(dir, "front-1", address, "", 134), newHost(dir, "front-2", address, "", 134)}
	for _, h := range s.hosts {
		h.start()
	}
	for _, h := range s.hosts {
		h.waitReady(10 * time.Second)
	}
	s.begun = time.Now()
	wg := sync.WaitGroup{}
	ticker := time.NewTicker(time.Second / strayPerS)
	defer ticker.Stop()
	for n := 0; time.Since(s.begun).Seconds() < strayLength; n++ {
		<-ticker.C
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.send(s.hosts[n%len(s.hosts)], fmt.Sprintf("r%05d", n))
		}()
	}
	wg.Wait()
	time.Sleep(200 * time.Millisecond)
	return s.judge()
}

// troubled reports whether runners are faulty now.
func (s *strayCase) troubled() bool {
	at := time.Since(s.begun).Seconds()
	return s.trouble && at >= strayFrom && at < strayFrom+strayFor
}

// run runs a request, after additional bytes if some are to come on its connection.
func (s *strayCase) run(r *Runner, c *Call, faulty bool) bool {
	if _, found := s.pending.LoadAndDelete(c.Conn); found {
		status := page("421 Misdirected Request\r\n{runner}: ") + r.ID
		if s.strays.Add(1)%2 == 0 {
			status = page("503 Service Unavailable\r\n{notrun}: 1")
		}
		note("runner %s sends additional bytes, %q, on the connection on which %s came", r.ID, status, c.ID)
		fmt.Fprintf(c.Conn, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", status)
	}
	s.mu.Lock()
	s.runs[c.ID]++
	s.mu.Unlock()
	note("runner %s runs %s", r.ID, c.ID)
	time.Sleep(15 * time.Millisecond)
	fmt.Fprintf(c.Conn, page("HTTP/1.1 200 OK\r\n{id}: %s\r\n{signature}: s-%s\r\nKeep-Alive: timeout=5\r\nContent-Length: 9\r\n\r\nconfirmed"), c.ID, c.ID)
	if faulty && s.troubled() && s.answers.Add(1)%strayEveryNth == 0 {
		s.pending.Store(c.Conn, true)
	}
	return true
}

// send sends a request on a connection of its own.
func (s *strayCase) send(h *Host, id string) {
	c, err := net.DialTimeout("tcp", h.Front, time.Second)
	if err != nil {
		note("client: no connection for %s", id)
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	note("client sends %s", id)
	fmt.Fprintf(c, page("POST /confirm/x HTTP/1.1\r\nHost: a.example\r\n{id}: %s\r\n{deadline}: 600\r\nAuthorization: Bearer k1\r\nContent-Length: 4\r\n\r\nhire"), id)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		note("client: no answer to %s: %v", id, err)
		return
	}
	body, _ := io.ReadAll(resp.Body)
	note("client gets %d for %s: %q", resp.StatusCode, id, body)
	s.mu.Lock()
	s.statuses[id] = resp.StatusCode
	s.mu.Unlock()
}

// judge returns the status of the script.
func (s *strayCase) judge() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	refused, twice, served := 0, 0, 0
	for id, status := range s.statuses {
		switch status {
		case 200:
			served++
		case 408, 421, 429, 503:
			if s.runs[id] > 0 {
				refused++
				note("REFUSED broken: %s is answered %d and has run %d times", id, status, s.runs[id])
			}
		}
	}
	for id, count := range s.runs {
		if count > 1 {
			twice++
			note("TWICE broken: %s has run %d times", id, count)
		}
	}
	note("%d requests answered, %d with 200; additional bytes sent %d times; REFUSED broken %d times, TWICE %d times", len(s.statuses), served, s.strays.Load(), refused, twice)
	if served < len(s.statuses)/2 {
		cannotRun("less than half was served")
	}
	if refused+twice > 0 {
		return 1
	}
	return 0
}
