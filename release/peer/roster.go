package peer

import (
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
)

// reported is what a hub knows of one host of its data centre.
type reported struct {
	// seen is when the host was last listed or heard.
	seen        time.Time
	incarnation winch.Incarnation
	// asOf is an instant, by the hub's clock, at or after which the report was made.
	asOf     time.Time
	revision winch.Revision
	// view is the revision that the host asks about.
	view winch.Revision
}

// roster knows the hosts of a data centre that may be alive. A host that is no
// longer listed counts for the memory, since it may be cut off and not dead; one
// that was leaving is forgotten at once.
type roster struct {
	self    winch.HostID
	hosts   map[winch.HostID]*reported
	leaving map[winch.HostID]bool
	// former counts incarnations that were replaced under the same id, by when.
	former []time.Time
}

func newRoster(self winch.HostID) *roster {
	return &roster{self: self, hosts: map[winch.HostID]*reported{}, leaving: map[winch.HostID]bool{}}
}

// observe takes the list of hosts in.
func (r *roster) observe(now time.Time, hosts []winch.Host, memory time.Duration) {
	listed := map[winch.HostID]bool{}
	for _, host := range hosts {
		listed[host.ID] = true
		r.see(now, host.ID)
		if host.Leaving {
			r.leaving[host.ID] = true
		}
	}
	for id, host := range r.hosts {
		if id == r.self || listed[id] {
			continue
		}
		if r.leaving[id] || now.Sub(host.seen) > memory {
			delete(r.hosts, id)
			delete(r.leaving, id)
		}
	}
	r.former = slices.DeleteFunc(r.former, func(at time.Time) bool { return now.Sub(at) > memory })
}

func (r *roster) see(now time.Time, id winch.HostID) *reported {
	host, found := r.hosts[id]
	if !found {
		host = &reported{}
		r.hosts[id] = host
	}
	host.seen = now
	return host
}

// report takes a host's report in, which was made at asOf or later.
func (r *roster) report(now, asOf time.Time, id winch.HostID, incarnation winch.Incarnation, revision winch.Revision) *reported {
	host := r.see(now, id)
	if host.incarnation != "" && host.incarnation != incarnation {
		if !r.leaving[id] {
			r.former = append(r.former, now)
		}
		delete(r.leaving, id)
		host.asOf, host.revision = time.Time{}, 0
	}
	host.incarnation = incarnation
	if asOf.After(host.asOf) {
		host.asOf = asOf
	}
	host.revision = max(host.revision, revision)
	return host
}

// majority is the number of hosts that make more than half of the roster.
func (r *roster) majority() int { return (len(r.hosts)+len(r.former))/2 + 1 }

// agreement returns the newest instant at or after which a majority had reported,
// and the newest revision that any host reported.
func (r *roster) agreement(unguarded bool) (proof, bool) {
	instants, newest := []time.Time{}, winch.Revision(0)
	for _, host := range r.hosts {
		newest = max(newest, host.revision)
		if !host.asOf.IsZero() {
			instants = append(instants, host.asOf)
		}
	}
	slices.SortFunc(instants, func(a, b time.Time) int { return b.Compare(a) })
	needed := r.majority()
	if unguarded {
		needed = 1
	}
	if len(instants) < needed {
		return proof{}, false
	}
	return proof{asOf: instants[needed-1], revision: newest}, true
}

// settled returns the newest revision that a majority holds.
func (r *roster) settled() winch.Revision {
	revisions := []winch.Revision{}
	for _, host := range r.hosts {
		revisions = append(revisions, host.revision)
	}
	slices.Sort(revisions)
	if len(revisions) < r.majority() {
		return 0
	}
	return revisions[len(revisions)-r.majority()]
}

// behind returns the hosts that hold less than the revision, sorted, at most limit.
func (r *roster) behind(revision winch.Revision, limit int) []winch.HostID {
	ids := []winch.HostID{}
	for id, host := range r.hosts {
		if host.revision < revision {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids[:min(limit, len(ids))]
}
