package peer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/arbutuswinch/winch"
)

// Table holds the hosts that this host knows and decides which of them are alive. It does no
// I/O and is safe for concurrent use. It implements winch.Membership.
type Table struct {
	self         winch.Host
	suspectAfter time.Duration
	forgetAfter  time.Duration

	// groupsEnabled is set before the table is used.
	groupsEnabled bool

	mu      sync.Mutex
	leaving bool
	hosts   map[winch.HostID]*member
	// sorted holds the members of each data centre, sorted by id.
	sorted  map[winch.DataCentreID][]*member
	centres map[winch.DataCentreID]bool
	// placed is this host's place as it was found last; its time is zero if it has to be found again.
	placed placement
}

type member struct {
	host        winch.Host
	listed      bool
	firstSeen   time.Time
	lastHeard   time.Time
	lastFailure time.Time
	lastProbe   time.Time
	// lastCall is when the host last reported to this one.
	lastCall time.Time
}

// NewTable returns a table that knows only the host itself and the given data centres.
//
// A host is no longer considered alive after a failed call, or when nothing was heard of it for
// suspectAfter; that time is longer with many hosts or data centres (see suspectTimeout). A host
// that was only listed and never heard counts as alive for the same time from when it was first
// listed. ApplyHostList removes a host that is not listed and of which nothing was heard for
// forgetAfter.
func NewTable(self winch.Host, centres []winch.DataCentreID, suspectAfter, forgetAfter time.Duration) *Table {
	table := &Table{
		self: self, suspectAfter: suspectAfter, forgetAfter: forgetAfter,
		hosts:   map[winch.HostID]*member{},
		centres: map[winch.DataCentreID]bool{self.DataCentre: true},
		sorted:  map[winch.DataCentreID][]*member{},
	}
	for _, centre := range centres {
		table.centres[centre] = true
	}
	return table
}

// Self returns this host.
func (t *Table) Self() winch.Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	self := t.self
	self.Leaving = t.leaving
	return self
}

// Leave marks this host as leaving. It then becomes a hub or takes on a duty only if no
// other host is available.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
	t.placed = placement{}
}

// ApplyHostList updates the table from the host list.
func (t *Table) ApplyHostList(now time.Time, hosts []winch.Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.hosts {
		m.listed = false
	}
	for _, host := range hosts {
		if m := t.getOrAdd(now, host); m != nil {
			m.listed = true
			m.host.Leaving = host.Leaving
		}
	}
	t.removeExpired(now)
}

// RecordAlive records that the host was alive at the time now minus age.
func (t *Table) RecordAlive(now time.Time, host winch.Host, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.getOrAdd(now, host)
	if m == nil {
		return
	}
	if heardAt := now.Add(-age); heardAt.After(m.lastHeard) {
		m.lastHeard = heardAt
		if m.host.DataCentre != host.DataCentre {
			t.remove(m)
			m.host = host
			t.insert(m)
		}
		m.host = host
	}
}

// RecordFailure records that the host could not be reached.
func (t *Table) RecordFailure(now time.Time, id winch.HostID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.hosts[id]; m != nil {
		m.lastFailure = now
		t.placed = placement{}
	}
}

// DataCentres returns the data centres that were given to NewTable or that a known host
// belonged to, sorted.
func (t *Table) DataCentres() []winch.DataCentreID {
	t.mu.Lock()
	defer t.mu.Unlock()
	centres := make([]winch.DataCentreID, 0, len(t.centres))
	for centre := range t.centres {
		centres = append(centres, centre)
	}
	slices.Sort(centres)
	return centres
}

// Hosts returns the live hosts of the data centre, sorted by id.
func (t *Table) Hosts(now time.Time, centre winch.DataCentreID) []winch.Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.liveHosts(now, centre)
}

// Probe returns a known host of the data centre that is not considered alive, and records that
// it is being probed. Of several hosts it returns the one whose last probe is the oldest.
func (t *Table) Probe(now time.Time, centre winch.DataCentreID) (winch.Host, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var chosen *member
	for _, m := range t.hosts {
		if m.host.DataCentre != centre || t.isAlive(now, m) {
			continue
		}
		if chosen == nil || probedEarlier(m, chosen) {
			chosen = m
		}
	}
	if chosen == nil {
		return winch.Host{}, false
	}
	chosen.lastProbe = now
	return chosen.host, true
}

