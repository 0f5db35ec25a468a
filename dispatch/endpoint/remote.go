package endpoint

import (
	"time"

	"github.com/arbutuswinch/winch"
)

// remote is another data centre that may take requests over.
type remote struct {
	centre    winch.DataCentreID
	at        time.Time // when its figures were true
	freeSlots map[group]int
	lanes     map[laneKey]laneStats
	hosts     []winch.Host
	// transferred counts the requests handed over since the figures came.
	transferred  map[group]int
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
	fresh := &remote{centre: centre, freeSlots: map[group]int{}, transferred: map[group]int{}, lanes: map[laneKey]laneStats{}}
	c.remotes[centre] = fresh
	return fresh
}

// transferCapacity returns how many of the lane's requests the data centre may take: its free
// slots, and what its lower tiers would give up beyond what waits there for that.
func (c *core) transferCapacity(m *remote, l *lane) int {
	capacity := m.freeSlots[l.key.group] - m.transferred[l.key.group]
	if !c.features.tiers || !c.features.preemption {
		return capacity
	}
	lower := 0
	for key, stats := range m.lanes {
		local := c.lanes[key]
		switch {
		case local == nil || key.group != l.key.group:
		case l.higher(local):
			lower += stats.Movable
		default:
			lower -= stats.Queued
		}
	}
	return capacity + max(0, lower)
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
	best := c.remoteWithMostCapacity(now, l, r)
	if best == nil {
		return false
	}
	if r.state == requestQueued {
		c.unqueue(r)
	}
	best.transferred[l.key.group]++
	best.running++
	r.state, r.remote, r.grantedAt, r.collectedAt = requestRunning, best, now, now
	c.emit(effect{kind: effectGranted, at: now, request: r, lane: l, remote: best, wait: now.Sub(r.queuedAt)})
	return true
}

// waitAtRisk tells whether the wait predicted here endangers the class's target.
func (c *core) waitAtRisk(now time.Time, r *request) bool {
	return c.predictedWait(now, r.lane, r) > c.riskLimit(r.lane)
}

func (c *core) remoteWithMostCapacity(now time.Time, l *lane, r *request) *remote {
	var best *remote
	most := 0
	for _, m := range c.remotes {
		if !c.fresh(now, m.at) || now.Before(m.blockedUntil) || len(m.hosts) == 0 {
			continue
		}
		capacity := c.transferCapacity(m, l)
		if capacity > most || capacity == most && best != nil && m.centre < best.centre {
			best, most = m, capacity
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

// handOverQueued hands over queued requests whose target came to be at risk.
func (c *core) handOverQueued(now time.Time) {
	for _, l := range c.sortedLanes {
		for l.queued > 0 && c.handOver(now, l.accounts[0].oldest) {
			continue
		}
	}
}

// setHosts takes the live hosts in: those of this data centre give the host's
// rank, those of the others take requests over.
func (c *core) setHosts(own []winch.Host, others []winch.Host) {
	rank, hosts := 0, max(1, len(own))
	c.maxHostsSeen = max(c.maxHostsSeen, hosts)
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
	for _, l := range c.sortedLanes {
		c.setSubset(l)
	}
}
