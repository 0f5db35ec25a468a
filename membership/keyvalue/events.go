package keyvalue

import "github.com/arbutuswinch/winch"

// Events that a host registry logs.
const (
	// EventEntered: the host has registered itself.
	EventEntered winch.EventNumber = 8101
	// EventEntryFailed: the host's entry could not be created, renewed or removed.
	EventEntryFailed winch.EventNumber = 8102
	// EventEntryRegained: the host's entry could be created or renewed again after a failure.
	EventEntryRegained winch.EventNumber = 8103
	// EventEntryLeftOut: a registered entry cannot be decoded and is skipped.
	EventEntryLeftOut winch.EventNumber = 8104
)
