package endpoint

import "time"

// fill assigns the endpoint's free slots to queued requests. If prompts are limited, the end of a request frees no
// particular endpoint, so that the requests are assigned to any.
func (c *core) fill(now time.Time, e *endpoint) {
	c.fillBound(now)
	if c.features.prefillAware {
		c.fillByChoice(now)
		return
	}
	for e.usable(now) && c.availableSlots(now, e) > 0 {
		r := c.nextFor(now, e)
		if r == nil {
			return
		}
		c.grant(now, r, e)
	}
}

// nextFor returns the request that the endpoint serves next, or nil. Starved classes come first, then
// the highest tier, and within a tier the account that has received the least service.
func (c *core) nextFor(now time.Time, e *endpoint) *request {
	if !c.features.tiers {
		return c.oldestFor(e)
	}
	for _, l := range e.lanes {
		if l.queued > 0 && c.starved(now, l) && c.admitsPrompt(now, e, l, l.oldest) {
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
		if r != nil && c.admitsPrompt(now, e, l, r) && (best == nil || c.before(r, best)) {
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

// admitsPrompt reports whether the endpoint has memory for the request, and the limits on long work and on pending prompts allow it
// there. The latter apply to endpoints that also serve a lane of a higher tier: long requests get at
// most LongShare of the slots, and a request of the lowest tier must keep the pending prompt tokens
// below the highest tier within LowerTierPrefillLimit, or be the only one that has any. Engines process prompts
// in the order of arrival, so a higher-tier request waits for all prompts that were sent before it.
func (c *core) admitsPrompt(now time.Time, e *endpoint, l *lane, r *request) bool {
	if !c.hasTokens(now, e, l, r) {
		return false
	}
	if !c.features.longWorkLimit || len(e.lanes) == 0 || !e.lanes[0].higher(l) {
		return true
	}
	if r.long && float64(e.longRunning) >= max(1, c.settings.LongShare*e.limit.Value) {
		return false
	}
	return !l.lowestTier || e.lowerTierPrefill == 0 || e.lowerTierPrefill+r.work.InputTokens <= c.settings.LowerTierPrefillLimit
}
