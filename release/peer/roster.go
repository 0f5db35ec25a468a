package peer

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutuswinch/winch"
)

// hostReport is what a hub knows of one host of its data centre.
type hostReport struct {
	// lastSeen is when the host was last listed or heard.
	lastSeen    time.Time
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
	hosts map[winch.HostID]*hostReport
	// leavingSince tells since when hosts were seen to be leaving.
	leavingSince map[winch.HostID]time.Time
	// replacedAt counts incarnations that were replaced under the same id, by when.
	replacedAt []time.Time
	// known is set once the roster was read from the platform or came from a hub.
	known bool
}

func newRoster(self winch.HostID) *roster {
	return &roster{self: self, hosts: map[winch.HostID]*hostReport{}, leavingSince: map[winch.HostID]time.Time{}}
}

// applyMembership takes the list of hosts in.
func (r *roster) applyMembership(now time.Time, hosts []winch.Host, longestStop time.Duration) {
	listed := map[winch.HostID]bool{}
	for _, host := range hosts {
		listed[host.ID] = true
		r.markSeen(now, host.ID)
		if _, found := r.leavingSince[host.ID]; host.Leaving && !found {
			r.leavingSince[host.ID] = now
		}
	}
	for id, since := range r.leavingSince {
		if id != r.self && !listed[id] && now.Sub(since) > longestStop {
			delete(r.hosts, id)
			delete(r.leavingSince, id)
		}
	}
}

// forgetSilent drops the hosts that were silent for the memory. A hub may do so only
// while it reads the platform; one that is cut off cannot tell who else is.
func (r *roster) forgetSilent(now time.Time, memory time.Duration) {
	for id, host := range r.hosts {
		if id != r.self && now.Sub(host.lastSeen) > memory {
			delete(r.hosts, id)
		}
	}
	r.replacedAt = slices.DeleteFunc(r.replacedAt, func(at time.Time) bool { return now.Sub(at) > memory })
}

// applyHubRoster takes in the roster that a hub keeps, besides the hosts that are listed.
func (r *roster) applyHubRoster(now time.Time, ids []winch.HostID) {
	for id, host := range r.hosts {
		if id != r.self && !host.learner && !slices.Contains(ids, id) && now.After(host.lastSeen) {
			delete(r.hosts, id)
		}
	}
	r.add(now, ids)
}

// add adds hosts to the roster.
func (r *roster) add(now time.Time, ids []winch.HostID) {
	for _, id := range ids {
		if _, found := r.hosts[id]; !found {
			r.markSeen(now, id)
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
	return shortHash(names)
}

// shortHash shortens a text that is sent often.
func shortHash(text string) string { return strconv.FormatUint(xxhash.Sum64String(text), 36) }

func (r *roster) markSeen(now time.Time, id winch.HostID) *hostReport {
	host, found := r.hosts[id]
	if !found {
		host = &hostReport{}
		r.hosts[id] = host
	}
	host.lastSeen = now
	return host
}

// recordReport takes a host's report in, which was made at asOf or later.
func (r *roster) recordReport(now, asOf time.Time, id winch.HostID, incarnation winch.Incarnation, revision winch.Revision) *hostReport {
	host := r.markSeen(now, id)
	if host.incarnation != "" && host.incarnation != incarnation {
		if _, left := r.leavingSince[id]; !left && !host.learner {
			r.replacedAt = append(r.replacedAt, now)
		}
		delete(r.leavingSince, id)
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
func (r *roster) voters() []*hostReport {
	voters := []*hostReport{}
	for _, host := range r.hosts {
		if !host.learner {
			voters = append(voters, host)
		}
	}
	return voters
}

// majority is the number of hosts that make more than half of those that count.
func (r *roster) majority(voters []*hostReport) int { return (len(voters)+len(r.replacedAt))/2 + 1 }

// agreement returns the newest instant at or after which a majority had reported,
// and the newest revision that any host reported.
func (r *roster) agreement(anyHost bool) (proof, bool) {
	voters, instants, newest := r.voters(), []time.Time{}, winch.Revision(0)
	for _, host := range voters {
		newest = max(newest, host.revision)
		if !host.asOf.IsZero() {
			instants = append(instants, host.asOf)
		}
	}
	slices.SortFunc(instants, func(a, b time.Time) int { return b.Compare(a) })
	needed := r.majority(voters)
	if anyHost {
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
