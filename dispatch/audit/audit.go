// Package audit reads the dispatchers' log lines of all hosts and finds decisions
// that broke a rule: a higher tier refused or moved while lower tiers held what it
// needed, a class that starved, and work given to an endpoint that was leaving.
//
// Shedding is judged twice: by what the deciding host recorded that it knew, and
// by the merged lines of all hosts, which tell what was true. The first kind is a
// fault of the policy; the second kind also counts what reports between hosts came too late for.
//
// # Usage
//
//	lines, err := audit.Read(logOfHost1, logOfHost2)
//	if err != nil {
//		return err
//	}
//	report := audit.Check(lines, audit.Settings{Notice: 3 * time.Second, Starvation: time.Minute})
//	for _, violation := range report.Violations {
//		fmt.Println(violation)
//	}
//
// Notice and Starvation are durations. Read ignores lines without an event
// number; other lines that cannot be read are errors that match winch.ErrInvalid.
package audit

import (
	"fmt"
	"sort"
	"time"

	"github.com/arbutuswinch/winch"
)

// Kind names a rule that was broken.
type Kind string

// The rules.
const (
	// KindShedKnown: refused although the host knew of lower-tier work that could be given up.
	KindShedKnown Kind = "ShedKnown"
	// KindShedTrue: refused although lower-tier work that could be given up ran, known or not.
	KindShedTrue Kind = "ShedTrue"
	// KindPreempted: preempted for a tier that is not higher.
	KindPreempted Kind = "Preempted"
	// KindStarved: a class had requests waiting for long while none of it was served.
	KindStarved Kind = "Starved"
	// KindLateWork: work was given to an endpoint that had been leaving for longer than the notice.
	KindLateWork Kind = "LateWork"
)

// Violation is a decision that broke a rule.
type Violation struct {
	Kind     Kind
	At       time.Time
	Host     winch.HostID
	Request  winch.RequestID
	Class    winch.ClassID
	Tier     winch.Tier
	Endpoint winch.EndpointID
	// Lower counts the work of lower tiers that could have been given up.
	Lower int
}

// String returns the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s %s host %s request %s class %s tier %d endpoint %s lower %d",
		v.At.Format(time.RFC3339Nano), v.Kind, v.Host, v.Request, v.Class, v.Tier, v.Endpoint, v.Lower)
}

// Settings bound what is tolerated.
type Settings struct {
	// Notice is how long after an endpoint was first seen to leave work may still reach it.
	Notice time.Duration
	// Starvation is the time for which a class may wait without any of it being served.
	Starvation time.Duration
}

// Report is the outcome of an audit.
type Report struct {
	Routed     int
	Refused    int
	Preempted  int
	Violations []Violation
}

// Count returns the number of violations of the kind.
func (r Report) Count(kind Kind) int {
	count := 0
	for _, violation := range r.Violations {
		if violation.Kind == kind {
			count++
		}
	}
	return count
}

// Check replays the lines in the order of their instants.
func Check(lines []Line, settings Settings) Report {
	ordered := append([]Line(nil), lines...)
	sort.SliceStable(ordered, func(i, j int) bool { return ordered[i].At.Before(ordered[j].At) })
	a := newAuditor(ordered, settings)
	for i := range ordered {
		a.take(&ordered[i])
	}
	a.finish()
	return a.report
}
