package operator

import "github.com/arbutuswinch/winch"

// Events of this package.
const (
	// EventNote: an operator applied a note.
	EventNote winch.EventNumber = 4201
	// EventNoteFailed: a note of an operator was not applied.
	EventNoteFailed winch.EventNumber = 4202
)
