package logs

import "github.com/arbutuswinch/winch"

// The events of the log itself.
const (
	// EventLinesDropped: log lines were dropped because the output was too slow.
	EventLinesDropped winch.EventNumber = 1201
)
