package peer

import "github.com/arbutuswinch/winch"

// Events that an Exchange logs.
const (
	// EventHubChanged: this host now exchanges reports with another hub.
	EventHubChanged winch.EventNumber = 8001
	// EventPeerFailed: a call to another host failed.
	EventPeerFailed winch.EventNumber = 8002
	// EventHostListFailed: the host list could not be read.
	EventHostListFailed winch.EventNumber = 8003
	// EventSectionFailed: a component could not process its section of an exchange.
	EventSectionFailed winch.EventNumber = 8004
)
