package peer

import "github.com/arbutuswinch/winch"

// The events of membership.
const (
	// EventHubChanged: the host exchanges reports through another hub.
	EventHubChanged winch.EventNumber = 8001
	// EventPeerFailed: an exchange with a host failed.
	EventPeerFailed winch.EventNumber = 8002
	// EventHostListFailed: the platform's host list could not be read.
	EventHostListFailed winch.EventNumber = 8003
	// EventSectionFailed: a slice could not read its part of an exchange.
	EventSectionFailed winch.EventNumber = 8004
)