// Introduction returns the host of this host's data centre to which this host should make itself known, and records that it is
// being called. There is none once another host was heard: before that the others may not know of this host, which waits for
// their calls if it ranks as the hub. Of several hosts it returns the one that was called least recently, and of these the one
// that ranks highest.
func (t *Table) Introduction(now time.Time) (winch.Host, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var strangers []winch.Host
	earliest := time.Time{}
	for _, m := range t.sorted[t.self.DataCentre] {
		switch {
		case !m.lastHeard.IsZero():
			return winch.Host{}, false
		case len(strangers) == 0 || m.lastProbe.Before(earliest):
			strangers, earliest = []winch.Host{m.host}, m.lastProbe
		case m.lastProbe.Equal(earliest):
			strangers = append(strangers, m.host)
		}
	}
	chosen, found := highestWeight(strangers, hubName(t.self.DataCentre))
	if found {
		t.hosts[chosen.ID].lastProbe = now
	}
	return chosen, found
}

func probedEarlier(a, b *member) bool {
	if !a.lastProbe.Equal(b.lastProbe) {
		return a.lastProbe.Before(b.lastProbe)
	}
	return a.host.ID < b.host.ID
}

// getOrAdd returns the member for the host and adds it if it is unknown. It returns nil for
// this host itself.
func (t *Table) getOrAdd(now time.Time, host winch.Host) *member {
	if host.ID == t.self.ID {
		return nil
	}
	t.centres[host.DataCentre] = true
	m := t.hosts[host.ID]
	if m == nil {
		m = &member{host: host, firstSeen: now}
		t.hosts[host.ID] = m
		t.insert(m)
	}
	return m
}

// isAlive decides by the latest contact or failure. A host that is listed and was never heard
// of counts as alive for the suspect timeout after it was first seen, unless a call failed.
func (t *Table) isAlive(now time.Time, m *member) bool {
	if m.lastHeard.IsZero() {
		return m.lastFailure.IsZero() && m.listed && now.Sub(m.firstSeen) < t.suspectTimeout(m.host.DataCentre)
	}
	if m.lastFailure.After(m.lastHeard) {
		return false
	}
	return now.Sub(m.lastHeard) < t.suspectTimeout(m.host.DataCentre)
}

// liveHosts returns the live hosts of the data centre, sorted by id.
func (t *Table) liveHosts(now time.Time, centre winch.DataCentreID) []winch.Host {
	hosts := make([]winch.Host, 0, len(t.sorted[centre])+1)
	for _, m := range t.sorted[centre] {
		if t.isAlive(now, m) {
			hosts = append(hosts, m.host)
		}
	}
	if centre != t.self.DataCentre {
		return hosts
	}
	self := t.self
	self.Leaving = t.leaving
	at, _ := slices.BinarySearchFunc(hosts, self.ID, func(host winch.Host, id winch.HostID) int { return cmp.Compare(host.ID, id) })
	return slices.Insert(hosts, at, self)
}

// knowsNoPeer reports whether the table holds no other host of this data centre.
func (t *Table) knowsNoPeer() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.sorted[t.self.DataCentre]) == 0
}

func (t *Table) insert(m *member) {
	centre := m.host.DataCentre
	t.sorted[centre] = slices.Insert(t.sorted[centre], t.index(m), m)
}

func (t *Table) remove(m *member) {
	centre, at := m.host.DataCentre, t.index(m)
	t.sorted[centre] = slices.Delete(t.sorted[centre], at, at+1)
}

// index returns the position of the member in the sorted list of its data centre, or the
// position at which to insert it.
func (t *Table) index(m *member) int {
	at, _ := slices.BinarySearchFunc(t.sorted[m.host.DataCentre], m.host.ID,
		func(other *member, id winch.HostID) int { return cmp.Compare(other.host.ID, id) })
	return at
}

func (t *Table) removeExpired(now time.Time) {
	for id, m := range t.hosts {
		lastSeen := m.lastHeard
		if lastSeen.IsZero() {
			lastSeen = m.firstSeen
		}
		if !m.listed && now.Sub(lastSeen) > t.forgetAfter {
			delete(t.hosts, id)
			t.remove(m)
		}
	}
}
