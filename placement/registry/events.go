package registry

import "github.com/arbutuswinch/winch"

// The events that a follower of the endpoint list logs.
const (
	// EventEndpointListed: an endpoint came, or its entry changed.
	EventEndpointListed winch.EventNumber = 7601
	// EventEndpointUnlisted: an endpoint's entry is gone.
	EventEndpointUnlisted winch.EventNumber = 7602
	// EventListFailed: the list could not be read.
	EventListFailed winch.EventNumber = 7603
	// EventListRegained: the list is read again.
	EventListRegained winch.EventNumber = 7604
)
