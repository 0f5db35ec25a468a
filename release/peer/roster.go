package peer

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutuswinch/winch"
)

// reported is what a hub knows of one host of its data centre.
type reported struct {
	// seen is when the host was last listed or heard.
	seen        time.Time
	incarnation winch.Incarnation
	// learner is set on hosts that do not count.
	learner bool
	// asOf is an instant, by the hub's clock, at or after which the report was made.
	asOf     time.Time
	revision winch.Revision
	// view is the revision that the host asks about.
	view winch.Revision
	// rosterTag is that of the roster which the host was sent last.
	rosterTag string
}

// roster knows the hosts of a data centre that may be alive. A host that is no
// longer listed still counts, since it may be cut off and not dead, until it is
// forgotten; one that was leaving is forgotten when it must have ended.
type roster struct {
	self  winch.HostID
	hosts map[winch.HostID]*reported
	// leaving tells since when hosts were seen to be leaving.
	leaving map[winch.HostID]time.Time
	// former counts incarnations that were replaced under the same id, by when.
	former []time.Time
	// known is set once the roster was read from the platform or came from a hub.
	known bool
}

func newRoster(self winch.HostID) *roster {
	return &roster{self: self, hosts: map[winch.HostID]*reported{}, leaving: map[winch.HostID]time.Time{}}
}

// observe takes the list of hosts in.
func (r *roster) observe(now time.Time, hosts []winch.Host, stop time.Duration) {
	listed := map[winch.HostID]bool{}
	for _, host := range hosts {
		listed[host.ID] = true
		r.see(now, host.ID)
		if _, found := r.leaving[host.ID]; host.Leaving && !found {
			r.leaving[host.ID] = now
		}
	}
	for id, since := range r.leaving {
		if id != r.self && !listed[id] && now.Sub(since) > stop {
			delete(r.hosts, id)
			delete(r.leaving, id)
		}
	}
}

// forget drops the hosts that were silent for the memory. A hub may do so only
// while it reads the platform; one that is cut off cannot tell who else is.
func (r *roster) forget(now time.Time, memory time.Duration) {
	for id, host := range r.hosts {
		if id != r.self && now.Sub(host.seen) > memory {
			delete(r.hosts, id)
		}
	}
	r.former = slices.DeleteFunc(r.former, func(at time.Time) bool { return now.Sub(at) > memory })
}

// replace takes in the roster that a hub keeps, besides the hosts that are listed.
func (r *roster) replace(now time.Time, ids []winch.HostID) {
	for id, host := range r.hosts {
		if id != r.self && !host.learner && !slices.Contains(ids, id) && now.After(host.seen) {
			delete(r.hosts, id)
		}
	}
	r.merge(now, ids)
}

// merge adds hosts to the roster.
func (r *roster) merge(now time.Time, ids []winch.HostID) {
	for _, id := range ids {
		if _, found := r.hosts[id]; !found {
			r.see(now, id)
		}
	}
	r.known = true
}

// ids returns the hosts that count, sorted.
func (r *roster) ids() []winch.HostID {
	ids := []winch.HostID{}
	for id, host := range r.hosts {
		if !host.learner {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// tag tells rosters apart.
func (r *roster) tag() string {
	names := ""
	for _, id := range r.ids() {
		names += string(id) + "\n"
	}
	return tagOf(names)
}

// tagOf shortens a text that is sent often.
func tagOf(text string) string { return strconv.FormatUint(xxhash.Sum64String(text), 36) }

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
		if _, left := r.leaving[id]; !left && !host.learner {
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

// voters returns the hosts that count.
func (r *roster) voters() []*reported {
	voters := []*reported{}
	for _, host := range r.hosts {
		if !host.learner {
			voters = append(voters, host)
		}
	}
	return voters
}

// majority is the number of hosts that make more than half of those that count.
func (r *roster) majority(voters []*reported) int { return (len(voters)+len(r.former))/2 + 1 }

// agreement returns the newest instant at or after which a majority had reported,
// and the newest revision that any host reported.
func (r *roster) agreement(unguarded bool) (proof, bool) {
	voters, instants, newest := r.voters(), []time.Time{}, winch.Revision(0)
	for _, host := range voters {
		newest = max(newest, host.revision)
		if !host.asOf.IsZero() {
			instants = append(instants, host.asOf)
		}
	}
	slices.SortFunc(instants, func(a, b time.Time) int { return b.Compare(a) })
	needed := r.majority(voters)
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
	voters, revisions := r.voters(), []winch.Revision{}
	for _, host := range voters {
		revisions = append(revisions, host.revision)
	}
	slices.Sort(revisions)
	needed := r.majority(voters)
	if len(revisions) < needed {
		return 0
	}
	return revisions[len(revisions)-needed]
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
