package endpoint

import (
	"math"
	"time"
)

// computeFairShare computes this host's share of the endpoint's slots if the hosts together
// need more than there are. Slots are divided in proportion to demand, higher tiers first.
func (c *core) computeFairShare(now time.Time, e *endpoint) {
	e.fairShare, e.othersWaiting = 0, false
	if !c.features.sharing || e.evacuated {
		return
	}
	remaining, fair, others, waiting := float64(e.cap), 0.0, 0.0, 0
	contended := false
	for _, tier := range e.set.demand {
		own, total := tier.own, tier.others
		others += tier.others
		waiting += tier.waiting
		total += own
		if total > remaining {
			contended = true
			fair += remaining * own / total
			break
		}
		fair += own
		remaining -= total
	}
	if !contended || others == 0 {
		return
	}
	// The share is rounded up or down by a hash of host and endpoint, so that the hosts' shares add
	// up to about the number of slots.
	offset := float64(mix(e.hash^hashOf(string(c.self.ID)))>>11) / (1 << 53)
	e.fairShare = int(math.Floor(fair + offset))
	e.othersWaiting = waiting > 0
}
