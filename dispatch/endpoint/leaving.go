package endpoint

import (
	"time"

	"github.com/arbutuswinch/winch"
)

// applyReportedState records the state that the endpoint reports about itself. It is kept
// separately from the state given by the platform or the configuration, so that a change of either
// does not reset it.
func (c *core) applyReportedState(now time.Time, e *endpoint, report winch.LoadReport) {
	if report.AsOf.Before(e.reportedStateAt) {
		return
	}
	e.reportedStateAt = report.AsOf
	if report.State == winch.EndpointLeaving && e.reportedState != winch.EndpointLeaving {
		e.moveStreamsAt = now.Add(defaultLeaveNotice)
	}
	e.reportedState = report.State
	c.setServing(now, e)
}

// defaultLeaveNotice is how long streams may continue on an endpoint that reports that it is leaving,
// but not when. After that they are moved.
const defaultLeaveNotice = time.Second

// setServing determines whether the endpoint gets requests, and emits an effect when it starts or stops leaving.
func (c *core) setServing(now time.Time, e *endpoint) {
	leaving := e.state == winch.EndpointLeaving || e.reportedState == winch.EndpointLeaving || e.saysLeaving
	if leaving != e.leaving {
		kind := effectLeaving
		if !leaving {
			kind = effectReturned
			e.rampSince = now
		}
		c.emit(effect{kind: kind, at: now, endpoint: e})
	}
	wasServing := e.serving
	e.leaving, e.serving = leaving, !leaving && !e.evacuated && e.state == winch.EndpointReady
	if e.serving && !wasServing {
		e.cold.returned(now)
	}
	c.checkLeaving(now, e)
}

// checkLeaving moves the streams of a leaving endpoint shortly before it leaves.
func (c *core) checkLeaving(now time.Time, e *endpoint) {
	scheduled := e.state == winch.EndpointLeaving && !e.leavesAt.IsZero() && e.leavesAt.Sub(now) <= c.settings.LeaveMargin
	reported := e.reportedState == winch.EndpointLeaving && e.state != winch.EndpointLeaving && !now.Before(e.moveStreamsAt)
	if scheduled || reported {
		c.moveStreams(now, e)
	}
}
