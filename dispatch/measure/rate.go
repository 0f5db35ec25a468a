package measure

import (
	"math"
	"time"
)

// RateWindow is the time constant of a Rate.
const RateWindow = 3 * time.Second

// Rate is an exponentially decaying rate of events. The zero value is a rate of zero.
type Rate struct {
	value float64 // per second, at the time at
	at    time.Time
}

// Add adds events that occurred at the time now.
func (r *Rate) Add(now time.Time, amount float64) {
	r.value = r.PerSecond(now) + amount/RateWindow.Seconds()
	r.at = now
}

// PerSecond returns the rate in events per second.
func (r *Rate) PerSecond(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/RateWindow.Seconds())
}
