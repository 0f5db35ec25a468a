package operator

import "github.com/arbutuswinch/winch"

// Events of this package.
const (
	// EventNote: an operator's note is committed, by this request or by an earlier one.
	EventNote winch.EventNumber = 4201
	// EventNoteFailed: committing an operator's note failed. The note may be committed if
	// the error says that the outcome is unknown.
	EventNoteFailed winch.EventNumber = 4202
)
