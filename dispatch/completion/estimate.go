// Package completion estimates when a request that is sent to an endpoint ends, and decides whether that is before its deadline. It does
// no I/O.
//
// A prompt that is prefilled costs the same whether or not the response ends in time. An engine begins a request soon, and then makes its
// tokens the slower, the larger the share of its time is in which it prefills other prompts. The time between tokens is therefore learnt
// by that share, over all endpoints of a model, since a host sends a single endpoint too few requests to learn it there. What it has seen
// of the endpoint in the last seconds corrects it.
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
	// margin is how long before its deadline a request has to end: the time that the last token takes to the caller, and that a host
	// takes to notice.
	margin = 100 * time.Millisecond
	// certainShare is the share of the expected time for its outputs after which a request is certain to end late. Estimates err by as much
	// in both directions, and endpoints would idle for requests that are refused although they could have ended.
	certainShare = 0.85
	// longest bounds an estimate.
	longest = time.Hour
)

// InTime reports whether a request that begins at the given time and takes so long ends before its deadline. One without a deadline does.
func InTime(begin, deadline time.Time, duration time.Duration) bool {
	return deadline.IsZero() || !begin.Add(duration+margin).After(deadline)
}

// LatestStart returns the last time at which a request that takes so long can begin.
func LatestStart(deadline time.Time, duration time.Duration) time.Time {
	return deadline.Add(-duration - margin)
}

// Duration returns how long a request takes at least of which the first token comes after the wait, and then count outputs at the interval in
// seconds.
func Duration(wait time.Duration, count, interval float64) time.Duration {
	rest := max(0, count) * max(0, interval)
	if wait < 0 || math.IsNaN(rest) {
		return 0
	}
	return time.Duration(math.Min(float64(wait)+certainShare*rest*float64(time.Second), float64(longest)))
}

// decayed is a pair of sums that forget with time.
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
	// loadTime is the time constant of an endpoint's busy share: a few exchanges between hosts, and about as long as a response runs.
	loadTime = 4 * time.Second
	// observeEvery is the time between two looks at an endpoint that count.
	observeEvery = 50 * time.Millisecond
)

// Load is the share of its time in which an endpoint prefills prompts, seen by regular looks at whether any are pending. The zero value
// is that of an endpoint at which none were seen.
type Load struct {
	busy float64
	at   time.Time
}

// Observe adds a look at the endpoint.
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

// Expected returns the share that is expected while a response runs, given the mean of the endpoints. An endpoint's own share returns to it,
// since the hosts send to those that are less busy.
func (l *Load) Expected(mean float64) float64 { return ownWeight*l.busy + (1-ownWeight)*mean }
