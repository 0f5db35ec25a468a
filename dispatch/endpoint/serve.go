package endpoint

import "time"

// fill gives the endpoint's free slots to waiting requests.
func (c *core) fill(now time.Time, e *endpoint) {
	for e.usable(now) && c.availableSlots(now, e) > 0 {
		r := c.nextFor(now, e)
		if r == nil {
			return
		}
		c.grant(now, r, e)
	}
}

// nextFor picks the request that the endpoint serves next: a starved class
// below its floor, then the highest tier, and inside a tier the account served least.
func (c *core) nextFor(now time.Time, e *endpoint) *request {
	if !c.features.tiers {
		return c.oldestFor(e)
	}
	for _, l := range e.lanes {
		if l.queued > 0 && c.starved(now, l) && c.admitsLongWork(e, l, l.oldest) {
			if r := l.next(e, c.features.fairness); r != nil {
				return r
			}
		}
	}
	var best *request
	for _, l := range e.lanes {
		if best != nil && best.lane.higher(l) {
			break
		}
		if l.queued == 0 || c.reserved(now, e, l) || c.blocked(now, l) {
			continue
		}
		r := l.next(e, c.features.fairness)
		if r != nil && c.admitsLongWork(e, l, r) && (best == nil || c.before(r, best)) {
			best = r
		}
	}
	return best
}

func (c *core) before(r, other *request) bool {
	if c.features.fairness && r.account != other.account {
		return r.account.served < other.account.served
	}
	return r.queuedAt.Before(other.queuedAt)
}

func (c *core) oldestFor(e *endpoint) *request {
	var best *request
	for _, l := range e.lanes {
		r := l.next(e, false)
		if r != nil && (best == nil || r.queuedAt.Before(best.queuedAt)) {
			best = r
		}
	}
	return best
}

// admitsLongWork keeps long work to its share of an endpoint that serves a more urgent class.
// Engines read prompts in the order in which they came, so an urgent request would wait
// for all those before it: the lowest tier's wait here until the endpoint has read the others.
func (c *core) admitsLongWork(e *endpoint, l *lane, r *request) bool {
	if !c.features.longWorkLimit || len(e.lanes) == 0 || !e.lanes[0].higher(l) {
		return true
	}
	if r.long && float64(e.longRunning) >= max(1, c.settings.LongShare*e.limit.value) {
		return false
	}
	return !l.lowestTier || e.lowerTierPrefill == 0 || e.lowerTierPrefill+r.work.InputTokens <= c.settings.UnreadLimit
}
