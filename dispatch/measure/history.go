package measure

import "time"

const (
	historySize = 64
	historyStep = 250 * time.Millisecond
)

// History records how a count, as of requests on an endpoint, changed in the recent past. The zero value is an empty history.
type History struct {
	// lastAt and lastCount repeat the last entry, so that the many calls that add none do not touch the arrays.
	lastAt    time.Time
	lastCount float64
	next      int
	times     [historySize]time.Time
	counts    [historySize]float64
}

// Add records the count if it has changed, but not more often than every historyStep.
func (h *History) Add(now time.Time, count float64) {
	if count == h.lastCount || now.Sub(h.lastAt) < historyStep {
		return
	}
	h.lastAt, h.lastCount = now, count
	h.times[h.next], h.counts[h.next] = now, count
	h.next = (h.next + 1) % historySize
}

// CountAt returns the count at the given time, or the oldest one known.
func (h *History) CountAt(at time.Time) float64 {
	count := 0.0
	for i := 1; i <= historySize; i++ {
		index := (h.next + historySize - i) % historySize
		if h.times[index].IsZero() {
			return count
		}
		count = h.counts[index]
		if !h.times[index].After(at) {
			return count
		}
	}
	return count
}
