package engine

import "github.com/arbutuswinch/winch"

// Events of this package.
const (
	// EventEngineOrdered: an engine took its order.
	EventEngineOrdered winch.EventNumber = 7101
	// EventEngineOrderFailed: an engine did not take its order, or the outcome is unknown; it is planned anew.
	EventEngineOrderFailed winch.EventNumber = 7102
	// EventEngineOrderFenced: an engine has seen a higher fencing number; this term orders nothing more.
	EventEngineOrderFenced winch.EventNumber = 7103
	// EventWeightsLimited: the weight store's rate is used up; orders wait.
	EventWeightsLimited winch.EventNumber = 7104
	// EventEngineIntentFailed: the intent of an order could not be kept.
	EventEngineIntentFailed winch.EventNumber = 7105
)
