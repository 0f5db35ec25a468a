package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["memory"] = playMemory }

// The figures are those of pbk-router.
const (
	memoryMB  = 134
	bodyBytes = 4194304 // max_body_bytes
	burstX    = 2.2
	burstFor  = 9.0
	burstFrom = 5.0
	linkMbps  = 1000.0
	piece     = 64 << 10
	// usualPerS is the number of requests a second and host: 805 of the 1,000 Mbit/s of its link.
	usualPerS    = 24.0
	memoryLength = 20 * time.Second
)

// bucket bounds the bytes a second.
type bucket struct {
	mu        sync.Mutex
	perSecond float64
	next      time.Time
}

func (b *bucket) wait(n int) {
	b.mu.Lock()
	now := time.Now()
	if b.next.Before(now) {
		b.next = now
	}
	at := b.next
	b.next = b.next.Add(time.Duration(float64(n) / b.perSecond * float64(time.Second)))
	b.mu.Unlock()
	time.Sleep(time.Until(at))
}

// watched is a host whose memory the stand-in of the platform watches.
type watched struct {
	host  *Host
	link  *bucket
	peak  float64
	kills int
}

// memoryCase: many users come at once (burst). All requests keep to the limits of the configuration. The stand-in of the platform kills
// a process that exceeds memory_mb and starts it again.
type memoryCase struct {
	body                     []byte
	cut, served, other, late atomic.Int64

	mu  sync.Mutex
	ran map[string]bool
}

func playMemory(dir string) int {
	s := &memoryCase{body: bytes.Repeat([]byte("x"), bodyBytes), ran: map[string]bool{}}
	store := NewStore()
	address := serveHTTP(store)
	for i := range 3 {
		newRunner(fmt.Sprintf("i-%d", i), "desk", s.run).beat(store, "ready", 6, false)
	}
	store.Set(page("{config}"), configuration(1, []Route{{Name: "hold", Type: "non_idempotent", Service: "desk", TimeoutMS: 4000, TargetMS: 300, Attempts: 1}}, map[string][]string{"t": {"k1"}}))
	done, watches := make(chan struct{}), sync.WaitGroup{}
	hosts := []*watched{}
	for _, name := range []string{"front-1", "front-2"} {
		w := &watched{host: newHost(dir, name, address, "", memoryMB), link: &bucket{perSecond: linkMbps * 1e6 / 8}}
		w.host.start()
		w.host.waitReady(10 * time.Second)
		hosts = append(hosts, w)
		watches.Add(1)
		go func() { defer watches.Done(); w.watch(done) }()
	}
	s.traffic(hosts)
	close(done)
	watches.Wait()
	note("%d served, %d refused or failed; peaks of the memory %.1f and %.1f MB; killed for their memory %d and %d times; %d given up at the deadline; %d connections ended without an answer",
		s.served.Load(), s.other.Load(), hosts[0].peak, hosts[1].peak, hosts[0].kills, hosts[1].kills, s.late.Load(), s.cut.Load())
	if s.served.Load() == 0 {
		cannotRun("nothing was served")
	}
	// Fault: on a tenth of the machines in use (two at least) processes end by themselves three times.
	if hosts[0].kills >= 3 && hosts[1].kills >= 3 {
		return 1
	}
	return 0
}

// watch kills the process when it exceeds its memory, and starts it again.
func (w *watched) watch(done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(2 * time.Millisecond):
		}
		m := w.host.rssMB()
		w.peak = max(w.peak, m)
		if m <= memoryMB {
			continue
		}
		w.kills++
		note("host %s uses %.1f MB, more than memory_mb = %d: the platform kills it", w.host.Name, m, memoryMB)
		w.host.signal(syscall.SIGKILL)
		<-w.host.exited
		time.Sleep(300 * time.Millisecond)
		w.host.start()
	}
}

// traffic sends the usual requests, and more during the burst.
func (s *memoryCase) traffic(hosts []*watched) {
	wg := sync.WaitGroup{}
	begun, next := time.Now(), time.Now()
	for n := 0; time.Since(begun) < memoryLength; n++ {
		rate := usualPerS
		if at := time.Since(begun).Seconds(); os.Getenv("TROUBLE") != "0" && at > burstFrom && at < burstFrom+burstFor {
			rate *= burstX
		}
		time.Sleep(time.Until(next))
		next = next.Add(time.Duration(float64(time.Second) / rate / float64(len(hosts))))
		wg.Add(1)
		go func() { defer wg.Done(); s.send(hosts[n%len(hosts)], fmt.Sprintf("r%d", n)) }()
	}
	wg.Wait()
}

func (s *memoryCase) run(r *Runner, c *Call) bool {
	s.mu.Lock()
	s.ran[c.ID] = true
	s.mu.Unlock()
	note("runner %s runs %s, %d bytes", r.ID, c.ID, len(c.Body))
	time.Sleep(60 * time.Millisecond)
	fmt.Fprintf(c.Conn, page("HTTP/1.1 200 OK\r\n{id}: %s\r\n{signature}: s-%s\r\nKeep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\nheld"), c.ID, c.ID)
	return true
}

// send sends a request on a connection of its own, as fast as the link allows.
func (s *memoryCase) send(w *watched, id string) {
	c, err := net.DialTimeout("tcp", w.host.Front, time.Second)
	if err != nil {
		note("client: no connection for %s", id)
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(4 * time.Second))
	note("client sends %s", id)
	_, err = fmt.Fprintf(c, page("POST /hold/x HTTP/1.1\r\nHost: a.example\r\n{id}: %s\r\n{deadline}: 4000\r\nAuthorization: Bearer k1\r\nContent-Length: %d\r\n\r\n"), id, len(s.body))
	for rest := s.body; len(rest) > 0 && err == nil; rest = rest[min(len(rest), piece):] {
		w.link.wait(piece)
		_, err = c.Write(rest[:min(len(rest), piece)])
	}
	resp, readErr := http.ReadResponse(bufio.NewReader(c), nil)
	if readErr != nil {
		s.noteFailure(id, err, readErr)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	note("client gets %d for %s", resp.StatusCode, id)
	if resp.StatusCode == 200 {
		s.served.Add(1)
		return
	}
	s.other.Add(1)
}

// noteFailure notes a request that got no answer.
func (s *memoryCase) noteFailure(id string, writeErr, readErr error) {
	var timeout net.Error
	if errors.As(readErr, &timeout) && timeout.Timeout() {
		s.late.Add(1)
		note("client gives %s up at its deadline", id)
		return
	}
	s.mu.Lock()
	passed := s.ran[id]
	s.mu.Unlock()
	note("client: the connection of %s ends without an answer (%v, %v); passed on to a runner: %v", id, writeErr, readErr, passed)
	s.cut.Add(1)
}
