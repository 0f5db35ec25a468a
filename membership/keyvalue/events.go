package keyvalue

import "github.com/arbutuswinch/winch"

// Events that a host registry logs.
const (
	// EventRegistered: the host has registered itself.
	EventRegistered winch.EventNumber = 8101
	// EventEntryFailed: the host's entry could not be created, renewed or removed.
	EventEntryFailed winch.EventNumber = 8102
	// EventEntryRestored: the host's entry could be created or renewed again after a failure.
	EventEntryRestored winch.EventNumber = 8103
	// EventEntrySkipped: a registered entry cannot be decoded and is skipped.
	EventEntrySkipped winch.EventNumber = 8104
)
