package completion

import "time"

const (
	// minWaits is the number of first tokens from which their waits count.
	minWaits = 10
	// waitMin and waitMax bound the ratio of the waits to what was predicted.
	waitMin = 0.25
	waitMax = 2
)

// Waits learns how long requests wait for their first token, relative to what the prompts pending at their endpoints let expect. Some of
// these prompts are processed already when a host hears of them, and others arrive meanwhile. The zero value knows nothing.
type Waits struct {
	sums decayed // seconds that were waited, and the count of those that were predicted
	seen decayed
}

// Observe adds a first token that came after the seconds, with those that were predicted.
func (w *Waits) Observe(now time.Time, predicted, seconds float64) {
	if predicted < 0 || seconds < 0 {
		return
	}
	w.sums.add(now, min(seconds, maxSample), min(predicted, maxSample), modelTime)
	w.seen.add(now, 0, 1, modelTime)
}

// Correct returns the seconds that are expected where the prompts pending let expect the given ones.
func (w *Waits) Correct(now time.Time, predicted float64) float64 {
	if w.seen.count*w.seen.factor(now, modelTime) < minWaits || w.sums.count <= 0 {
		return predicted
	}
	return predicted * min(max(waitMin, w.sums.seconds/w.sums.count), waitMax)
}
