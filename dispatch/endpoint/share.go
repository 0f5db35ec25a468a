package endpoint

import (
	"math"
	"time"
)

// computeFairShare works out this host's part of the endpoint's slots when the hosts
// together want more than there are: by demand, and a higher tier's demand first.
func (c *core) computeFairShare(now time.Time, e *endpoint) {
	e.fairShare, e.othersWaiting = 0, false
	if !c.features.sharing {
		return
	}
	remaining, fair, others, waiting := float64(e.cap), 0.0, 0.0, 0
	contended := false
	for i := 0; i < len(e.lanes); {
		own, total := 0.0, 0.0
		tier := e.lanes[i].class.Tier
		for ; i < len(e.lanes) && e.lanes[i].class.Tier == tier; i++ {
			l := e.lanes[i]
			count := float64(len(l.endpoints))
			own += float64(l.queued+l.running) / count
			if c.peerStatsFresh(now) {
				others += float64(l.others.Queued+l.others.Running) / count
				total += float64(l.others.Queued+l.others.Running) / count
				waiting += l.others.Queued
			}
		}
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
	// The fraction is rounded by a hash of host and endpoint, so that the hosts' parts add up.
	offset := float64(mix(e.hash^hashOf(string(c.self.ID)))>>11) / (1 << 53)
	e.fairShare = int(math.Floor(fair + offset))
	e.othersWaiting = waiting > 0
}
