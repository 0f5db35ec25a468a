package peer

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutuswinch/winch"
)

// hostState is what this host knows about one host of its data centre. Reports arrive
// only at the hub.
type hostState struct {
	// lastSeen is when the host was last listed by the membership or sent a report.
	lastSeen    time.Time
	incarnation winch.Incarnation
	// learner is set for hosts that are not counted for the majority.
	learner bool
	// asOf is the earliest time, by the hub's clock, at which the newest report may have
	// been made.
	asOf     time.Time
	revision winch.Revision
	// requestedProgress is the revision whose progress the host asks for.
	requestedProgress winch.Revision
	// rosterTag is the tag of the roster that the host received last.
	rosterTag string
}

// roster holds the hosts of a data centre that may be running. A host that is no
// longer listed by the membership is still counted for the majority, since it may be
// disconnected rather than stopped, until it has been silent for Options.RosterMemory. A
// host that was leaving is removed after Options.LongestStop.
type roster struct {
	self  winch.HostID
	hosts map[winch.HostID]*hostState
	// leavingSince is when each leaving host was first seen to be leaving.
	leavingSince map[winch.HostID]time.Time
	// replacedAt holds when an incarnation was replaced by another one with the same host
	// id. The replaced incarnation may still be running, so each entry counts as a host.
	replacedAt []time.Time
	// known is set once the roster was received from the platform or from a hub.
	known bool
}

func newRoster(self winch.HostID) *roster {
	return &roster{self: self, hosts: map[winch.HostID]*hostState{}, leavingSince: map[winch.HostID]time.Time{}}
}

// applyMembership adds the hosts that the membership lists, and removes leaving hosts
// that must have stopped.
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

// forgetSilent removes the hosts that were silent for longer than memory. A hub may
// call it only while it can read the platform: one that is disconnected cannot tell
// silent hosts from hosts that it cannot reach.
func (r *roster) forgetSilent(now time.Time, memory time.Duration) {
	for id, host := range r.hosts {
		if id != r.self && now.Sub(host.lastSeen) > memory {
			delete(r.hosts, id)
		}
	}
	r.replacedAt = slices.DeleteFunc(r.replacedAt, func(at time.Time) bool { return now.Sub(at) > memory })
}

// applyHubRoster replaces the roster by the hub's. Hosts whose lastSeen is now,
// learners and this host itself stay.
func (r *roster) applyHubRoster(now time.Time, ids []winch.HostID) {
	for id, host := range r.hosts {
		if id != r.self && !host.learner && !slices.Contains(ids, id) && now.After(host.lastSeen) {
			delete(r.hosts, id)
		}
	}
	r.add(now, ids)
}

// add adds hosts to the roster and marks it as known.
func (r *roster) add(now time.Time, ids []winch.HostID) {
	for _, id := range ids {
		if _, found := r.hosts[id]; !found {
			r.markSeen(now, id)
		}
	}
	r.known = true
}

// ids returns the hosts that are counted for the majority, sorted.
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

// tag returns a hash of the roster, by which hosts and hub compare theirs.
func (r *roster) tag() string {
	names := ""
	for _, id := range r.ids() {
		names += string(id) + "\n"
	}
	return shortHash(names)
}

// shortHash returns a short hash of a string that would otherwise be sent often.
func shortHash(text string) string { return strconv.FormatUint(xxhash.Sum64String(text), 36) }

// markSeen sets the time at which the host was last seen, and adds it if it is new.
func (r *roster) markSeen(now time.Time, id winch.HostID) *hostState {
	host, found := r.hosts[id]
	if !found {
		host = &hostState{}
		r.hosts[id] = host
	}
	host.lastSeen = now
	return host
}

// recordReport processes a host's report, which was made at asOf or later.
func (r *roster) recordReport(now, asOf time.Time, id winch.HostID, incarnation winch.Incarnation, revision winch.Revision) *hostState {
	host := r.markSeen(now, id)
	if host.incarnation != "" && host.incarnation != incarnation {
		// A replaced incarnation that was leaving is taken to have stopped, and a learner was
		// never counted.
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

// voters returns the reports of the hosts that are counted for the majority.
func (r *roster) voters() []*hostState {
	voters := []*hostState{}
	for _, host := range r.hosts {
		if !host.learner {
			voters = append(voters, host)
		}
	}
	return voters
}

// majority returns the smallest number of hosts that is more than half of the voters
// and the replaced incarnations together.
func (r *roster) majority(voters []*hostState) int { return (len(voters)+len(r.replacedAt))/2 + 1 }

// agreement returns the latest time since which a majority of the hosts have reported,
// and the newest revision that any of them reported. With anyHost, which only
// tests set, one host is enough.
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

// settled returns the newest revision that a majority of the hosts hold.
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

// behind returns the hosts that hold an older revision, sorted, at most limit of them.
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
