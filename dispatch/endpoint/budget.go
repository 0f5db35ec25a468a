package endpoint

import (
	"cmp"
	"math"
	"time"
)

// retryBudget allows retries as a share of successes, and a few a second besides.
type retryBudget struct {
	credit float64
	floor  float64
	at     time.Time
	// window is the time over which credit fades; zero stands for no end.
	window time.Duration
	// fadedAt is when the credit faded last.
	fadedAt time.Time
	// burst is the most retries of the floor at once; zero stands for retryFloorMax.
	burst float64
}

const (
	retryCreditMax = 100
	retryFloorMax  = 5
	// retryBurstTime is how long a host's part of the retries of all collects.
	retryBurstTime = 3 * time.Second
)

func (b *retryBudget) success(now time.Time, share float64) {
	b.fade(now)
	b.credit += share
	if b.credit > retryCreditMax {
		b.credit = retryCreditMax
	}
}

// fade lowers the credit by what was earned too long ago.
func (b *retryBudget) fade(now time.Time) {
	if b.window > 0 && !b.fadedAt.IsZero() && now.After(b.fadedAt) {
		b.credit *= math.Exp(-now.Sub(b.fadedAt).Seconds() / b.window.Seconds())
	}
	b.fadedAt = now
}

// retryFloor returns how many retries a second this host is always allowed.
func (c *core) retryFloor() float64 {
	if c.settings.RetryFloorAll <= 0 {
		return c.settings.RetryFloor
	}
	return c.settings.RetryFloorAll / float64(max(c.hostsMost, c.settings.RetryHosts, 1))
}

// spend takes one retry from the budget, if it allows one.
func (b *retryBudget) spend(now time.Time, perSecond float64) bool {
	b.fade(now)
	burst := cmp.Or(b.burst, float64(retryFloorMax))
	if b.at.IsZero() {
		b.floor = burst
	} else if now.After(b.at) {
		b.floor = min(burst, b.floor+now.Sub(b.at).Seconds()*perSecond)
	}
	if now.After(b.at) {
		b.at = now
	}
	switch {
	case b.credit >= 1:
		b.credit--
	case b.floor >= 1:
		b.floor--
	default:
		return false
	}
	return true
}
