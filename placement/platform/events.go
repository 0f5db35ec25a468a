package platform

import "github.com/arbutuswinch/winch"

// Events of this package.
const (
	// EventOrderIntended: an order was decided and its intent is kept.
	EventOrderIntended winch.EventNumber = 7001
	// EventOrderAnswered: the platform took the order.
	EventOrderAnswered winch.EventNumber = 7002
	// EventOrderFailed: the order was not taken, or its outcome is unknown.
	EventOrderFailed winch.EventNumber = 7003
	// EventOrderFenced: the platform has seen a higher fencing number; this term orders nothing more.
	EventOrderFenced winch.EventNumber = 7004
	// EventIntentFailed: the intent or the outcome of an order could not be kept.
	EventIntentFailed winch.EventNumber = 7005
	// EventEndpointChanged: an ordered endpoint changed its state.
	EventEndpointChanged winch.EventNumber = 7006
	// EventEndpointsFailed: the list of ordered endpoints could not be read.
	EventEndpointsFailed winch.EventNumber = 7007
	// EventOrderShort: the platform has not as many endpoints as were ordered.
	EventOrderShort winch.EventNumber = 7008
)
