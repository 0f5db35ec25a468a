package engine

import "github.com/arbutuswinch/winch"

// The events of the reader.
const (
	// EventReadFailed: an endpoint's load report or cache events could not be read, or no client for the endpoint could be created.
	EventReadFailed winch.EventNumber = 3101
	// EventReadRecovered: an endpoint can be read again.
	EventReadRecovered winch.EventNumber = 3102
)
