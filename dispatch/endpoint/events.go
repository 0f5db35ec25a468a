package endpoint

import "github.com/arbutuswinch/winch"

// The events of the dispatcher.
const (
	// EventRouted: a request got a slot of an endpoint.
	EventRouted winch.EventNumber = 3001
	// EventQueued: a request waits for a slot.
	EventQueued winch.EventNumber = 3002
	// EventRefused: a request was given up without having been run.
	EventRefused winch.EventNumber = 3003
	// EventPreempted: a stream was asked to leave its endpoint for a higher tier.
	EventPreempted winch.EventNumber = 3004
	// EventMoved: a stream was asked to leave an endpoint that leaves or is silent.
	EventMoved winch.EventNumber = 3005
	// EventReleased: the use of a slot ended.
	EventReleased winch.EventNumber = 3006
	// EventHandedOver: a request was handed over to another data centre.
	EventHandedOver winch.EventNumber = 3007
	// EventCancelled: the caller left while the request was queued.
	EventCancelled winch.EventNumber = 3008
	// EventEjected: an endpoint gets no work for a back-off.
	EventEjected winch.EventNumber = 3009
	// EventRestored: an ejected endpoint answered a probe and gets work again.
	EventRestored winch.EventNumber = 3010
	// EventQueueLong: a queue passed half of its length limit, or its oldest request half of its wait.
	EventQueueLong winch.EventNumber = 3011
	// EventQueueShort: a queue that was long fell to a quarter of both limits.
	EventQueueShort winch.EventNumber = 3012
	// EventEndpointsChanged: a configuration or the ordered endpoints were taken in.
	EventEndpointsChanged winch.EventNumber = 3013
	// EventRetryRefused: the retry budget did not allow another attempt.
	EventRetryRefused winch.EventNumber = 3014
	// EventLeaving: an endpoint was seen to leave; it gets no new work.
	EventLeaving winch.EventNumber = 3015
	// EventReturned: an endpoint that was leaving is ready again.
	EventReturned winch.EventNumber = 3016
)
