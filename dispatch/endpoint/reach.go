package endpoint

import (
	"slices"
	"time"
)

// queueCause tells why a request is queued or refused and not sent.
type queueCause string

const (
	// queuedHigherTier: requests of a higher tier wait on this host.
	queuedHigherTier queueCause = "higher_tier"
	// queuedOtherHosts: requests of a higher tier are at risk on other hosts.
	queuedOtherHosts queueCause = "other_hosts"
	// queuedSoftware: only endpoints of one software version can serve the request, and none of them has room.
	queuedSoftware queueCause = "software"
	// queuedBudget: this host's share of the prompts or tokens is used up.
	queuedBudget queueCause = "budget"
	// queuedUnreachable: no endpoint is usable, and none accepts this host's connections.
	queuedUnreachable queueCause = "unreachable"
	// queuedUnusable: no endpoint is usable.
	queuedUnusable queueCause = "unusable"
	// queuedSlots: the usable endpoints have no room for the request.
	queuedSlots queueCause = "slots"
)

// queueCauseOf returns why the request of the lane is not sent.
func (c *core) queueCauseOf(now time.Time, l *lane, r *request) queueCause {
	if r.bound() {
		return queuedSoftware
	}
	if cause := c.blockedBy(now, l); cause != "" {
		return cause
	}
	if !c.withinPrefillBudget(l, r) || !c.withinTokenBudget(now, l, r) {
		return queuedBudget
	}
	if slices.ContainsFunc(l.subset, func(e *endpoint) bool { return e.usable(now) }) {
		return queuedSlots
	}
	if l.unreachable() {
		return queuedUnreachable
	}
	return queuedUnusable
}

// unreachable reports whether no serving endpoint of the lane accepts this host's connections.
func (l *lane) unreachable() bool {
	serving := false
	for _, e := range l.subset {
		if !e.serving {
			continue
		}
		if !e.unreachable() {
			return false
		}
		serving = true
	}
	return serving
}

// unreachable reports whether the endpoint did not accept this host's last connection.
func (e *endpoint) unreachable() bool { return e.health.ejected && e.health.unreachable }

// reach counts the serving endpoints by whether they accept this host's connections.
type reach struct {
	serving int
	// unreachable are those that do not, and elsewhere those of them at which other hosts have requests.
	unreachable, elsewhere int
}

func (c *core) reach(now time.Time) reach {
	counts := reach{}
	for _, e := range c.sortedEndpoints {
		if !e.serving {
			continue
		}
		counts.serving++
		if !e.unreachable() {
			continue
		}
		counts.unreachable++
		if e.others > 0 && c.hostStatsFresh(now) {
			counts.elsewhere++
		}
	}
	return counts
}

// checkReach emits an effect when other hosts have requests at endpoints that do not accept this host's connections, and another one
// when there are no such endpoints any more.
func (c *core) checkReach(now time.Time) {
	counts := c.reach(now)
	switch {
	case !c.unreachableLogged && counts.elsewhere > 0:
		c.unreachableLogged = true
		c.emit(effect{kind: effectUnreachable, at: now, reach: counts})
	case c.unreachableLogged && counts.unreachable == 0:
		c.unreachableLogged = false
		c.emit(effect{kind: effectReachable, at: now, reach: counts})
	}
}

func (d *Dispatcher) logReach(l *logEntry) {
	fields := []any{
		"At", formatTime(l.at), "Host", string(d.core.self.ID), "DataCentre", d.centre(),
		"Unreachable", l.reach.unreachable, "Elsewhere", l.reach.elsewhere, "Serving", l.reach.serving,
	}
	if l.kind == effectUnreachable {
		d.logger.Warn("endpoints do not accept connections while other hosts have requests there", append(fields, "Event", EventEndpointsUnreachable)...)
		return
	}
	d.logger.Info("endpoints accept connections again", append(fields, "Event", EventEndpointsReachable)...)
}
