package engine

import (
	"time"

	"github.com/arbutuswinch/winch"
)

// The reads of a host are bounded, whatever the number of its endpoints, until
// reports would come to be too old to be of use.
const (
	loadsPerSecond   = 4
	eventsPerSecond  = 1
	slowestRead      = 5 * time.Second
	cachePerLoad     = 2
	cacheSlowestRead = 20 * time.Second
)

// paces are the times between reads of one endpoint, in whole rounds. A round that
// comes a little early counts, since rounds are not evenly spaced: slack is half a round.
type paces struct{ load, cache, slack time.Duration }

// pacesOf returns the paces of a host that reads the number of endpoints.
func pacesOf(period time.Duration, endpoints int) paces {
	load := max(period, min(slowestRead, time.Duration(endpoints)*time.Second/loadsPerSecond))
	cache := max(cachePerLoad*load, min(cacheSlowestRead, time.Duration(endpoints)*time.Second/eventsPerSecond))
	return paces{load: wholeRounds(load, period), cache: wholeRounds(cache, period), slack: period / 2}
}

// wholeRounds rounds the time up to a multiple of the period.
func wholeRounds(duration, period time.Duration) time.Duration {
	return (duration + period - 1) / period * period
}

// next tells whether the endpoint is to be read now. The first reads of several
// endpoints are at once, the second ones spread over the period. The caller holds the lock.
func (t *target) next(now time.Time, paces paces, place, count int) (reading, bool) {
	if t.busy || now.Add(paces.slack).Before(t.loadDue) {
		return reading{}, false
	}
	first := t.loadDue.IsZero()
	t.busy, t.loadDue = true, now.Add(paces.load)
	if first && paces.load > time.Second {
		t.loadDue = now.Add(paces.load * time.Duration(place+1) / time.Duration(count))
	}
	next := reading{target: t}
	if t.spec.Kind == winch.EndpointEngine && !now.Add(paces.slack).Before(t.cacheDue) {
		next.cache, t.cacheDue = true, now.Add(paces.cache)
	}
	return next, true
}
