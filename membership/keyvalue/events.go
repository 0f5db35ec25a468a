package keyvalue

import "github.com/arbutuswinch/winch"

// The events that a host registry logs.
const (
	// EventEntered: the host is entered in the list.
	EventEntered winch.EventNumber = 8101
	// EventEntryFailed: the host's entry could not be kept.
	EventEntryFailed winch.EventNumber = 8102
	// EventEntryRegained: the host's entry is kept again.
	EventEntryRegained winch.EventNumber = 8103
	// EventEntryLeftOut: an entry of the list cannot be read.
	EventEntryLeftOut winch.EventNumber = 8104
)
