package engine

import (
	"time"

	"github.com/arbutuswinch/winch"
)

// Limits of a host's reads. The number of reads per second is limited, so the interval
// between reads of one endpoint grows with the number of endpoints. The interval has a
// maximum, since older reports would be useless. With still more endpoints the number of
// reads grows.
const (
	loadReadsPerSecond  = 4
	cacheReadsPerSecond = 1
	maxLoadInterval     = 5 * time.Second
	// loadReadsPerCacheRead is the lowest number of load reads of an endpoint for each
	// read of its cache events.
	loadReadsPerCacheRead = 2
	maxCacheInterval      = 20 * time.Second
)

// intervals are the times between reads of one endpoint, as multiples of the period of
// Run's rounds. Rounds are not evenly spaced, so a read may be early by up to slack,
// which is half a period.
type intervals struct{ load, cache, slack time.Duration }

// intervalsFor returns the intervals of a host that reads the given number of endpoints.
func intervalsFor(period time.Duration, endpoints int) intervals {
	load := max(period, min(maxLoadInterval, time.Duration(endpoints)*time.Second/loadReadsPerSecond))
	cache := max(loadReadsPerCacheRead*load, min(maxCacheInterval, time.Duration(endpoints)*time.Second/cacheReadsPerSecond))
	return intervals{load: wholeRounds(load, period), cache: wholeRounds(cache, period), slack: period / 2}
}

// wholeRounds rounds the time up to a multiple of the period.
func wholeRounds(duration, period time.Duration) time.Duration {
	return (duration + period - 1) / period * period
}

// startRead decides whether to read the endpoint now, and whether to read its cache events as
// well. If so, it marks the endpoint as busy and sets when the next reads are due. The first
// read of every endpoint is due at once; the second reads are spread evenly over the interval
// if that is longer than a second. The caller holds the reader's lock.
func (t *target) startRead(now time.Time, intervals intervals, index, count int) (dueRead, bool) {
	if t.busy || now.Add(intervals.slack).Before(t.loadDue) {
		return dueRead{}, false
	}
	first := t.loadDue.IsZero()
	t.busy, t.loadDue = true, now.Add(intervals.load)
	if first && intervals.load > time.Second {
		t.loadDue = now.Add(intervals.load * time.Duration(index+1) / time.Duration(count))
	}
	next := dueRead{target: t}
	if t.endpoint.Kind == winch.EndpointEngine && !now.Add(intervals.slack).Before(t.cacheDue) {
		next.cache, t.cacheDue = true, now.Add(intervals.cache)
	}
	return next, true
}
