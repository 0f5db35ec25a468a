package peer

import "github.com/arbutuswinch/winch"

// Event numbers of the log lines of this package; docs/EVENTS.md describes them.
const (
	// EventOriginSought: another host was asked for the origin of a stream, or the decision was made without.
	EventOriginSought winch.EventNumber = 2501
	// EventOriginUntold: a host could not be told the origins of streams.
	EventOriginUntold winch.EventNumber = 2502
	// EventHistoryFailed: the history of software versions could not be loaded or saved.
	EventHistoryFailed winch.EventNumber = 2503
)
