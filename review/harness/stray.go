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

func init() { cases["stray"] = stray }

// stray: runners of a share send additional bytes after a complete response, late, at the point where the next response is
// expected. The bytes are the refusals of the pages' own examples (421 and 503), which have no Attempt-Id.
func stray(dir string) int {
	const (
		faultyShare = 0.6  // garble, how "extra late": share
		everyNth    = 34   // garble: x = 0.03, one answer in 34
		troubleFor  = 5    // garble: for_s
		perSecond   = 120  // requests a second
		length      = 12.0 // seconds
	)
	trouble := os.Getenv("TROUBLE") != "0"
	store := NewStore()
	address := serveHTTP(store)
	var mu sync.Mutex
	runs, statuses := map[string]int{}, map[string]int{}
	begun := time.Now()
	troubled := func() bool {
		at := time.Since(begun).Seconds()
		return trouble && at >= 4 && at < 4+troubleFor
	}
	answers := atomic.Int64{}
	strays := atomic.Int64{}
	runners := []*Runner{}
	for i := range 5 {
		faulty := float64(i) < faultyShare*5
		pending := sync.Map{} // connections on which additional bytes are to come
		runners = append(runners, newRunner(fmt.Sprintf("i-%d", i), "desk", func(r *Runner, c *Call) bool {
			if _, found := pending.LoadAndDelete(c.Conn); found {
				status := "421 Misdirected Request\r\nRunner-Id: " + r.ID
				if strays.Add(1)%2 == 0 {
					status = "503 Service Unavailable\r\nNot-Executed: 1"
				}
				note("runner %s sends additional bytes, %q, on the connection on which %s came", r.ID, status, c.ID)
				fmt.Fprintf(c.Conn, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", status)
			}
			mu.Lock()
			runs[c.ID]++
			mu.Unlock()
			note("runner %s runs %s", r.ID, c.ID)
			time.Sleep(15 * time.Millisecond)
			fmt.Fprintf(c.Conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: s-%s\r\nKeep-Alive: timeout=5\r\nContent-Length: 9\r\n\r\nconfirmed", c.ID, c.ID)
			if faulty && troubled() && answers.Add(1)%everyNth == 0 {
				pending.Store(c.Conn, true)
			}
			return true
		}))
	}
	for _, r := range runners {
		r.beat(store, "ready", 6, false)
	}
	store.Set("op/config", configuration(1, []Route{{Name: "confirm", Type: "non_idempotent", Service: "desk", TimeoutMS: 600, TargetMS: 100, Attempts: 1}}, map[string][]string{"t": {"k1"}}))
	hosts := []*Host{newHost(dir, "front-1", address, "", 134), newHost(dir, "front-2", address, "", 134)}
	for _, h := range hosts {
		h.start()
	}
	for _, h := range hosts {
		h.waitReady(10 * time.Second)
	}
	begun = time.Now()
	wg := sync.WaitGroup{}
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	for n := 0; time.Since(begun).Seconds() < length; n++ {
		<-ticker.C
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("r%05d", n)
			c, err := net.DialTimeout("tcp", hosts[n%len(hosts)].Front, time.Second)
			if err != nil {
				note("client: no connection for %s", id)
				return
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(5 * time.Second))
			note("client sends %s", id)
			fmt.Fprintf(c, "POST /confirm/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 600\r\nAuthorization: Bearer k1\r\nContent-Length: 4\r\n\r\nhire", id)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				note("client: no answer to %s: %v", id, err)
				return
			}
			body, _ := io.ReadAll(resp.Body)
			note("client gets %d for %s: %q", resp.StatusCode, id, body)
			mu.Lock()
			statuses[id] = resp.StatusCode
			mu.Unlock()
		}()
	}
	wg.Wait()
	time.Sleep(200 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	refused, twice, served := 0, 0, 0
	for id, status := range statuses {
		switch {
		case status == 200:
			served++
		case (status == 503 || status == 429 || status == 408 || status == 421) && runs[id] > 0:
			refused++
			note("REFUSED broken: %s is answered %d and has run %d times", id, status, runs[id])
		}
	}
	for id, count := range runs {
		if count > 1 {
			twice++
			note("TWICE broken: %s has run %d times", id, count)
		}
	}
	note("%d requests answered, %d with 200; additional bytes sent %d times; REFUSED broken %d times, TWICE %d times", len(statuses), served, strays.Load(), refused, twice)
	if served < len(statuses)/2 {
		cannotRun("less than half was served")
	}
	if refused+twice > 0 {
		return 1
	}
	return 0
}
