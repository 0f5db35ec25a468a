package endpoint

import (
	"math"
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
)

// A stream that has begun can go on only at an endpoint of the software version that began it. Requests for such streams are
// called bound. They queue apart from the others, since they wait for a few endpoints only: neither waits behind the other.

const (
	// softwareSettleTime is how much later than a lost connection the list of endpoints must have been read to tell the
	// endpoint's version again: an endpoint that starts anew under its ID needs some time to write its new entry.
	softwareSettleTime = 1500 * time.Millisecond
	// bufferedOutputTime is how long output can be read from a connection after its endpoint has ended.
	bufferedOutputTime = 300 * time.Millisecond
	// unknownSoftwareCost is the cost, in prompt tokens, of an endpoint whose software version is not known, for streams that may be resumed.
	unknownSoftwareCost = 5000
	// softwareReturnTime is how long a bound request waits while no endpoint of its version serves.
	softwareReturnTime = 2 * time.Second
)

// bound reports whether only endpoints of one software version can serve the request.
func (r *request) bound() bool { return r.work.Software != "" }

// knownSoftware returns the version of the endpoint's software, or an empty one while the endpoint may have started again
// with another version since the list was read.
func (c *core) knownSoftware(now time.Time, e *endpoint) winch.SoftwareVersion {
	if e.connectionLostAt.IsZero() {
		return e.spec.Software
	}
	readAt := c.listReadAt
	if readAt.IsZero() {
		readAt = now
	}
	if readAt.Before(e.connectionLostAt.Add(softwareSettleTime)) {
		return ""
	}
	e.connectionLostAt = time.Time{}
	return e.spec.Software
}

// recordAlive clears the doubt about the endpoint's version after output on a connection that is older than the lost one: the endpoint has
// not started again.
func (e *endpoint) recordAlive(granted, output time.Time) {
	if granted.Before(e.connectionLostAt) && output.Sub(e.connectionLostAt) > bufferedOutputTime {
		e.connectionLostAt = time.Time{}
	}
}

// recordLostConnection records that the endpoint may have ended, and may start again with another software version.
func (e *endpoint) recordLostConnection(now time.Time) { e.connectionLostAt = now }

// unknownSoftwarePenalty returns the additional cost, in prompt tokens, of starting a resumable stream at an endpoint whose version is not
// known while there are several: no other endpoint could continue it.
func (c *core) unknownSoftwarePenalty(now time.Time, l *lane, r *request, e *endpoint) float64 {
	if l.mixedSoftware && r.resumable() && c.knownSoftware(now, e) == "" {
		return unknownSoftwareCost
	}
	return 0
}

// servesSoftware reports whether the endpoint has the software version that the request needs, if it needs one. While all
// endpoints have one version, a lost connection is no reason to doubt it.
func (c *core) servesSoftware(now time.Time, r *request, e *endpoint) bool {
	switch {
	case !r.bound():
		return true
	case !r.lane.mixedSoftware:
		return e.spec.Software == r.work.Software
	}
	return c.knownSoftware(now, e) == r.work.Software
}

// beganAtUnknownSoftware reports whether the response has started at an endpoint whose version is not known, while
// the lane's endpoints have several.
func (r *request) beganAtUnknownSoftware() bool {
	return !r.bound() && r.work.OutputDone > 0 && r.lane.mixedSoftware
}

// mixedSoftware reports whether the endpoints with the indices have several software versions; one that is not known counts. Evacuated
// endpoints are among them: streams that began there still have to go on at their version.
func (c *core) mixedSoftware(indices []int) bool {
	return slices.ContainsFunc(indices, func(i int) bool {
		return c.sortedEndpoints[i].spec.Software != c.sortedEndpoints[indices[0]].spec.Software
	})
}

// arriveBound grants the bound request a slot, or queues it. It hands the request over if this data centre has no endpoint of its version.
func (c *core) arriveBound(now time.Time, r *request) {
	if e := c.chooseBound(now, r); e != nil {
		c.grant(now, r, e)
		return
	}
	if !c.softwareServes(now, r, false) && c.handOverToBest(now, r) {
		return
	}
	l := r.lane
	if l.evacuatedEverywhere() {
		c.refuseWithoutEndpoint(now, r, l)
		return
	}
	if len(l.bound) >= l.queueLimit() && !r.attemptedBefore() {
		c.refuse(now, r, l, winch.RefusedQueueFull, 0)
		return
	}
	r.state = requestQueued
	r.waitingSince, r.softwareSeenAt = r.queuedAt, now
	r.expires = c.expiryOf(now, r)
	l.bound = append(l.bound, r)
	c.boundQueued++
	c.expiry.push(r)
	c.emit(effect{kind: effectQueued, at: now, request: r, lane: l, cause: string(queuedSoftware)})
}

