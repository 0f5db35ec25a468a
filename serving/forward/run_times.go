package forward

import (
	"sync"
	"time"

	"github.com/arbutuswinch/winch"
)

const (
	// runTimesWindow is the time after which run times are forgotten, at the latest after twice this time.
	runTimesWindow = 20 * time.Second
	// minRunTimes is the number of run times from which one is expected.
	minRunTimes = 8
	// slowestFactor times the longest recent run time is runTime.limit.
	slowestFactor = 1.5
)

// routeRuns are the run times of a route in a window.
type routeRuns struct {
	count          int
	total, slowest time.Duration
}

// runTime tells how long an endpoint is expected to run a request, zero if that is not known.
type runTime struct {
	mean time.Duration
	// limit is a time within which requests end that are hardly slower than recent ones.
	limit time.Duration
}

// runTimes tells how long requests of a route take at endpoints. The zero value knows nothing. It is safe for concurrent use.
type runTimes struct {
	mu                sync.Mutex
	began             time.Time
	current, previous map[winch.RouteID]routeRuns
}

// observe notes that a request of the route ran for the time.
func (r *runTimes) observe(now time.Time, route winch.RouteID, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turn(now)
	runs := r.current[route]
	r.current[route] = routeRuns{count: runs.count + 1, total: runs.total + took, slowest: max(runs.slowest, took)}
}

// expected returns the run time of a request of the route.
func (r *runTimes) expected(now time.Time, route winch.RouteID) runTime {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turn(now)
	current, previous := r.current[route], r.previous[route]
	count := current.count + previous.count
	if count < minRunTimes {
		return runTime{}
	}
	return runTime{
		mean:  (current.total + previous.total) / time.Duration(count),
		limit: time.Duration(slowestFactor * float64(max(current.slowest, previous.slowest))),
	}
}

// turn begins a new window if the current one is over.
func (r *runTimes) turn(now time.Time) {
	age := now.Sub(r.began)
	if r.current != nil && age < runTimesWindow {
		return
	}
	r.previous = r.current
	if age >= 2*runTimesWindow {
		r.previous = nil
	}
	r.began, r.current = now, map[winch.RouteID]routeRuns{}
}
