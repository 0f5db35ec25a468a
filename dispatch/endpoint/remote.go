package endpoint

import (
	"time"

	"github.com/arbutuswinch/winch"
)

// remote is another data centre to which requests can be handed over.
type remote struct {
	dataCentre winch.DataCentreID
	at         time.Time // time to which its statistics apply
	freeSlots  map[group]int
	lanes      map[laneKey]laneStats
	hosts      []winch.Host
	// handedOver counts the requests handed over since the statistics were received.
	handedOver   map[group]int
	blockedUntil time.Time
	running      int
}

const (
	// remoteBackoff is how long a data centre is not used after a failure.
	remoteBackoff = 2 * time.Second
	// handOverMinimum is the first-token target below which the added network latency is not worth it.
	handOverMinimum = 50 * time.Millisecond
)

func (c *core) remoteOf(centre winch.DataCentreID) *remote {
	if known, found := c.remotes[centre]; found {
		return known
	}
	fresh := &remote{dataCentre: centre, freeSlots: map[group]int{}, handedOver: map[group]int{}, lanes: map[laneKey]laneStats{}}
	c.remotes[centre] = fresh
	return fresh
}

// handOverCapacity returns how many of the lane's requests can be handed over to the data
// centre: its free slots, plus its lower-tier requests that could be preempted beyond those that
// its own queues need.
func (c *core) handOverCapacity(other *remote, l *lane) int {
	capacity := other.freeSlots[l.key.group] - other.handedOver[l.key.group]
	if !c.features.tiers || !c.features.preemption {
		return capacity
	}
	lower := 0
	for key, stats := range other.lanes {
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

// release records the outcome of a request that was handed over. After a failure the data
// centre is not used for remoteBackoff.
func (r *remote) release(now time.Time, outcome winch.Outcome) {
	r.running--
	if outcome == winch.OutcomeUnsent || outcome == winch.OutcomeFailed || outcome == winch.OutcomeRejected {
		r.blockedUntil = now.Add(remoteBackoff)
	}
}

// handOver hands the request over to another data centre that has capacity, if this one has no slots
// for it or its target is at risk here. It reports whether it did.
func (c *core) handOver(now time.Time, r *request) bool {
	l := r.lane
	if l.slots > 0 && c.atRisk(now, l) == 0 && !c.waitAtRisk(now, r) {
		return false
	}
	return c.handOverToBest(now, r)
}

// handOverToBest hands the request over to the data centre with most capacity, if there is one.
func (c *core) handOverToBest(now time.Time, r *request) bool {
	l := r.lane
	if r.work.LocalOnly || !c.features.sharing || l.class.FirstTokenTarget > 0 && l.class.FirstTokenTarget < handOverMinimum {
		return false
	}
	best := c.remoteWithMostCapacity(now, l, r)
	if best == nil {
		return false
	}
	if r.state == requestQueued {
		c.unqueue(r)
	}
	best.handedOver[l.key.group]++
	best.running++
	r.state, r.remote, r.grantedAt, r.lastOutputAt = requestRunning, best, now, now
	c.emit(effect{kind: effectGranted, at: now, request: r, lane: l, remote: best, duration: now.Sub(r.queuedAt)})
	return true
}

// waitAtRisk reports whether the wait predicted on this host puts the class's target at risk.
func (c *core) waitAtRisk(now time.Time, r *request) bool {
	return c.predictedWait(now, r.lane, r) > c.riskLimit(r.lane)
}

// remoteWithMostCapacity returns the data centre that can take over most requests of the lane, or nil.
// A request that is handed over sees the receiving host as its endpoint, under the host's ID, so
// Excluded may contain that ID.
func (c *core) remoteWithMostCapacity(now time.Time, l *lane, r *request) *remote {
	var best *remote
	most := 0
	for _, other := range c.remotes {
		if _, evacuated := c.configuration.Evacuations[other.dataCentre]; evacuated {
			continue
		}
		if !c.fresh(now, other.at) || now.Before(other.blockedUntil) || len(other.hosts) == 0 {
			continue
		}
		capacity := c.handOverCapacity(other, l)
		if capacity > most || capacity == most && best != nil && other.dataCentre < best.dataCentre {
			best, most = other, capacity
		}
	}
	if best == nil || r.excludes(winch.EndpointID(c.receivingHost(best, r).ID)) {
		return nil
	}
	return best
}

// receivingHost selects a host of the other data centre by the hash of the request's ID.
func (c *core) receivingHost(other *remote, r *request) winch.Host {
	return other.hosts[hashOf(string(r.work.Request))%uint64(len(other.hosts))]
}

// handOverQueued hands over queued requests whose target is now at risk.
func (c *core) handOverQueued(now time.Time) {
	for _, l := range c.sortedLanes {
		for l.queued > 0 && c.handOver(now, l.queueHeap[0].oldest) {
			continue
		}
	}
}

// setHosts sets the live hosts. Those of this data centre determine the host's rank; those of
// the others can take over requests.
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
	c.assignRates()
	for _, other := range c.remotes {
		other.hosts = other.hosts[:0]
	}
	for _, host := range others {
		if !host.Leaving {
			other := c.remoteOf(host.DataCentre)
			other.hosts = append(other.hosts, host)
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
