package peer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutuswinch/winch"
)

// With groups enabled, a data centre of more than maxUngroupedHosts known hosts exchanges through two levels, because the work
// of a hub grows with the number of hosts that report to it. Some hosts of each home, the heads, report to the hub. The others
// report to a head of their home, chosen by rendezvous hashing, which reports for them and passes on what the hub knows.
const (
	maxUngroupedHosts = 40
	// hostsPerHead is the number of known hosts of a home for each head.
	hostsPerHead = 30
	// relayedAgeShare times the suspect timeout is the age that is assumed for a relayed sign of life, so that a dead host is not
	// considered alive for a whole timeout longer with each relay.
	relayedAgeShare = 0.5
)

// EnableGroups divides the hosts into groups where there are many. All sections of the exchange must then report for the hosts
// that report to them. It must be called before the table is used.
func (t *Table) EnableGroups() { t.groupsEnabled = true }

// Grouped reports whether the hosts of this host's data centre are divided into groups.
func (t *Table) Grouped() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.grouped()
}

// Parent returns the host to which this host reports: the hub, which is its own parent, or the head of its group.
func (t *Table) Parent(now time.Time) winch.Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.place(now).parent
}

// RelaysReports reports whether this host is the hub or a head, while the hosts are divided into groups.
func (t *Table) RelaysReports(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.place(now).relays
}

// RecordCall records a report of the host to this one.
func (t *Table) RecordCall(now time.Time, host winch.Host) {
	t.RecordAlive(now, host, 0)
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.hosts[host.ID]; m != nil {
		m.lastCall = now
	}
}

// Callers returns the hosts that report to this one, sorted by id.
func (t *Table) Callers(now time.Time) []winch.Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	callers := []winch.Host{}
	for _, m := range t.sorted[t.self.DataCentre] {
		if !m.lastCall.IsZero() && now.Sub(m.lastCall) < t.suspectAfter {
			callers = append(callers, m.host)
		}
	}
	return callers
}

// RelayedAge returns the age to assume for a sign of life of a host that another host relays.
func (t *Table) RelayedAge() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.grouped() {
		return 0
	}
	return scalePeriod(t.suspectTimeout(t.self.DataCentre), relayedAgeShare)
}

// grouped depends on the known hosts, alive or not, so that the levels stay the same while hosts fail.
func (t *Table) grouped() bool {
	return t.groupsEnabled && len(t.sorted[t.self.DataCentre])+1 > maxUngroupedHosts
}

// placement is a host's place in the exchange.
type placement struct {
	at          time.Time
	hub, parent winch.Host
	// relays is set for the hub and the heads.
	relays bool
}

// placementReuse is how long a placement is used again, unless a call has failed since.
const placementReuse = 50 * time.Millisecond

func (t *Table) place(now time.Time) placement {
	if t.placed.at.IsZero() || now.Sub(t.placed.at).Abs() >= placementReuse {
		t.placed = t.findPlace(now)
	}
	return t.placed
}

func (t *Table) findPlace(now time.Time) placement {
	live := t.liveHosts(now, t.self.DataCentre)
	hub, _ := highestWeight(live, hubName(t.self.DataCentre))
	found := placement{at: now, hub: hub, parent: hub}
	if !t.grouped() {
		return found
	}
	heads := t.heads(live, hub)
	isHead := slices.ContainsFunc(heads, func(head winch.Host) bool { return head.ID == t.self.ID })
	found.relays = hub.ID == t.self.ID || isHead
	if !found.relays {
		found.parent = headOf(heads, t.self.ID, hub)
	}
	return found
}

// heads returns the heads of this host's home. Leaving hosts and the hub are not heads.
func (t *Table) heads(live []winch.Host, hub winch.Host) []winch.Host {
	candidates := slices.DeleteFunc(slices.Clone(live), func(host winch.Host) bool {
		return host.Home != t.self.Home || host.Leaving || host.ID == hub.ID
	})
	heads := []winch.Host{}
	for range t.headCount() {
		head, found := highestWeight(candidates, hubName(t.self.DataCentre))
		if !found {
			break
		}
		heads = append(heads, head)
		candidates = slices.DeleteFunc(candidates, func(host winch.Host) bool { return host.ID == head.ID })
	}
	return heads
}

func (t *Table) headCount() int {
	known := 1
	for _, m := range t.sorted[t.self.DataCentre] {
		if m.host.Home == t.self.Home {
			known++
		}
	}
	return (known + hostsPerHead - 1) / hostsPerHead
}

// headOf returns the head for the host, or the hub if there is none.
func headOf(heads []winch.Host, id winch.HostID, hub winch.Host) winch.Host {
	chosen, weight := hub, uint64(0)
	for _, head := range heads {
		if w := xxhash.Sum64String(string(head.ID) + "\x00" + string(id)); chosen.ID == hub.ID || w > weight {
			chosen, weight = head, w
		}
	}
	return chosen
}
