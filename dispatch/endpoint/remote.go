package endpoint

import (
	"time"

	"github.com/arbutuswinch/winch"
)

// remote is another data centre that may take requests over.
type remote struct {
	centre winch.DataCentreID
	at     time.Time // when its figures were true
	rooms  map[group]int
	lanes  map[laneKey]laneFigures
	hosts  []winch.Host
	// given counts the requests handed over since the figures came.
	given        map[group]int
	blockedUntil time.Time
	running      int
}

const (
	remoteBackoff = 2 * time.Second
	// handOverMinimum is the first-token target below which the distance is not worth it.
	handOverMinimum = 50 * time.Millisecond
)

func (c *core) remoteOf(centre winch.DataCentreID) *remote {
	if known, found := c.remotes[centre]; found {
		return known
	}
	fresh := &remote{centre: centre, rooms: map[group]int{}, given: map[group]int{}, lanes: map[laneKey]laneFigures{}}
	c.remotes[centre] = fresh
	return fresh
}

// room returns how many of the lane's requests the data centre may take: its free
// slots, and what its lower tiers would give up beyond what waits there for that.
func (c *core) room(m *remote, l *lane) int {
	room := m.rooms[l.key.group] - m.given[l.key.group]
	if !c.features.tiers || !c.features.preemption {
		return room
	}
	lower := 0
	for key, figures := range m.lanes {
		there := c.lanes[key]
		switch {
		case there == nil || key.group != l.key.group:
		case l.higher(there):
			lower += figures.Movable
		default:
			lower -= figures.Queued
		}
	}
	return room + max(0, lower)
}

// release learns from how a request ended that was handed over.
func (m *remote) release(now time.Time, outcome winch.Outcome) {
	m.running--
	if outcome == winch.OutcomeUnsent || outcome == winch.OutcomeFailed || outcome == winch.OutcomeRejected {
		m.blockedUntil = now.Add(remoteBackoff)
	}
}

// handOver gives the request to another data centre when its target is at risk
// here and there is room there. It reports whether it did.
func (c *core) handOver(now time.Time, r *request) bool {
	l := r.lane
	if r.work.Local || !c.features.sharing || l.class.FirstTokenTarget > 0 && l.class.FirstTokenTarget < handOverMinimum {
		return false
	}
	if l.slots > 0 && c.atRisk(now, l) == 0 && !c.waitAtRisk(now, r) {
		return false
	}
	best := c.withMostRoom(now, l, r)
	if best == nil {
		return false
	}
	if r.state == requestQueued {
		c.unqueue(r)
	}
	best.given[l.key.group]++
	best.running++
	r.state, r.remote, r.grantedAt, r.collectedAt = requestRunning, best, now, now
	c.emit(effect{kind: effectGranted, at: now, request: r, lane: l, remote: best, wait: now.Sub(r.queuedAt)})
	return true
}

// waitAtRisk tells whether the wait predicted here endangers the class's target.
func (c *core) waitAtRisk(now time.Time, r *request) bool {
	return c.predictedWait(now, r.lane, r) > c.riskLimit(r.lane)
}

func (c *core) withMostRoom(now time.Time, l *lane, r *request) *remote {
	var best *remote
	most := 0
	for _, m := range c.remotes {
		if !c.fresh(now, m.at) || now.Before(m.blockedUntil) || len(m.hosts) == 0 {
			continue
		}
		room := c.room(m, l)
		if room > most || room == most && best != nil && m.centre < best.centre {
			best, most = m, room
		}
	}
	if best == nil || r.excludes(winch.EndpointID(c.peerOf(best, r).ID)) {
		return nil
	}
	return best
}

// peerOf picks the host of the other data centre by the request's id.
func (c *core) peerOf(m *remote, r *request) winch.Host {
	return m.hosts[hashOf(string(r.work.Request))%uint64(len(m.hosts))]
}

// handOverWaiting hands over queued requests whose target came to be at risk.
func (c *core) handOverWaiting(now time.Time) {
	for _, l := range c.sorted {
		for l.queued > 0 && c.handOver(now, l.accounts[0].oldest) {
			continue
		}
	}
}

// setHosts takes the live hosts in: those of this data centre give the host's
// rank, those of the others take requests over.
func (c *core) setHosts(own []winch.Host, others []winch.Host) {
	rank, hosts := 0, max(1, len(own))
	c.hostsMost = max(c.hostsMost, hosts)
	c.hostIDs = c.hostIDs[:0]
	for i, host := range own {
		c.hostIDs = append(c.hostIDs, host.ID)
		if host.ID == c.self.ID {
			rank = i
		}
	}
	for _, m := range c.remotes {
		m.hosts = m.hosts[:0]
	}
	for _, host := range others {
		if !host.Leaving {
			m := c.remoteOf(host.DataCentre)
			m.hosts = append(m.hosts, host)
		}
	}
	if rank == c.rank && hosts == c.hosts {
		return
	}
	c.rank, c.hosts = rank, hosts
	for _, l := range c.sorted {
		c.setSubset(l)
	}
}
