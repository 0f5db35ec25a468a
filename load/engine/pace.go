package engine

import (
	"time"

	"github.com/arbutuswinch/winch"
)

// The reads of a host are bounded, whatever the number of its endpoints, until
// reports would come to be too old to be of use.
const (
	loadReadsPerSecond    = 4
	cacheReadsPerSecond   = 1
	maxLoadInterval       = 5 * time.Second
	loadReadsPerCacheRead = 2
	maxCacheInterval      = 20 * time.Second
)

// intervals are the times between reads of one endpoint, in whole rounds. A round that
// comes a little early counts, since rounds are not evenly spaced: slack is half a round.
type intervals struct{ load, cache, slack time.Duration }

// intervalsFor returns the paces of a host that reads the number of endpoints.
func intervalsFor(period time.Duration, endpoints int) intervals {
	load := max(period, min(maxLoadInterval, time.Duration(endpoints)*time.Second/loadReadsPerSecond))
	cache := max(loadReadsPerCacheRead*load, min(maxCacheInterval, time.Duration(endpoints)*time.Second/cacheReadsPerSecond))
	return intervals{load: wholeRounds(load, period), cache: wholeRounds(cache, period), slack: period / 2}
}

// wholeRounds rounds the time up to a multiple of the period.
func wholeRounds(duration, period time.Duration) time.Duration {
	return (duration + period - 1) / period * period
}

// nextRead tells whether the endpoint is to be read now. The first reads of several
// endpoints are at once, the second ones spread over the period. The caller holds the lock.
func (t *target) nextRead(now time.Time, intervals intervals, index, count int) (dueRead, bool) {
	if t.busy || now.Add(intervals.slack).Before(t.loadDue) {
		return dueRead{}, false
	}
	first := t.loadDue.IsZero()
	t.busy, t.loadDue = true, now.Add(intervals.load)
	if first && intervals.load > time.Second {
		t.loadDue = now.Add(intervals.load * time.Duration(index+1) / time.Duration(count))
	}
	next := dueRead{target: t}
	if t.spec.Kind == winch.EndpointEngine && !now.Add(intervals.slack).Before(t.cacheDue) {
		next.cache, t.cacheDue = true, now.Add(intervals.cache)
	}
	return next, true
}
