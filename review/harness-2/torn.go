package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["torn"] = tornBytes }

const (
	// The largest dose of garble "extra late" in the site file: of 5 runners 3, one answer in 34, for 5 s.
	tornRunners   = 5
	faultyRunners = 3
	garbledEvery  = 34
	garbledTime   = 5 * time.Second
)

// garbler makes runners send additional bytes after a complete answer, late, at the point where the next answer is expected.
type garbler struct {
	mu      sync.Mutex
	active  bool
	answers int
	// owing are the connections on which additional bytes are due, and sent is how often they were sent.
	owing map[net.Conn]bool
	sent  int
}

func (g *garbler) set(active bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active = active
	note("RUNNERS: %d of %d garble: %t", faultyRunners, tornRunners, active)
}

// serve answers a request that has run. The answer is complete and right; additional bytes of an earlier one may stand before it.
func (g *garbler) serve(r *runner, conn net.Conn, request *http.Request, _ []byte) bool {
	time.Sleep(15 * time.Millisecond)
	g.mu.Lock()
	due := g.owing[conn]
	delete(g.owing, conn)
	if due {
		g.sent++
	}
	number := g.sent
	if g.answers++; g.active && g.answers%garbledEvery == 0 {
		g.owing[conn] = true
	}
	g.mu.Unlock()
	if due {
		bytes := tornRefusal(r, number)
		note("RUNNER %s: additional bytes %q, and then the answer to %s, which has run", r.id, bytes, request.Header.Get(page("{id}")))
		fmt.Fprint(conn, bytes)
	}
	r.answer(conn, request, "the whole answer")
	return true
}

// tornRefusal returns one of the two refusals that the pages print, without the end of its head: the 421 ends at any byte of its head, the 503,
// each fourth time, with its last value.
func tornRefusal(r *runner, number int) string {
	if number%4 == 0 {
		return page("HTTP/1.1 503 Service Unavailable\r\n{notrun}: 1")
	}
	torn := page("HTTP/1.1 421 Misdirected Request\r\n{runner}: ") + r.id
	return torn[:1+rand.IntN(len(torn))]
}

// tornBytes has some runners send additional bytes that are a refusal which is truncated in its head.
func tornBytes(_ string, trouble bool) bool {
	s, c := newStore(), newCloud()
	s.set(page("{config}"), configuration(1, []route{once("hold", "/hold/", "desk")}, "desk", []tenant{{name: "one", key: "k1", priority: 1}}))
	g := &garbler{owing: map[net.Conn]bool{}}
	runners := []*runner{}
	for i := range tornRunners {
		r := newRunner(fmt.Sprintf("i-%d", i), "desk", "abc"[i%3:i%3+1])
		if i < faultyRunners {
			r.serve = g.serve
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
	if trouble {
		time.AfterFunc(4*time.Second, func() { g.set(true) })
		time.AfterFunc(4*time.Second+garbledTime, func() { g.set(false) })
	}
	seen := sendOnce(14 * time.Second)
	twice, refused, served := judgeOnce(seen, runners)
	note("%d requests, %d served, additional bytes %d times, TWICE %d, REFUSED %d", len(seen), served, g.sent, twice, refused)
	return twice+refused == 0
}

// sendOnce sends requests that may run once, each with an id of its own, and does not repeat them.
func sendOnce(length time.Duration) []result {
	seen, callers := &results{}, sync.WaitGroup{}
	stop := time.Now().Add(length)
	for w, h := range started {
		callers.Add(1)
		go func() {
			defer callers.Done()
			client := newCaller()
			for i := 0; time.Now().Before(stop); i++ {
				callers.Add(1)
				go func() {
					defer callers.Done()
					seen.add(client.call(h, "POST", "/hold/x", fmt.Sprintf("o-%d-%d", w, i), "k1", 4*time.Second, "x"))
				}()
				time.Sleep(16 * time.Millisecond)
			}
		}()
	}
	callers.Wait()
	return seen.list()
}

// judgeOnce counts the requests that ran more than once (TWICE), and those that were answered 429 or 503 (or 408, 421) and have run (REFUSED).
func judgeOnce(seen []result, runners []*runner) (twice, refused, served int) {
	ran := map[string]int{}
	for _, r := range runners {
		r.mu.Lock()
		for _, each := range r.ran {
			ran[each.id]++
			note("RUNNER %s ran %s at %.3f", r.id, each.id, each.at.Sub(began).Seconds())
		}
		r.mu.Unlock()
	}
	for _, each := range seen {
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
	return twice, refused, served
}
