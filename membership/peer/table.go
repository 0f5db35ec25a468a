package peer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutuswinch/winch"
)

// Table holds what a host knows of the hosts of the system. It does no I/O and
// is safe for concurrent use. It implements winch.Membership.
type Table struct {
	self         winch.Host
	suspectAfter time.Duration
	forgetAfter  time.Duration

	mu      sync.Mutex
	leaving bool
	hosts   map[winch.HostID]*member
	// sorted are the members of each data centre by id.
	sorted  map[winch.DataCentreID][]*member
	centres map[winch.DataCentreID]bool
}

type member struct {
	host      winch.Host
	listed    bool
	firstSeen time.Time
	heard     time.Time
	failed    time.Time
	probed    time.Time
}

// NewTable returns a table that knows only the host itself and the data centres
// that are named. A host is believed dead when nothing was heard of it for
// suspectAfter, longer among many hosts or data centres, and forgotten when that
// goes on for forgetAfter and the platform no longer lists it.
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

// Self returns the host that the table belongs to.
func (t *Table) Self() winch.Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	self := t.self
	self.Leaving = t.leaving
	return self
}

// Leave marks the host itself as leaving: it takes on no more duties.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
}

// Listed takes in the platform's host list.
func (t *Table) Listed(now time.Time, hosts []winch.Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, known := range t.hosts {
		known.listed = false
	}
	for _, host := range hosts {
		if known := t.member(now, host); known != nil {
			known.listed = true
			known.host.Leaving = host.Leaving
		}
	}
	t.forget(now)
}

// Heard notes that the host was alive age ago.
func (t *Table) Heard(now time.Time, host winch.Host, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.member(now, host)
	if known == nil {
		return
	}
	if heard := now.Add(-age); heard.After(known.heard) {
		known.heard = heard
		if known.host.DataCentre != host.DataCentre {
			t.remove(known)
			known.host = host
			t.enter(known)
		}
		known.host = host
	}
}

// Failed notes that the host could not be reached.
func (t *Table) Failed(now time.Time, id winch.HostID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.hosts[id]; known != nil {
		known.failed = now
	}
}

// DataCentres returns the data centres that were named or heard of.
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
	return t.live(now, centre)
}

// Hub returns the host through which the data centre's hosts exchange reports.
func (t *Table) Hub(now time.Time, centre winch.DataCentreID) (winch.Host, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return first(t.live(now, centre), "hub/"+string(centre))
}

// Candidate tells whether this host should take on the duty.
func (t *Table) Candidate(now time.Time, duty winch.Duty, centre winch.DataCentreID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	centres := []winch.DataCentreID{centre}
	if centre == "" {
		centres = centres[:0]
		for known := range t.centres {
			centres = append(centres, known)
		}
	}
	hosts := []winch.Host{}
	for _, each := range centres {
		hosts = append(hosts, t.live(now, each)...)
	}
	chosen, found := first(hosts, string(duty))
	return found && chosen.ID == t.self.ID
}

// Probe returns a host of the data centre that is known and not believed alive,
// the one that was tried longest ago, and notes the try.
func (t *Table) Probe(now time.Time, centre winch.DataCentreID) (winch.Host, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var chosen *member
	for _, known := range t.hosts {
		if known.host.DataCentre != centre || t.alive(now, known) {
			continue
		}
		if chosen == nil || olderProbe(known, chosen) {
			chosen = known
		}
	}
	if chosen == nil {
		return winch.Host{}, false
	}
	chosen.probed = now
	return chosen.host, true
}

func olderProbe(a, b *member) bool {
	if !a.probed.Equal(b.probed) {
		return a.probed.Before(b.probed)
	}
	return a.host.ID < b.host.ID
}

// member returns the record of the host, made when it is new; nil for the host itself.
func (t *Table) member(now time.Time, host winch.Host) *member {
	if host.ID == t.self.ID {
		return nil
	}
	t.centres[host.DataCentre] = true
	known := t.hosts[host.ID]
	if known == nil {
		known = &member{host: host, firstSeen: now}
		t.hosts[host.ID] = known
		t.enter(known)
	}
	return known
}

// alive trusts the newest evidence. A host that is only listed is given the benefit
// of the doubt for a while after it was first seen.
func (t *Table) alive(now time.Time, known *member) bool {
	if known.heard.IsZero() {
		return known.failed.IsZero() && known.listed && now.Sub(known.firstSeen) < t.suspectTimeout(known.host.DataCentre)
	}
	if known.failed.After(known.heard) {
		return false
	}
	return now.Sub(known.heard) < t.suspectTimeout(known.host.DataCentre)
}

// live returns the live hosts of the data centre, sorted by id.
func (t *Table) live(now time.Time, centre winch.DataCentreID) []winch.Host {
	hosts := make([]winch.Host, 0, len(t.sorted[centre])+1)
	for _, known := range t.sorted[centre] {
		if t.alive(now, known) {
			hosts = append(hosts, known.host)
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

// alone tells whether no other host of the data centre was ever listed or heard, or all were forgotten.
func (t *Table) alone() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.sorted[t.self.DataCentre]) == 0
}

func (t *Table) enter(known *member) {
	centre := known.host.DataCentre
	t.sorted[centre] = slices.Insert(t.sorted[centre], t.place(known), known)
}

func (t *Table) remove(known *member) {
	centre, at := known.host.DataCentre, t.place(known)
	t.sorted[centre] = slices.Delete(t.sorted[centre], at, at+1)
}

// place returns where the member stands, or is to stand, among its data centre's.
func (t *Table) place(known *member) int {
	at, _ := slices.BinarySearchFunc(t.sorted[known.host.DataCentre], known.host.ID,
		func(other *member, id winch.HostID) int { return cmp.Compare(other.host.ID, id) })
	return at
}

func (t *Table) forget(now time.Time) {
	for id, known := range t.hosts {
		last := known.heard
		if last.IsZero() {
			last = known.firstSeen
		}
		if !known.listed && now.Sub(last) > t.forgetAfter {
			delete(t.hosts, id)
			t.remove(known)
		}
	}
}

// first returns the host with the highest rendezvous weight for the name; hosts
// that leave are taken only when there is no other.
func first(hosts []winch.Host, name string) (winch.Host, bool) {
	var chosen winch.Host
	var weight uint64
	found := false
	for _, host := range hosts {
		w := xxhash.Sum64String(name + "\x00" + string(host.ID))
		if !found || better(host, w, chosen, weight) {
			chosen, weight, found = host, w, true
		}
	}
	return chosen, found
}

func better(host winch.Host, weight uint64, than winch.Host, thanWeight uint64) bool {
	if host.Leaving != than.Leaving {
		return than.Leaving
	}
	return weight > thanWeight
}
