package endpoint

import (
	"time"

	"github.com/arbutuswinch/winch"
)

// applyReportedState takes in what the endpoint's report says of its own state. That stands beside
// what the platform or the configuration says, and no change of those undoes it.
func (c *core) applyReportedState(now time.Time, e *endpoint, report winch.LoadReport) {
	if report.AsOf.Before(e.reportedStateAt) {
		return
	}
	e.reportedStateAt = report.AsOf
	if report.State == winch.EndpointLeaving && e.reportedState != winch.EndpointLeaving {
		e.moveStreamsAt = now.Add(unknownNotice)
	}
	e.reportedState = report.State
	c.setServing(now, e)
}

// unknownNotice is how long the streams of an endpoint that says it leaves, but not when, may end by themselves.
const unknownNotice = time.Second

// setServing settles whether the endpoint gets work, and tells when that changes.
func (c *core) setServing(now time.Time, e *endpoint) {
	leaving := e.state == winch.EndpointLeaving || e.reportedState == winch.EndpointLeaving
	if leaving != e.leaving {
		kind := effectLeaving
		if !leaving {
			kind = effectReturned
			e.rampSince = now
		}
		c.emit(effect{kind: kind, at: now, endpoint: e})
	}
	e.leaving, e.serving = leaving, !leaving && e.state == winch.EndpointReady
	c.checkLeaving(now, e)
}

// checkLeaving moves the streams of a leaving endpoint when its end is near.
func (c *core) checkLeaving(now time.Time, e *endpoint) {
	ordered := e.state == winch.EndpointLeaving && !e.leavesAt.IsZero() && e.leavesAt.Sub(now) <= c.settings.LeaveMargin
	said := e.reportedState == winch.EndpointLeaving && e.state != winch.EndpointLeaving && !now.Before(e.moveStreamsAt)
	if ordered || said {
		c.moveStreams(now, e)
	}
}
