package audit

import (
	"time"

	"github.com/arbutuswinch/winch"
)

// serving identifies what may use the same endpoints.
type serving struct {
	centre winch.DataCentreID
	class  winch.ClassID
	group  string
}

// use is a request that is queued or runs.
type use struct {
	line    Line
	since   time.Time
	running bool
	going   bool // asked to leave
}

type useKey struct {
	host    winch.HostID
	request winch.RequestID
}

// auditor replays the merged timeline.
type auditor struct {
	settings Settings
	report   Report
	// serves tells by which endpoints each class was served anywhere in the log.
	serves map[serving]map[winch.EndpointID]bool
	uses   map[useKey]*use
	// served is when a class was last served or had nothing waiting.
	served  map[serving]time.Time
	waiting map[serving]int
	leaving map[winch.EndpointID]time.Time
	last    time.Time
}

func newAuditor(lines []Line, settings Settings) *auditor {
	a := &auditor{
		settings: settings, serves: map[serving]map[winch.EndpointID]bool{}, uses: map[useKey]*use{},
		served: map[serving]time.Time{}, waiting: map[serving]int{}, leaving: map[winch.EndpointID]time.Time{},
	}
	for i := range lines {
		if lines[i].Event != routed {
			continue
		}
		key := lines[i].serving()
		if a.serves[key] == nil {
			a.serves[key] = map[winch.EndpointID]bool{}
		}
		a.serves[key][lines[i].Endpoint] = true
	}
	return a
}

func (l *Line) serving() serving {
	return serving{centre: l.DataCentre, class: l.Class, group: l.Group}
}

func (l *Line) key() useKey { return useKey{host: l.Host, request: l.Request} }

func (a *auditor) take(l *Line) {
	a.last = l.At
	switch l.Event {
	case queued:
		a.queue(l)
	case routed, handedOver:
		a.route(l)
	case released, cancelled:
		a.end(l)
	case refused:
		a.refuse(l)
	case preempted:
		a.preempt(l)
	case moved:
		a.mark(l)
	case leaving:
		if _, found := a.leaving[l.Endpoint]; !found {
			a.leaving[l.Endpoint] = l.At
		}
	case returned:
		delete(a.leaving, l.Endpoint)
	}
}

func (a *auditor) queue(l *Line) {
	key := l.serving()
	if a.waiting[key] == 0 {
		a.served[key] = l.At
	}
	a.waiting[key]++
	a.uses[l.key()] = &use{line: *l, since: l.At}
}

// leave takes the request out of the queue.
func (a *auditor) leave(l *Line) {
	if u, found := a.uses[l.key()]; found && !u.running {
		a.waiting[u.line.serving()]--
	}
}

func (a *auditor) route(l *Line) {
	a.leave(l)
	a.starvation(l)
	a.served[l.serving()] = l.At
	a.report.Routed++
	a.uses[l.key()] = &use{line: *l, since: l.At, running: true}
	since, found := a.leaving[l.Endpoint]
	if found && l.Event == routed && l.At.Sub(since) > a.settings.Notice {
		a.violate(KindLateWork, l, 0)
	}
}

func (a *auditor) end(l *Line) {
	a.leave(l)
	delete(a.uses, l.key())
}

// starvation is judged when the class is served at last, and at the end.
func (a *auditor) starvation(l *Line) {
	key := l.serving()
	since, found := a.served[key]
	if found && a.waiting[key] > 0 && a.settings.Starvation > 0 && l.At.Sub(since) > a.settings.Starvation {
		a.violate(KindStarved, l, 0)
	}
}

func (a *auditor) refuse(l *Line) {
	a.leave(l)
	delete(a.uses, l.key())
	a.report.Refused++
	lower := 0
	if l.LowerRunning > 0 {
		lower = l.LowerRunning
	}
	if l.LowerOthersRunning > l.Waiting {
		lower += l.LowerOthersRunning
	}
	if l.Reason == string(winch.RefusedQueueFull) {
		lower += l.LowerQueued
	}
	if lower > 0 {
		a.violate(KindShedKnown, l, lower)
	}
	if lower := a.lowerTrue(l); lower > 0 {
		a.violate(KindShedTrue, l, lower)
	}
}

// lowerTrue counts the lower-tier requests on the refused one's endpoints that
// could have been given up, less the requests of its tier and above that wait for them.
func (a *auditor) lowerTrue(l *Line) int {
	endpoints, lower, waiting := a.serves[l.serving()], 0, 0
	for _, u := range a.uses {
		same := u.line.DataCentre == l.DataCentre
		switch {
		case same && !u.running && u.line.Group == l.Group && u.line.Tier <= l.Tier:
			waiting++
		case same && u.running && u.line.Tier > l.Tier && u.line.Movable && !u.line.Floor && !u.going && endpoints[u.line.Endpoint]:
			lower++
		}
	}
	return max(0, lower-waiting)
}

func (a *auditor) preempt(l *Line) {
	a.report.Preempted++
	a.mark(l)
	if l.VictimTier <= l.Tier {
		a.violate(KindPreempted, l, 0)
	}
}

func (a *auditor) mark(l *Line) {
	if u, found := a.uses[l.key()]; found {
		u.going = true
	}
}

func (a *auditor) finish() {
	for key, count := range a.waiting {
		if count > 0 && a.settings.Starvation > 0 && a.last.Sub(a.served[key]) > a.settings.Starvation {
			a.violate(KindStarved, &Line{At: a.last, DataCentre: key.centre, Class: key.class, Group: key.group}, 0)
		}
	}
}

func (a *auditor) violate(kind Kind, l *Line, lower int) {
	a.report.Violations = append(a.report.Violations, Violation{
		Kind: kind, At: l.At, Host: l.Host, Request: l.Request, Class: l.Class, Tier: l.Tier, Endpoint: l.Endpoint, Lower: lower,
	})
}
