package operator

import "github.com/arbutuswinch/winch"

// Events of this package.
const (
	// EventNoteCommitted: an operator's note is committed, by this request or by an earlier one.
	EventNoteCommitted winch.EventNumber = 4201
	// EventNoteFailed: committing an operator's note failed. The note may be committed if
	// the error says that the outcome is unknown.
	EventNoteFailed winch.EventNumber = 4202
)
