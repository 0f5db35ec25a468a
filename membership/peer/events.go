package peer

import "github.com/arbutuswinch/winch"

// Events that an Exchange logs.
const (
	// EventHubChanged: this host now reports to another hub or head of its group.
	EventHubChanged winch.EventNumber = 8001
	// EventPeerFailed: a call to another host failed.
	EventPeerFailed winch.EventNumber = 8002
	// EventHostListFailed: the host list could not be read.
	EventHostListFailed winch.EventNumber = 8003
	// EventSectionFailed: a component could not process its section of an exchange.
	EventSectionFailed winch.EventNumber = 8004
	// EventRelaysReports: this host has become the hub or the head of a group, or is neither any more.
	EventRelaysReports winch.EventNumber = 8005
)
