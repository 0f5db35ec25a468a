package peer

import (
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
)

// maxTimelineEntries bounds the entries of a timeline.
const maxTimelineEntries = 4096

// timelineEntry states that a revision had been reached at the given time.
type timelineEntry struct {
	revision winch.Revision
	at       time.Time
}

// timeline records when revisions were first known to be committed or settled. Both
// revisions and times increase.
type timeline struct {
	entries []timelineEntry
}

// add records that the revision was reached at the time, unless it or a newer one was
// recorded before.
func (t *timeline) add(at time.Time, revision winch.Revision) {
	if len(t.entries) > 0 && t.entries[len(t.entries)-1].revision >= revision || revision == 0 {
		return
	}
	t.entries = append(t.entries, timelineEntry{revision: revision, at: at})
	if len(t.entries) > maxTimelineEntries {
		// A dropped revision then counts as reached at the time of the next entry, which is
		// later and therefore safe.
		t.entries = append([]timelineEntry{}, t.entries[maxTimelineEntries/2:]...)
	}
}

// reachedAt returns the time at which the revision or a newer one was first known to be reached.
func (t *timeline) reachedAt(revision winch.Revision) (time.Time, bool) {
	for _, entry := range t.entries {
		if entry.revision >= revision {
			return entry.at, true
		}
	}
	return time.Time{}, false
}

// dropUpTo removes the entries up to the given revision, but keeps the newest entry, with
// which add compares.
func (t *timeline) dropUpTo(revision winch.Revision) {
	kept := 0
	for kept < len(t.entries)-1 && t.entries[kept].revision <= revision {
		kept++
	}
	t.entries = t.entries[kept:]
}

// centreState is what a hub knows about a data centre.
type centreState struct {
	revision winch.Revision
	// settled records when the data centre was first known to have settled a revision.
	settled timeline
	// agreed is the newest agreement of a majority of its hosts: at its time they knew no
	// revision newer than its revision.
	agreed proof
	hosts  int
	// behind are some of the hosts that are not known to hold the revision.
	behind []winch.HostID
	// heardAt is when the last digest arrived.
	heardAt time.Time
}

// acceptance decides when a revision is accepted: when no host can still accept keys by
// an older one.
type acceptance struct {
	limits  limits
	self    winch.DataCentreID
	centres map[winch.DataCentreID]*centreState
	// committed records when a revision was first known to be committed.
	committed timeline
}

func newAcceptance(limits limits, self winch.DataCentreID, ids []winch.DataCentreID) *acceptance {
	a := &acceptance{limits: limits, self: self, centres: map[winch.DataCentreID]*centreState{}}
	for _, id := range append([]winch.DataCentreID{self}, ids...) {
		a.centres[id] = &centreState{}
	}
	return a
}

// servesOlderUntil returns the end of the time in which hosts of the data centre may
// accept keys by a revision older than the given one. Settled reports whether the data
// centre has settled the revision. Known is false if neither the data centre nor more than
// half of all data centres have settled it.
func (a *acceptance) servesOlderUntil(id winch.DataCentreID, revision winch.Revision) (at time.Time, settled, known bool) {
	if at, settled = a.centres[id].settled.reachedAt(revision); settled {
		return at.Add(a.limits.freshness + a.limits.margin), true, true
	}
	settledAt, found := a.settledByMajority(revision)
	if !found {
		return time.Time{}, false, false
	}
	return settledAt.Add(a.limits.freshness + a.limits.grace + a.limits.margin), false, true
}

// majority returns the smallest number of data centres that is more than half of them.
func (a *acceptance) majority() int { return len(a.centres)/2 + 1 }

// settledByMajority returns the time at which more than half of the data centres had
// settled the revision.
func (a *acceptance) settledByMajority(revision winch.Revision) (time.Time, bool) {
	instants := []time.Time{}
	for _, c := range a.centres {
		if at, found := c.settled.reachedAt(revision); found {
			instants = append(instants, at)
		}
	}
	if len(instants) < a.majority() {
		return time.Time{}, false
	}
	slices.SortFunc(instants, func(a, b time.Time) int { return a.Compare(b) })
	return instants[a.majority()-1], true
}

// acceptedAt returns the time from which the revision is accepted, if it is known yet.
func (a *acceptance) acceptedAt(revision winch.Revision) (time.Time, bool) {
	latest, found := a.committed.reachedAt(revision)
	if !found {
		return time.Time{}, false
	}
	// A proof from a read of the platform just before the commit lasts for L.
	latest = latest.Add(a.limits.freshness + a.limits.margin)
	if a.limits.disabled.settlement {
		return latest, true
	}
	for id := range a.centres {
		until, _, known := a.servesOlderUntil(id, revision)
		if !known {
			return time.Time{}, false
		}
		if until.After(latest) {
			latest = until
		}
	}
	return latest, true
}

// newestAccepted returns the newest revision that is accepted now, or atLeast if none is
// newer.
func (a *acceptance) newestAccepted(now time.Time, atLeast winch.Revision) winch.Revision {
	accepted := atLeast
	for _, entry := range a.committed.entries {
		if entry.revision <= accepted {
			continue
		}
		at, known := a.acceptedAt(entry.revision)
		if !known || now.Before(at) {
			break
		}
		accepted = entry.revision
	}
	return accepted
}

func (a *acceptance) dropUpTo(revision winch.Revision) {
	a.committed.dropUpTo(revision)
	for _, c := range a.centres {
		c.settled.dropUpTo(revision)
	}
}

// combinedProof returns the proof that follows from the agreements of more than half of
// the data centres. Its time is the newest that more than half of them reach, and its
// revision the newest of all agreements. At that time, more than half of the data centres
// had not settled a newer revision, so none is accepted within L after it.
func (a *acceptance) combinedProof() (proof, bool) {
	agreed := []proof{}
	for _, c := range a.centres {
		if !c.agreed.asOf.IsZero() {
			agreed = append(agreed, c.agreed)
		}
	}
	if len(agreed) < a.majority() {
		return proof{}, false
	}
	slices.SortFunc(agreed, func(a, b proof) int { return b.asOf.Compare(a.asOf) })
	combined := proof{asOf: agreed[a.majority()-1].asOf}
	for _, p := range agreed {
		combined.revision = max(combined.revision, p.revision)
	}
	return combined, true
}
