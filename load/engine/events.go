package engine

import "github.com/arbutuswinch/winch"

// The events of the reader.
const (
	// EventReadFailed: an endpoint's load report could not be read.
	EventReadFailed winch.EventNumber = 3101
	// EventReadAgain: an endpoint's load report can be read again.
	EventReadAgain winch.EventNumber = 3102
)
