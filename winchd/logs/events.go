package logs

import "github.com/arbutuswinch/winch"

// The events of the log itself.
const (
	// EventLinesDropped: lines were dropped, since the log was not written fast enough.
	EventLinesDropped winch.EventNumber = 1201
)
