package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["targets"] = manyTargets }

const (
	// addedRoutes is the largest dose of big_config in the site file.
	addedRoutes = 350
	// tenantCount is the number of tenants in the sheet.
	tenantCount = 10
)

// manyTargets adds routes that have a latency target each, and checks that the hosts go on answering within the timeout of their routes.
func manyTargets(_ string, trouble bool) bool {
	s, c := newStore(), newCloud()
	var ten []tenant
	for i := range tenantCount {
		ten = append(ten, tenant{name: fmt.Sprint("tenant-", i), key: fmt.Sprint("key-", i), priority: i})
	}
	routes := []route{safe("lookup", "/lookup/", "desk"), once("hold", "/hold/", "desk")}
	s.set(page("{config}"), configuration(1, routes, "desk", ten))
	runners := []*runner{}
	for i := range 3 {
		r := newRunner(fmt.Sprintf("i-%d", i), "desk", "abc"[i:i+1])
		r.register(s, "ready")
		r.beat(s, make(chan struct{}))
		runners = append(runners, r)
	}
	for i := range 3 {
		newHost(fmt.Sprintf("front-%d", i), fmt.Sprintf("127.0.0.%d", 11+i), "abc"[i:i+1], s.address, c.address, 284).start()
	}
	for _, h := range started {
		h.awaitReady()
	}
	time.Sleep(3 * time.Second)
	seen, callers := &results{}, sync.WaitGroup{}
	stop := time.Now().Add(30 * time.Second)
	for w, h := range started {
		callers.Add(1)
		go func() {
			defer callers.Done()
			client := newCaller()
			for i := 0; time.Now().Before(stop); i++ {
				callers.Add(1)
				go func() {
					defer callers.Done()
					path := []string{"/lookup/x", "/hold/x"}[i%2]
					// The clients wait for longer than the route's timeout of 4 s.
					seen.add(client.call(h, "POST", path, fmt.Sprintf("q-%d-%d", w, i), fmt.Sprint("key-", i%tenantCount), 6*time.Second, "x"))
				}()
				time.Sleep(250 * time.Millisecond)
			}
		}()
	}
	time.Sleep(4 * time.Second)
	if trouble {
		for i := range addedRoutes {
			r := safe(fmt.Sprintf("added-%d", i), fmt.Sprintf("/added-%d/", i), "desk")
			r.targetMS = 100 + 10*i
			routes = append(routes, r)
		}
		value := configuration(2, routes, "desk", ten)
		s.set(page("{config}"), value)
		note("OPERATOR: version 2 with %d routes more, %d bytes, is acknowledged", addedRoutes, len(value))
	}
	callers.Wait()
	for _, h := range started {
		note("%s: %s", h.name, h.residentMemory())
	}
	// CONFIG: of the requests that are still unanswered at their route's timeout, more than half have no answer half a second later.
	total, late, unanswered := 0, 0, 0
	for _, each := range seen.list() {
		total++
		if each.took >= 4*time.Second {
			late++
		}
		if each.took >= 4500*time.Millisecond {
			unanswered++
		}
	}
	ran := 0
	for _, r := range runners {
		ran += r.count("q-")
	}
	note("%d requests, %d ran, %d unanswered at their route's timeout, %d of these unanswered half a second later", total, ran, late, unanswered)
	return unanswered < 8 || 2*unanswered <= late
}
