package era

import "github.com/arbutuswinch/winch"

// Events of this package.
const (
	// EventEraLearned: this host has learned of a newer era of the key-value service.
	EventEraLearned winch.EventNumber = 8501
)
