package planner

import "github.com/arbutuswinch/winch"

// The events of the planner.
const (
	// EventPoolPlanned: the number of endpoints to order for a pool changed.
	EventPoolPlanned winch.EventNumber = 7501
	// EventPoolPassedOver: a pool did not deliver in time; others take its part for a while.
	EventPoolPassedOver winch.EventNumber = 7502
)
