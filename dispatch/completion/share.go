package completion

import "time"

const (
	// shareTime is the time constant with which ended requests lose weight.
	shareTime = 5 * time.Second
	// minEnds is the number of ended requests from which a class's share changes. A single late response does not.
	minEnds = 5
	// lateTolerance is the share of responses that may be late.
	lateTolerance = 0.15
	// shrinkTime is how long the share takes to shrink to 1/e, and growTime how long it would take to grow from zero to one.
	shrinkTime = 20 * time.Second
	growTime   = 10 * time.Second
	// MinShare is the smallest share. Below, endpoints would be idle for half of the time with the usual window.
	MinShare = 0.4
	// MinBusy is the busy share of the endpoints below which nothing shrinks.
	MinBusy = 0.5
)

// Share is the share of its usual prompt tokens that a class may have pending. It shrinks while responses of the class are late, and
// recovers when they end in time. The zero value is a full share.
type Share struct {
	lost float64
	ends decayed // seconds holds the number of late ends
	at   time.Time
}

// Ended adds a request that has ended, and whether it ended after its deadline.
func (s *Share) Ended(now time.Time, late bool) {
	count := 0.0
	if late {
		count = 1
	}
	s.ends.add(now, count, 1, shareTime)
}

// Late reports whether too many of the requests that ended were late.
func (s *Share) Late(now time.Time) bool {
	return s.ends.count*s.ends.factor(now, shareTime) >= minEnds && s.ends.seconds > lateTolerance*s.ends.count
}

// Update applies the time since the last call, and returns the share. late tells whether the class's responses or those of more urgent
// classes are late, and busy is the mean busy share of the endpoints.
func (s *Share) Update(now time.Time, late bool, busy float64) float64 {
	elapsed := now.Sub(s.at)
	if s.at.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	s.at = now
	share := 1 - s.lost
	if late && busy > MinBusy {
		share = max(MinShare, share*(1-min(1, float64(elapsed)/float64(shrinkTime))))
	} else {
		share = min(1, share+float64(elapsed)/float64(growTime))
	}
	s.lost = 1 - share
	return share
}
