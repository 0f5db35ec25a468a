// Package completion estimates when a request that is sent to an endpoint ends, and decides whether that is before its deadline. It does
// no I/O.
//
// The prefill of a prompt costs the same whether or not the response ends in time. An engine starts a request soon, and then generates its
// tokens more slowly the more of its time it spends on the prefill of other prompts. The time between tokens is therefore learnt as a
// function of that share, over all endpoints of a model, since a host sends too few requests to a single endpoint to learn it there. The
// samples of the endpoint itself in the last seconds correct it.
//
// # Usage
//
//	load.Observe(now, pending > 0)
//	interval, known := model.Interval(now, load.Expected(mean))
//	interval = recent.Correct(now, interval)
//	if known && !completion.InTime(now, deadline, completion.Duration(wait, count, interval)) {
//		// Not eligible.
//	}
package completion

import (
	"math"
	"time"
)

const (
	// margin is how long before its deadline a request has to end: the last token has to reach the caller, and hosts read progress only
	// once a tick.
	margin = 100 * time.Millisecond
	// certainShare is the share of the expected time for the outputs that a request is assumed to need at least. Estimates may be too long,
	// and endpoints would idle if requests that could have ended in time were refused.
	certainShare = 0.85
	// longest bounds an estimate, so that its conversion to a time.Duration does not overflow.
	longest = time.Hour
)

// InTime reports whether a request that begins at the given time and takes the duration ends before its deadline. A request without a
// deadline always does.
func InTime(begin, deadline time.Time, duration time.Duration) bool {
	return deadline.IsZero() || !begin.Add(duration+margin).After(deadline)
}

// LatestStart returns the last time at which a request that takes the duration can begin and end before its deadline.
func LatestStart(deadline time.Time, duration time.Duration) time.Time {
	return deadline.Add(-duration - margin)
}

// Duration returns the shortest time that a request is expected to take, if its first token comes after the wait and then count outputs
// follow at the interval, in seconds. It is at most an hour.
func Duration(wait time.Duration, count, interval float64) time.Duration {
	rest := max(0, count) * max(0, interval)
	if wait < 0 || math.IsNaN(rest) {
		return 0
	}
	return time.Duration(math.Min(float64(wait)+certainShare*rest*float64(time.Second), float64(longest)))
}

// decayed is a pair of sums whose samples lose weight exponentially with their age.
type decayed struct {
	seconds, count float64
	at             time.Time
}

func (d *decayed) add(now time.Time, seconds, count float64, retention time.Duration) {
	factor := d.factor(now, retention)
	d.seconds, d.count = d.seconds*factor+seconds, d.count*factor+count
	if now.After(d.at) {
		d.at = now
	}
}

func (d *decayed) factor(now time.Time, retention time.Duration) float64 {
	if d.at.IsZero() {
		return 0
	}
	return math.Exp(-float64(max(0, now.Sub(d.at))) / float64(retention))
}

const (
	// loadTime is the time constant of an endpoint's busy share: several exchanges between hosts, and about the length of a response.
	loadTime = 4 * time.Second
	// observeEvery is the shortest time between two samples of an endpoint. Earlier ones are ignored.
	observeEvery = 50 * time.Millisecond
)

// Load estimates the share of its time in which an endpoint prefills prompts, from regular samples of whether any are pending. The zero
// value is that of an endpoint without samples.
type Load struct {
	busy float64
	at   time.Time
}

// Observe adds a sample: whether prompts are pending at the endpoint.
func (l *Load) Observe(now time.Time, pending bool) {
	elapsed := now.Sub(l.at)
	if l.at.IsZero() {
		elapsed = observeEvery
	}
	if elapsed < observeEvery {
		return
	}
	value := 0.0
	if pending {
		value = 1
	}
	l.busy += (value - l.busy) * (1 - math.Exp(-float64(elapsed)/float64(loadTime)))
	l.at = now
}

// Busy returns the share, from 0 to 1.
func (l *Load) Busy() float64 { return l.busy }

// ownWeight is the weight of an endpoint's own share in what is expected of it while a response runs.
const ownWeight = 0.3

// Expected returns the share that is expected while a response runs, given the mean of the endpoints. An endpoint's own share tends to the
// mean, since the hosts send to those that are less busy.
func (l *Load) Expected(mean float64) float64 { return ownWeight*l.busy + (1-ownWeight)*mean }
