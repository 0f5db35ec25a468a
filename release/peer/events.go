package peer

import "github.com/arbutuswinch/winch"

// Events of this package.
const (
	// EventRevisionInForce: a newer revision is in force on this host.
	EventRevisionInForce winch.EventNumber = 4101
	// EventAuthorityChanged: the authority of this host, which limits what it may serve, has changed.
	EventAuthorityChanged winch.EventNumber = 4102
	// EventWatchFailed: the hub cannot read the release log.
	EventWatchFailed winch.EventNumber = 4103
	// EventWatchRestored: the hub can read the release log again.
	EventWatchRestored winch.EventNumber = 4104
	// EventAcceptanceFailed: recording an accepted revision failed; it is retried.
	EventAcceptanceFailed winch.EventNumber = 4105
	// EventStaleHead: the platform returned a head that is older than this host's
	// configuration; the configuration stays.
	EventStaleHead winch.EventNumber = 4106
)
