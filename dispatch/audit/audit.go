// Package audit replays the dispatchers' logs of all hosts and reports decisions
// that violated a rule: refusing a request although lower-tier work could have been
// preempted, preempting work for a tier that is not higher, starving a class, and
// sending requests to an endpoint that was leaving.
//
// Refusals are checked twice: against the lower-tier work that the deciding host
// logged as known to it, and against the merged logs of all hosts, which show what
// was really running. A violation of the first kind is a fault of the policy. The
// second kind also occurs when statistics from other hosts arrived too late.
//
// # Usage
//
//	lines, err := audit.Read(logOfHost1, logOfHost2)
//	if err != nil {
//		return err
//	}
//	report := audit.Check(lines, audit.Settings{LeavingGrace: 3 * time.Second, StarvationLimit: time.Minute})
//	for _, violation := range report.Violations {
//		fmt.Println(violation)
//	}
//
// Read skips lines without an event number. A malformed line with one is an error
// that matches winch.ErrInvalid.
package audit

import (
	"fmt"
	"sort"
	"time"

	"github.com/arbutuswinch/winch"
)

// Kind names the rule that a decision violated.
type Kind string

// The rules.
const (
	// KindKnownAvoidableRefusal: a request was refused although the host knew of lower-tier work that could
	// be preempted or evicted.
	KindKnownAvoidableRefusal Kind = "ShedKnown"
	// KindAvoidableRefusal: a request was refused although preemptable lower-tier work was running,
	// whether the host knew of it or not.
	KindAvoidableRefusal Kind = "ShedTrue"
	// KindInvalidPreemption: a request was preempted for a tier that is not higher.
	KindInvalidPreemption Kind = "Preempted"
	// KindStarved: a class had queued requests for longer than Settings.StarvationLimit while none
	// of its requests was served.
	KindStarved Kind = "Starved"
	// KindSentToLeaving: a request was sent to an endpoint that had been leaving for longer than Settings.LeavingGrace.
	KindSentToLeaving Kind = "LateWork"
)

// Violation is a decision that violated a rule.
type Violation struct {
	Kind     Kind
	At       time.Time
	Host     winch.HostID
	Request  winch.RequestID
	Class    winch.ClassID
	Tier     winch.Tier
	Endpoint winch.EndpointID
	// Lower counts the lower-tier requests that could have been preempted or evicted.
	Lower int
}

// String formats the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s %s host %s request %s class %s tier %d endpoint %s lower %d",
		v.At.Format(time.RFC3339Nano), v.Kind, v.Host, v.Request, v.Class, v.Tier, v.Endpoint, v.Lower)
}

// Settings holds the tolerances of the audit.
type Settings struct {
	// LeavingGrace is how long requests may still be sent to an endpoint after the first log line
	// that says it is leaving.
	LeavingGrace time.Duration
	// StarvationLimit is how long a class with queued requests may go without being served. Zero disables the check.
	StarvationLimit time.Duration
}

// Report holds the results of an audit.
type Report struct {
	// Routed counts the requests that were given a slot or handed over to another data centre, once for
	// each attempt.
	Routed int
	// Refused counts the refusals.
	Refused int
	// Preempted counts the requests that were asked to leave their endpoint for another tier.
	Preempted  int
	Violations []Violation
}

// Count returns the number of violations of the given kind.
func (r Report) Count(kind Kind) int {
	count := 0
	for _, violation := range r.Violations {
		if violation.Kind == kind {
			count++
		}
	}
	return count
}

// Check replays the lines in the order of their timestamps and returns the violations.
func Check(lines []Line, settings Settings) Report {
	ordered := append([]Line(nil), lines...)
	sort.SliceStable(ordered, func(i, j int) bool { return ordered[i].At.Before(ordered[j].At) })
	a := newAuditor(ordered, settings)
	for i := range ordered {
		a.apply(&ordered[i])
	}
	a.finish()
	return a.report
}
