package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["torn"] = tornBytes }

const (
	// The largest dose of garble "extra late" in the site file.
	garbledShare = 0.6
	// garbledEvery is the number of answers of which one is followed by additional bytes: 0.03 of them at most.
	garbledEvery = 34
	garbledTime  = 5 * time.Second
	tornRunners  = 5
)

// tornBytes has some runners send additional bytes after a complete answer, late, at the point where the next answer is expected. The bytes
// are a refusal that is truncated in its head.
func tornBytes(_ string, trouble bool) bool {
	s, c := newStore(), newCloud()
	s.set("op/config", configuration(1, []route{once("hold", "/hold/", "desk")}, []string{"desk"}, tenants))
	garbling, answers, sent := atomic.Bool{}, atomic.Int64{}, atomic.Int64{}
	var mu sync.Mutex
	owing := map[net.Conn]bool{}
	runners := []*runner{}
	for i := range tornRunners {
		r := newRunner(fmt.Sprintf("i-%d", i), "desk", "abc"[i%3:i%3+1])
		faulty := float64(i) < garbledShare*tornRunners
		r.serve = func(r *runner, conn net.Conn, request *http.Request, _ []byte) bool {
			time.Sleep(15 * time.Millisecond)
			if !faulty {
				r.answer(conn, request, "the whole answer")
				return true
			}
			mu.Lock()
			late := owing[conn]
			delete(owing, conn)
			if garbling.Load() && answers.Add(1)%garbledEvery == 0 {
				// This answer is complete. Additional bytes will follow it, late.
				owing[conn] = true
			}
			mu.Unlock()
			if late {
				// One of the two refusals that the pages print, without the end of its head: the 421 ends at any byte of its head, the
				// 503, each fourth time, with its last value.
				torn := "HTTP/1.1 421 Misdirected Request\r\nRunner-Id: " + r.id
				torn = torn[:1+rand.IntN(len(torn))]
				if sent.Add(1)%4 == 0 {
					torn = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1"
				}
				note("RUNNER %s: additional bytes %q, and then the answer to %s, which has run", r.id, torn, request.Header.Get("Attempt-Id"))
				fmt.Fprint(conn, torn)
			}
			r.answer(conn, request, "the whole answer")
			return true
		}
		r.register(s, "ready")
		r.beat(s, make(chan struct{}))
		runners = append(runners, r)
	}
	for i := range 2 {
		newHost(fmt.Sprintf("front-%d", i), fmt.Sprintf("127.0.0.%d", 11+i), "abc"[i:i+1], s.address, c.address, 284).start()
	}
	for _, h := range started {
		h.awaitReady()
	}
	time.Sleep(2 * time.Second)
	seen, callers := &results{}, sync.WaitGroup{}
	stop := time.Now().Add(14 * time.Second)
	time.AfterFunc(4*time.Second, func() {
		if trouble {
			note("RUNNERS: %d of %d garble from now on", int(garbledShare*tornRunners), tornRunners)
			garbling.Store(true)
		}
	})
	time.AfterFunc(4*time.Second+garbledTime, func() { garbling.Store(false) })
	for w, h := range started {
		callers.Add(1)
		go func() {
			defer callers.Done()
			client := newCaller()
			for i := 0; time.Now().Before(stop); i++ {
				callers.Add(1)
				go func() {
					defer callers.Done()
					// Each id is sent once: the clients do not repeat.
					seen.add(client.call(h, "POST", "/hold/x", fmt.Sprintf("o-%d-%d", w, i), "k1", 4*time.Second, "x"))
				}()
				time.Sleep(16 * time.Millisecond)
			}
		}()
	}
	callers.Wait()
	ran := map[string]int{}
	for _, r := range runners {
		r.mu.Lock()
		for _, each := range r.ran {
			ran[each.id]++
			note("RUNNER %s ran %s at %.3f", r.id, each.id, each.at.Sub(began).Seconds())
		}
		r.mu.Unlock()
	}
	// TWICE: a request that isn't idempotent runs more than once. REFUSED: one is answered 429 or 503 (or 408, 421) and has run.
	twice, refused, served := 0, 0, 0
	for _, each := range seen.list() {
		if ran[each.id] > 1 {
			twice++
			note("TWICE: %s ran %d times, status %d", each.id, ran[each.id], each.status)
		}
		switch each.status {
		case 408, 421, 429, 503:
			if ran[each.id] > 0 {
				refused++
				note("REFUSED: %s got %d and has run", each.id, each.status)
			}
		case 200:
			served++
		}
	}
	note("%d requests, %d served, additional bytes %d times, TWICE %d, REFUSED %d", len(seen.list()), served, sent.Load(), twice, refused)
	return twice+refused == 0
}
