package endpoint

import "time"

// blocked reports whether the lane must leave free slots to a higher tier whose queued requests are at risk on another
// host or, if prompts are limited, wait on this one. A lane that is starved is never blocked.
func (c *core) blocked(now time.Time, l *lane) bool { return c.blockedBy(now, l) != "" }

// blockedBy returns for what the lane must leave free slots, or nothing if it is not blocked.
func (c *core) blockedBy(now time.Time, l *lane) queueCause {
	if !c.features.tiers || c.starved(now, l) {
		return ""
	}
	if c.limitsPrefill(l) && l.higherQueued() {
		return queuedHigherTier
	}
	for _, competitor := range l.competitors {
		if !competitor.higher(l) {
			return ""
		}
		if c.hostStatsFresh(now) && competitor.others.Urgent > c.urgentTolerance(l) {
			return queuedOtherHosts
		}
	}
	return ""
}
