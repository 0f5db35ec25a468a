package audit

import (
	"time"

	"github.com/arbutuswinch/winch"
)

// queueKey identifies a class's queue for a group (model or route) in a data centre.
type queueKey struct {
	dataCentre winch.DataCentreID
	class      winch.ClassID
	group      string
}

// openRequest is a queued or running request.
type openRequest struct {
	line    Line // the last line that queued or routed it
	since   time.Time
	running bool
	moving  bool // asked to leave its endpoint
}

type requestKey struct {
	host    winch.HostID
	request winch.RequestID
}

// auditor holds the state of a replay of the merged logs.
type auditor struct {
	settings Settings
	report   Report
	// endpoints holds the endpoints that served each class at any time in the logs.
	endpoints map[queueKey]map[winch.EndpointID]bool
	requests  map[requestKey]*openRequest
	// lastServed is when a class was last served, or when its queue was last empty if that is later.
	lastServed   map[queueKey]time.Time
	queuedCount  map[queueKey]int
	leavingSince map[winch.EndpointID]time.Time
	lastLine     time.Time
}

func newAuditor(lines []Line, settings Settings) *auditor {
	a := &auditor{
		settings: settings, endpoints: map[queueKey]map[winch.EndpointID]bool{}, requests: map[requestKey]*openRequest{},
		lastServed: map[queueKey]time.Time{}, queuedCount: map[queueKey]int{}, leavingSince: map[winch.EndpointID]time.Time{},
	}
	for i := range lines {
		if lines[i].Event != eventRouted {
			continue
		}
		key := lines[i].queueKey()
		if a.endpoints[key] == nil {
			a.endpoints[key] = map[winch.EndpointID]bool{}
		}
		a.endpoints[key][lines[i].Endpoint] = true
	}
	return a
}

func (l *Line) queueKey() queueKey {
	return queueKey{dataCentre: l.DataCentre, class: l.Class, group: l.Group}
}

func (l *Line) requestKey() requestKey { return requestKey{host: l.Host, request: l.Request} }

func (a *auditor) apply(l *Line) {
	a.lastLine = l.At
	switch l.Event {
	case eventQueued:
		a.queue(l)
	case eventRouted, eventHandedOver:
		a.route(l)
	case eventReleased, eventCancelled:
		a.end(l)
	case eventRefused:
		a.refuse(l)
	case eventPreempted:
		a.preempt(l)
	case eventMoved:
		a.markMoving(l)
	case eventEndpointLeaving:
		if _, found := a.leavingSince[l.Endpoint]; !found {
			a.leavingSince[l.Endpoint] = l.At
		}
	case eventEndpointReturned:
		delete(a.leavingSince, l.Endpoint)
	}
}

func (a *auditor) queue(l *Line) {
	key := l.queueKey()
	if a.queuedCount[key] == 0 {
		a.lastServed[key] = l.At
	}
	a.queuedCount[key]++
	a.requests[l.requestKey()] = &openRequest{line: *l, since: l.At}
}

// dequeue updates the count of queued requests if the request was queued.
func (a *auditor) dequeue(l *Line) {
	if request, found := a.requests[l.requestKey()]; found && !request.running {
		a.queuedCount[request.line.queueKey()]--
	}
}

func (a *auditor) route(l *Line) {
	a.dequeue(l)
	a.checkStarvation(l)
	a.lastServed[l.queueKey()] = l.At
	a.report.Routed++
	a.requests[l.requestKey()] = &openRequest{line: *l, since: l.At, running: true}
	since, found := a.leavingSince[l.Endpoint]
	if found && l.Event == eventRouted && l.At.Sub(since) > a.settings.LeavingGrace {
		a.addViolation(KindSentToLeaving, l, 0)
	}
}

func (a *auditor) end(l *Line) {
	a.dequeue(l)
	delete(a.requests, l.requestKey())
}

// checkStarvation is called when a request of a class is served. It adds a violation if other
// requests of the class are still queued and the class had not been served for too long. Classes
// that are not served again are checked by finish.
func (a *auditor) checkStarvation(l *Line) {
	key := l.queueKey()
	since, found := a.lastServed[key]
	if found && a.queuedCount[key] > 0 && a.settings.StarvationLimit > 0 && l.At.Sub(since) > a.settings.StarvationLimit {
		a.addViolation(KindStarved, l, 0)
	}
}

func (a *auditor) refuse(l *Line) {
	a.dequeue(l)
	delete(a.requests, l.requestKey())
	a.report.Refused++
	lower := 0
	// A malformed line may have a negative count.
	if l.LowerRunning > 0 {
		lower = l.LowerRunning
	}
	// The requests that already waited in this tier and above get the slots of other hosts first, so
	// those count only if there were more. The dispatcher uses the same condition.
	if l.LowerOthersRunning > l.Waiting {
		lower += l.LowerOthersRunning
	}
	if l.Reason == string(winch.RefusedQueueFull) {
		lower += l.LowerQueued
	}
	if lower > 0 {
		a.addViolation(KindKnownAvoidableRefusal, l, lower)
	}
	if lower := a.preemptable(l); lower > 0 {
		a.addViolation(KindAvoidableRefusal, l, lower)
	}
}

// preemptable counts the lower-tier requests that could have been preempted on the endpoints
// of the refused request, minus the queued requests of its tier and above.
func (a *auditor) preemptable(l *Line) int {
	endpoints, lower, waiting := a.endpoints[l.queueKey()], 0, 0
	for _, request := range a.requests {
		sameCentre := request.line.DataCentre == l.DataCentre
		switch {
		case sameCentre && !request.running && request.line.Group == l.Group && request.line.Tier <= l.Tier:
			waiting++
		case sameCentre && request.running && request.line.Tier > l.Tier && request.line.Movable && !request.line.Floor && !request.moving && endpoints[request.line.Endpoint]:
			lower++
		}
	}
	return max(0, lower-waiting)
}

func (a *auditor) preempt(l *Line) {
	a.report.Preempted++
	a.markMoving(l)
	if l.VictimTier <= l.Tier {
		a.addViolation(KindInvalidPreemption, l, 0)
	}
}

func (a *auditor) markMoving(l *Line) {
	if request, found := a.requests[l.requestKey()]; found {
		request.moving = true
	}
}

// finish adds a violation for each class that had queued requests at the end and was not served for too long.
func (a *auditor) finish() {
	for key, count := range a.queuedCount {
		if count > 0 && a.settings.StarvationLimit > 0 && a.lastLine.Sub(a.lastServed[key]) > a.settings.StarvationLimit {
			a.addViolation(KindStarved, &Line{At: a.lastLine, DataCentre: key.dataCentre, Class: key.class, Group: key.group}, 0)
		}
	}
}

func (a *auditor) addViolation(kind Kind, l *Line, lower int) {
	a.report.Violations = append(a.report.Violations, Violation{
		Kind: kind, At: l.At, Host: l.Host, Request: l.Request, Class: l.Class, Tier: l.Tier, Endpoint: l.Endpoint, Lower: lower,
	})
}
