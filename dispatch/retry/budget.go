// Package retry limits the requests that are sent again.
//
// # Usage
//
//	budget := retry.Budget{Window: 10 * time.Second}
//	budget.Success(now, 0.1) // a tenth of a retry for each success
//	if budget.Spend(now, floorPerSecond) {
//		// Send again.
//	}
package retry

import (
	"cmp"
	"math"
	"time"
)

// Budget allows retries as a share of successes, plus a fixed rate (the floor).
type Budget struct {
	credit          float64
	floorCredit     float64
	floorRefilledAt time.Time // when floorCredit was last refilled
	// Window is the time constant with which credit decays; zero disables the decay.
	Window time.Duration
	// decayedAt is when the credit was last decayed.
	decayedAt time.Time
	// Burst bounds the unspent retries of the floor; zero means FloorMax.
	Burst float64
}

// FloorMax is the most retries of the floor that are kept by default.
const FloorMax = 5

// creditMax bounds the credit from successes.
const creditMax = 100

// Success adds the share of a retry that a success allows.
func (b *Budget) Success(now time.Time, share float64) {
	b.decay(now)
	b.credit += share
	if b.credit > creditMax {
		b.credit = creditMax
	}
}

// decay reduces the credit exponentially by the time since the last call.
func (b *Budget) decay(now time.Time) {
	if b.Window > 0 && !b.decayedAt.IsZero() && now.After(b.decayedAt) {
		b.credit *= math.Exp(-now.Sub(b.decayedAt).Seconds() / b.Window.Seconds())
	}
	b.decayedAt = now
}

// Spend takes one retry from the budget and reports whether there was one.
func (b *Budget) Spend(now time.Time, perSecond float64) bool {
	b.decay(now)
	burst := cmp.Or(b.Burst, float64(FloorMax))
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
