package peer

import "github.com/arbutuswinch/winch"

// Event numbers of the log lines of this package.
const (
	// EventCountsStored: collected counts were written to the key-value service.
	EventCountsStored winch.EventNumber = 6001
	// EventCountsNotStored: collected counts could not be written; they are kept and written
	// again later.
	EventCountsNotStored winch.EventNumber = 6002
	// EventCountsDropped: counts were discarded because they could not be stored within the
	// retention.
	EventCountsDropped winch.EventNumber = 6003
	// EventCountsStoredAgain: a new era of the key-value service has begun, and all counts that this host holds are stored again.
	EventCountsStoredAgain winch.EventNumber = 6004
)
