package endpoint

import (
	"math"
	"time"
)

const (
	firstTokenWeight = 0.1  // of a sample in a lane's time to first token
	holdTimeWeight   = 0.03 // of a sample in its hold time, low since responses vary widely in length
)

// currentSlots returns the limit as a whole number of requests, reduced during the endpoint's ramp-up and
// while it is slower than usual.
func (e *endpoint) currentSlots(now time.Time, ramp time.Duration) int {
	value := e.limit.Value * e.paceLimit()
	if !e.rampSince.IsZero() {
		age := now.Sub(e.rampSince)
		if age >= ramp {
			e.rampSince = time.Time{}
		} else {
			value *= math.Max(rampStart, float64(age)/float64(ramp))
		}
	}
	return int(math.Max(1, value))
}

// rampStart is the share of its limit that a new endpoint starts with.
const rampStart = 0.25
