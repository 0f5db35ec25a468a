package peer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutuswinch/winch"
)

// Hub returns the host through which the data centre's hosts exchange reports.
func (t *Table) Hub(now time.Time, centre winch.DataCentreID) (winch.Host, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if centre == t.self.DataCentre && t.groupsEnabled {
		return t.place(now).hub, true
	}
	return highestWeight(t.liveHosts(now, centre), hubName(centre))
}

// Candidate reports whether this host is the one that should take on the duty within the data
// centre, or among all hosts if scope is empty.
func (t *Table) Candidate(now time.Time, duty winch.Duty, scope winch.DataCentreID) bool {
	chosen, found := highestWeight(t.liveInScope(now, scope), string(duty))
	return found && chosen.ID == t.Self().ID
}

// Rank returns how many live hosts of the data centre, or of all if scope is empty, should take on the duty before this one.
func (t *Table) Rank(now time.Time, duty winch.Duty, scope winch.DataCentreID) int {
	self := t.Self()
	own := dutyWeight(self, string(duty))
	rank := 0
	for _, host := range t.liveInScope(now, scope) {
		if host.ID != self.ID && ranksHigher(host, dutyWeight(host, string(duty)), self, own) {
			rank++
		}
	}
	return rank
}

// liveInScope returns the live hosts of the data centre, or of all if scope is empty.
func (t *Table) liveInScope(now time.Time, scope winch.DataCentreID) []winch.Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	if scope != "" {
		return t.liveHosts(now, scope)
	}
	hosts := []winch.Host{}
	for centre := range t.centres {
		hosts = append(hosts, t.liveHosts(now, centre)...)
	}
	return hosts
}

// hubName is the name by which the hub of a data centre is chosen.
func hubName(centre winch.DataCentreID) string { return "hub/" + string(centre) }

// highestWeight returns the host with the highest rendezvous hash for the name, among those with the most capacity. Leaving
// hosts are only considered if there are no others.
func highestWeight(hosts []winch.Host, name string) (winch.Host, bool) {
	var chosen winch.Host
	var weight uint64
	found := false
	for _, host := range hosts {
		w := dutyWeight(host, name)
		if !found || ranksHigher(host, w, chosen, weight) {
			chosen, weight, found = host, w, true
		}
	}
	return chosen, found
}

// dutyWeight returns the rendezvous hash of the host for the name.
func dutyWeight(host winch.Host, name string) uint64 {
	return xxhash.Sum64String(name + "\x00" + string(host.ID))
}

func ranksHigher(host winch.Host, weight uint64, other winch.Host, otherWeight uint64) bool {
	if host.Leaving != other.Leaving {
		return other.Leaving
	}
	if host.Capacity != other.Capacity {
		return host.Capacity > other.Capacity
	}
	return weight > otherWeight
}
