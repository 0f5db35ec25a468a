package planner

import "github.com/arbutuswinch/winch"

// The events of the planner.
const (
	// EventPoolPlanned: the number of endpoints to order for a pool changed.
	EventPoolPlanned winch.EventNumber = 7501
	// EventPoolSkipped: a pool did not have the ordered endpoints in time. Its share is ordered from other pools for a while.
	EventPoolSkipped winch.EventNumber = 7502
	// EventPlanInputs: the inputs of the plans for a model, repeated at an interval also while no plan changes.
	EventPlanInputs winch.EventNumber = 7503
)
