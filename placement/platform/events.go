package platform

import "github.com/arbutuswinch/winch"

// Events of this package.
const (
	// EventOrderIntentStored: the intent of a new order was stored.
	EventOrderIntentStored winch.EventNumber = 7001
	// EventOrderAccepted: the platform accepted the order.
	EventOrderAccepted winch.EventNumber = 7002
	// EventOrderFailed: the order was not accepted, or its outcome is unknown.
	EventOrderFailed winch.EventNumber = 7003
	// EventOrderFenced: the platform rejected the order because it has seen a higher fencing number:
	// another host has replaced this one. No more orders are sent in this term.
	EventOrderFenced winch.EventNumber = 7004
	// EventIntentFailed: the intent or the outcome of an order could not be stored.
	EventIntentFailed winch.EventNumber = 7005
	// EventEndpointChanged: the state of an ordered endpoint changed.
	EventEndpointChanged winch.EventNumber = 7006
	// EventEndpointsFailed: the list of ordered endpoints could not be read.
	EventEndpointsFailed winch.EventNumber = 7007
	// EventOrderShort: the platform does not have as many endpoints available as were ordered.
	EventOrderShort winch.EventNumber = 7008
)
