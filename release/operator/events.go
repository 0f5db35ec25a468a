package operator

import "github.com/arbutuswinch/winch"

// Events of this package.
const (
	// EventNote: an operator's note was committed.
	EventNote winch.EventNumber = 4201
	// EventNoteFailed: an operator's note could not be committed.
	EventNoteFailed winch.EventNumber = 4202
)
