package peer

import "github.com/arbutuswinch/winch"

// Events of this package.
const (
	// EventCountsStored: collected counts were written to the key-value service.
	EventCountsStored winch.EventNumber = 6001
	// EventCountsNotStored: collected counts could not be written; they are kept and tried again.
	EventCountsNotStored winch.EventNumber = 6002
	// EventCountsDropped: counts were given up since they could not be stored within the retention.
	EventCountsDropped winch.EventNumber = 6003
)
