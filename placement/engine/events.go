package engine

import "github.com/arbutuswinch/winch"

// The events of engine orders.
const (
	// EventEngineOrderAccepted: an engine accepted an order.
	EventEngineOrderAccepted winch.EventNumber = 7101
	// EventEngineOrderFailed: an engine did not accept an order, or its outcome is unknown.
	EventEngineOrderFailed winch.EventNumber = 7102
	// EventWeightsLimited: the weight store limited the rate of model loads.
	EventWeightsLimited winch.EventNumber = 7103
)
