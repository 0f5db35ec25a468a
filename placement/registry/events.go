package registry

import "github.com/arbutuswinch/winch"

// The events that a follower of the endpoint list logs.
const (
	// EventEndpointListed: an endpoint was added to the list, or its entry changed.
	EventEndpointListed winch.EventNumber = 7601
	// EventEndpointUnlisted: an endpoint was removed from the list.
	EventEndpointUnlisted winch.EventNumber = 7602
	// EventListFailed: the list could not be read, or not be encoded for another host.
	EventListFailed winch.EventNumber = 7603
	// EventListRecovered: the list can be read again.
	EventListRecovered winch.EventNumber = 7604
	// EventRelayStale: the list that the hub relays is too old, so that this host reads it itself.
	EventRelayStale winch.EventNumber = 7605
	// EventRelayRecovered: the list that the hub relays replaces this host's reads again.
	EventRelayRecovered winch.EventNumber = 7606
	// EventEvacuationRequested: an operator asks that a data centre gets no more requests.
	EventEvacuationRequested winch.EventNumber = 7607
	// EventEvacuationWithdrawn: a data centre is no longer evacuated.
	EventEvacuationWithdrawn winch.EventNumber = 7608
)
