package engine

import "github.com/arbutuswinch/winch"

// The events of the reader.
const (
	// EventReadFailed: an endpoint's load report could not be read.
	EventReadFailed winch.EventNumber = 3101
	// EventReadAgain: the load report of an endpoint is read again.
	EventReadAgain winch.EventNumber = 3102
)