// removeBound removes the request from its lane's queue of bound requests.
func (c *core) removeBound(r *request) {
	l := r.lane
	l.bound = slices.DeleteFunc(l.bound, func(other *request) bool { return other == r })
	c.boundQueued--
}

// fillBound assigns free slots to bound requests, highest tier first.
func (c *core) fillBound(now time.Time) {
	if c.boundQueued == 0 {
		return
	}
	for _, l := range c.sortedLanes {
		if len(l.bound) == 0 || c.features.tiers && l.higherQueued() {
			continue
		}
		for _, r := range slices.Clone(l.bound) {
			if e := c.chooseBound(now, r); e != nil {
				c.grant(now, r, e)
			}
		}
	}
}

// chooseBound returns the eligible endpoint with the lowest cost, in or outside this host's aperture. An endpoint at which an earlier
// attempt failed is taken only if no other one of the version serves.
func (c *core) chooseBound(now time.Time, r *request) *endpoint {
	l := r.lane
	if c.blocked(now, l) || !c.withinPrefillBudget(l, r) || !c.withinTokenBudget(now, l, r) {
		return nil
	}
	var best *endpoint
	lowest := math.Inf(1)
	onlyExcluded := !c.softwareServes(now, r, true)
	for _, e := range l.endpoints {
		if !c.servesSoftware(now, r, e) || r.excludes(e.spec.ID) != onlyExcluded || !c.hasRoomFor(now, l, r, e) || !c.hasSlot(now, l, e) {
			continue
		}
		cost := 0.0
		if c.features.prefillAware {
			cost = c.prefillCost(now, l, r, e, nil)
		} else {
			cost = c.score(l, r, e)
		}
		if cost < lowest {
			best, lowest = e, cost
		}
	}
	return best
}

// softwareServes reports whether an endpoint of the request's version serves. If untried is set, those do not
// count at which an earlier attempt of the request failed.
func (c *core) softwareServes(now time.Time, r *request, untried bool) bool {
	return slices.ContainsFunc(r.lane.endpoints, func(e *endpoint) bool {
		return e.serving && c.servesSoftware(now, r, e) && !(untried && r.excludes(e.spec.ID))
	})
}

// refuseUnservedSoftware refuses the bound requests for whose version no endpoint has served for softwareReturnTime.
func (c *core) refuseUnservedSoftware(now time.Time) {
	if c.boundQueued == 0 {
		return
	}
	for _, l := range c.sortedLanes {
		for _, r := range slices.Clone(l.bound) {
			if c.softwareServes(now, r, false) {
				r.softwareSeenAt = now
			} else if now.Sub(r.softwareSeenAt) > softwareReturnTime {
				c.refuse(now, r, l, winch.RefusedSoftware, 0)
			}
		}
	}
}

// setStreamsMayMove determines for each endpoint whether its streams can go on elsewhere. Preempting one that cannot costs more than
// the slot is worth, and one at an evacuated endpoint frees no slot.
func (c *core) setStreamsMayMove(now time.Time) {
	for _, l := range c.sortedLanes {
		l.pinned = 0
	}
	for _, e := range c.sortedEndpoints {
		e.streamsMayMove = c.hasTwin(now, e)
		if e.streamsMayMove && !e.evacuated {
			continue
		}
		for i := range e.tiers {
			for r := e.tiers[i].newest; r != nil; r = r.runNext {
				if r.mayMove() && !r.preempted {
					r.lane.pinned++
				}
			}
		}
	}
}

// hasTwin reports whether the endpoint serves nothing of which there are several software versions, or another endpoint of
// its version serves the same.
func (c *core) hasTwin(now time.Time, e *endpoint) bool {
	mixed := e.set.mixedSoftware
	if mixed == nil {
		return true
	}
	software := c.knownSoftware(now, e)
	return software != "" && slices.ContainsFunc(mixed.endpoints, func(other *endpoint) bool {
		return other != e && other.serving && !other.paused(now) && c.knownSoftware(now, other) == software
	})
}
