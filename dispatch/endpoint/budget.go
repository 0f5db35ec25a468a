package endpoint

import "time"

// retryBudget allows retries as a share of successes, and a few a second besides.
type retryBudget struct {
	credit float64
	floor  float64
	at     time.Time
}

const (
	retryCreditMax = 100
	retryFloorMax  = 5
)

func (b *retryBudget) success(share float64) {
	b.credit += share
	if b.credit > retryCreditMax {
		b.credit = retryCreditMax
	}
}

// spend takes one retry from the budget, if it allows one.
func (b *retryBudget) spend(now time.Time, perSecond float64) bool {
	if b.at.IsZero() {
		b.floor = retryFloorMax
	} else if now.After(b.at) {
		b.floor += now.Sub(b.at).Seconds() * perSecond
		if b.floor > retryFloorMax {
			b.floor = retryFloorMax
		}
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
