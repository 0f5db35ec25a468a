package endpoint

import (
	"cmp"
	"math"
	"time"
)

// retryBudget allows retries as a share of successes, plus a fixed rate (the floor).
type retryBudget struct {
	credit          float64
	floorCredit     float64
	floorRefilledAt time.Time // when floorCredit was last refilled
	// window is the time constant with which credit decays; zero disables the decay.
	window time.Duration
	// decayedAt is when the credit was last decayed.
	decayedAt time.Time
	// burst bounds the unspent retries of the floor; zero means retryFloorMax.
	burst float64
}

const (
	retryCreditMax = 100
	retryFloorMax  = 5
	// retryBurstTime is the time for which a host may accumulate its share of RetryFloorTotal.
	retryBurstTime = 3 * time.Second
)

func (b *retryBudget) success(now time.Time, share float64) {
	b.decay(now)
	b.credit += share
	if b.credit > retryCreditMax {
		b.credit = retryCreditMax
	}
}

// decay reduces the credit exponentially by the time since the last call.
func (b *retryBudget) decay(now time.Time) {
	if b.window > 0 && !b.decayedAt.IsZero() && now.After(b.decayedAt) {
		b.credit *= math.Exp(-now.Sub(b.decayedAt).Seconds() / b.window.Seconds())
	}
	b.decayedAt = now
}

// retryFloor returns how many retries per second this host is always allowed.
func (c *core) retryFloor() float64 {
	if c.settings.RetryFloorTotal <= 0 {
		return c.settings.RetryFloor
	}
	return c.settings.RetryFloorTotal / float64(max(c.maxHostsSeen, c.settings.RetryMinHosts, 1))
}

// spend takes one retry from the budget and reports whether there was one.
func (b *retryBudget) spend(now time.Time, perSecond float64) bool {
	b.decay(now)
	burst := cmp.Or(b.burst, float64(retryFloorMax))
	if b.floorRefilledAt.IsZero() {
		b.floorCredit = burst
	} else if now.After(b.floorRefilledAt) {
		b.floorCredit = min(burst, b.floorCredit+now.Sub(b.floorRefilledAt).Seconds()*perSecond)
	}
	if now.After(b.floorRefilledAt) {
		b.floorRefilledAt = now
	}
	switch {
	case b.credit >= 1:
		b.credit--
	case b.floorCredit >= 1:
		b.floorCredit--
	default:
		return false
	}
	return true
}
