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
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["memory"] = memory }

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

// memory: many users come at once (burst). All requests keep to the limits of the configuration. The stand-in of the platform kills a
// process that exceeds memory_mb and starts it again.
func memory(dir string) int {
	const (
		memoryMB = 134
		size     = 4194304 // max_body_bytes
		burstX   = 2.2
		burstS   = 9.0
		linkMbps = 1000.0
		piece    = 64 << 10
	)
	perSecond := 24.0 // 805 of the 1,000 Mbit/s of a machine's link
	if s := os.Getenv("RATE"); s != "" {
		perSecond, _ = strconv.ParseFloat(s, 64)
	}
	store := NewStore()
	address := serveHTTP(store)
	var mu sync.Mutex
	ran := map[string]bool{}
	runners := []*Runner{}
	for i := range 3 {
		runners = append(runners, newRunner(fmt.Sprintf("i-%d", i), "desk", func(r *Runner, c *Call) bool {
			mu.Lock()
			ran[c.ID] = true
			mu.Unlock()
			note("runner %s runs %s, %d bytes", r.ID, c.ID, len(c.Body))
			time.Sleep(60 * time.Millisecond)
			fmt.Fprintf(c.Conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: s-%s\r\nKeep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\nheld", c.ID, c.ID)
			return true
		}))
	}
	for _, r := range runners {
		r.beat(store, "ready", 6, false)
	}
	store.Set("op/config", configuration(1, []Route{{Name: "hold", Type: "non_idempotent", Service: "desk", TimeoutMS: 4000, TargetMS: 300, Attempts: 1}}, map[string][]string{"t": {"k1"}}))
	hosts := []*Host{newHost(dir, "front-1", address, "", memoryMB), newHost(dir, "front-2", address, "", memoryMB)}
	for _, h := range hosts {
		h.start()
	}
	done, watched := make(chan struct{}), sync.WaitGroup{}
	peaks, kills := make([]float64, len(hosts)), make([]int, len(hosts))
	for i, h := range hosts {
		h.waitReady(10 * time.Second)
		watched.Add(1)
		go func() {
			defer watched.Done()
			for {
				select {
				case <-done:
					return
				case <-time.After(2 * time.Millisecond):
				}
				m := h.rssMB()
				peaks[i] = max(peaks[i], m)
				if m > memoryMB {
					kills[i]++
					note("host %s uses %.1f MB, more than memory_mb = %d: the platform kills it", h.Name, m, memoryMB)
					h.signal(syscall.SIGKILL)
					<-h.exited
					time.Sleep(300 * time.Millisecond)
					h.start()
				}
			}
		}()
	}
	body := bytes.Repeat([]byte("x"), size)
	begun := time.Now()
	links := []*bucket{{perSecond: linkMbps * 1e6 / 8}, {perSecond: linkMbps * 1e6 / 8}}
	var cut, served, other, late atomic.Int64
	send := func(h *Host, link *bucket, id string) {
		c, err := net.DialTimeout("tcp", h.Front, time.Second)
		if err != nil {
			note("client: no connection for %s", id)
			return
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(4 * time.Second))
		note("client sends %s", id)
		_, err = fmt.Fprintf(c, "POST /hold/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer k1\r\nContent-Length: %d\r\n\r\n", id, size)
		for rest := body; len(rest) > 0 && err == nil; rest = rest[min(len(rest), piece):] {
			link.wait(piece)
			_, err = c.Write(rest[:min(len(rest), piece)])
		}
		resp, readErr := http.ReadResponse(bufio.NewReader(c), nil)
		if readErr != nil {
			var ne net.Error
			if errors.As(readErr, &ne) && ne.Timeout() {
				late.Add(1)
				note("client gives %s up at its deadline", id)
				return
			}
			mu.Lock()
			passed := ran[id]
			mu.Unlock()
			note("client: the connection of %s ends without an answer (%v, %v); passed on to a runner: %v", id, err, readErr, passed)
			cut.Add(1)
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		note("client gets %d for %s", resp.StatusCode, id)
		if resp.StatusCode == 200 {
			served.Add(1)
		} else {
			other.Add(1)
		}
	}
	wg := sync.WaitGroup{}
	next := time.Now()
	for n := 0; time.Since(begun) < 20*time.Second; n++ {
		rate := perSecond
		if at := time.Since(begun).Seconds(); os.Getenv("TROUBLE") != "0" && at > 5 && at < 5+burstS {
			rate *= burstX
		}
		time.Sleep(time.Until(next))
		next = next.Add(time.Duration(float64(time.Second) / rate / float64(len(hosts))))
		wg.Add(1)
		go func() { defer wg.Done(); send(hosts[n%2], links[n%2], fmt.Sprintf("r%d", n)) }()
	}
	wg.Wait()
	close(done)
	watched.Wait()
	note("%d served, %d refused or failed; peaks of the memory %.1f MB; killed for their memory %d times; %d given up at the deadline; %d connections ended without an answer", served.Load(), other.Load(), peaks, kills, late.Load(), cut.Load())
	if served.Load() == 0 {
		cannotRun("nothing was served")
	}
	// Fault: on a tenth of the machines in use (two at least) processes end by themselves three times.
	if kills[0] >= 3 && kills[1] >= 3 {
		return 1
	}
	return 0
}
