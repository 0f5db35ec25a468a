package peer

import "github.com/arbutuswinch/winch"

// Events of this package.
const (
	// EventRevision: a newer revision is in force on this host.
	EventRevision winch.EventNumber = 4101
	// EventAuthority: what this host may serve has changed.
	EventAuthority winch.EventNumber = 4102
	// EventWatchFailed: the hub cannot read the record of commits.
	EventWatchFailed winch.EventNumber = 4103
	// EventWatchRestored: the hub reads the record of commits again.
	EventWatchRestored winch.EventNumber = 4104
	// EventAcceptanceFailed: an accepted revision could not be recorded; it is tried again.
	EventAcceptanceFailed winch.EventNumber = 4105
	// EventRevisionBack: the platform shows an older head than was seen before; it is ignored.
	EventRevisionBack winch.EventNumber = 4106
)
