package peer

import (
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
)

// keptMarks bounds the history of a progress.
const keptMarks = 4096

// mark says that a revision was reached by an instant.
type mark struct {
	revision winch.Revision
	at       time.Time
}

// progress records by when revisions were reached; both grow.
type progress struct {
	marks []mark
}

func (p *progress) reach(at time.Time, revision winch.Revision) {
	if len(p.marks) > 0 && p.marks[len(p.marks)-1].revision >= revision || revision == 0 {
		return
	}
	p.marks = append(p.marks, mark{revision: revision, at: at})
	if len(p.marks) > keptMarks {
		p.marks = append([]mark{}, p.marks[keptMarks/2:]...)
	}
}

// when returns the instant by which the revision was reached.
func (p *progress) when(revision winch.Revision) (time.Time, bool) {
	for _, m := range p.marks {
		if m.revision >= revision {
			return m.at, true
		}
	}
	return time.Time{}, false
}

// forget drops the marks of revisions up to the given one.
func (p *progress) forget(revision winch.Revision) {
	kept := 0
	for kept < len(p.marks)-1 && p.marks[kept].revision <= revision {
		kept++
	}
	p.marks = p.marks[kept:]
}

// centre is what a hub knows of a data centre.
type centre struct {
	revision winch.Revision
	// settled tells by when a majority was heard to hold a revision.
	settled progress
	// agreed is the newest statement of a majority.
	agreed proof
	hosts  int
	behind []winch.HostID
	heard  time.Time
}

// acceptance decides when a revision can no longer be missed by any host.
type acceptance struct {
	limits  limits
	self    winch.DataCentreID
	centres map[winch.DataCentreID]*centre
	// committed tells by when a revision was seen to be committed.
	committed progress
}

func newAcceptance(limits limits, self winch.DataCentreID, ids []winch.DataCentreID) *acceptance {
	a := &acceptance{limits: limits, self: self, centres: map[winch.DataCentreID]*centre{}}
	for _, id := range append([]winch.DataCentreID{self}, ids...) {
		a.centres[id] = &centre{}
	}
	return a
}

// until returns the instant from which the data centre cannot serve a revision
// older than the given one, and whether it is known to hold it.
func (a *acceptance) until(id winch.DataCentreID, revision winch.Revision) (at time.Time, settled, known bool) {
	if at, settled = a.centres[id].settled.when(revision); settled {
		return at.Add(a.limits.freshness + a.limits.margin), true, true
	}
	held, found := a.held(revision)
	if !found {
		return time.Time{}, false, false
	}
	return held.Add(a.limits.freshness + a.limits.grace + a.limits.margin), false, true
}

// majority is the number of data centres that make more than half of them.
func (a *acceptance) majority() int { return len(a.centres)/2 + 1 }

// held returns the instant by which a majority of the data centres had settled
// the revision.
func (a *acceptance) held(revision winch.Revision) (time.Time, bool) {
	instants := []time.Time{}
	for _, c := range a.centres {
		if at, found := c.settled.when(revision); found {
			instants = append(instants, at)
		}
	}
	if len(instants) < a.majority() {
		return time.Time{}, false
	}
	slices.SortFunc(instants, func(a, b time.Time) int { return a.Compare(b) })
	return instants[a.majority()-1], true
}

// at returns the instant from which the revision is accepted.
func (a *acceptance) at(revision winch.Revision) (time.Time, bool) {
	latest, found := a.committed.when(revision)
	if !found {
		return time.Time{}, false
	}
	latest = latest.Add(a.limits.freshness + a.limits.margin)
	if a.limits.unguarded.settled {
		return latest, true
	}
	for id := range a.centres {
		until, _, known := a.until(id, revision)
		if !known {
			return time.Time{}, false
		}
		if until.After(latest) {
			latest = until
		}
	}
	return latest, true
}

// newest returns the newest accepted revision above the given one.
func (a *acceptance) newest(now time.Time, above winch.Revision) winch.Revision {
	accepted := above
	for _, m := range a.committed.marks {
		if m.revision <= accepted {
			continue
		}
		at, known := a.at(m.revision)
		if !known || now.Before(at) {
			break
		}
		accepted = m.revision
	}
	return accepted
}

func (a *acceptance) forget(revision winch.Revision) {
	a.committed.forget(revision)
	for _, c := range a.centres {
		c.settled.forget(revision)
	}
}

// peersProof joins the newest statements of the majorities of more than half of
// the data centres.
func (a *acceptance) peersProof() (proof, bool) {
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
	joined := proof{asOf: agreed[a.majority()-1].asOf}
	for _, p := range agreed {
		joined.revision = max(joined.revision, p.revision)
	}
	return joined, true
}
