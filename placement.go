package winch

import "time"

// EndpointState is the state of an endpoint that was ordered.
type EndpointState string

// The states of ordered endpoints, in their order.
const (
	EndpointStarting EndpointState = "Starting"
	EndpointReady    EndpointState = "Ready"
	EndpointLeaving  EndpointState = "Leaving"
	EndpointGone     EndpointState = "Gone"
)

// OrderedEndpoint is an endpoint that runs because of an order.
type OrderedEndpoint struct {
	ID         EndpointID
	DataCentre DataCentreID
	// Address is an IP number and port.
	Address string
	Pool    PoolID
	Model   ModelID
	Supply  Supply
	State   EndpointState
	// LeavesAt is when a leaving endpoint is taken away; else it is zero.
	LeavesAt time.Time
}

// PoolOrder states the wanted end for one pool.
type PoolOrder struct {
	Pool    PoolID
	Model   ModelID
	Adapter AdapterID
	Version ModelVersion
	Supply  Supply
	// Count is the number of endpoints that shall run.
	Count int
}

// PlacementPlanner decides which endpoints to order.
type PlacementPlanner interface {
	// Plan returns the wanted end for the pools of the data centre, or nothing when it can't
	// tell. Pools that it leaves out stay as they are. It must not block.
	Plan(now time.Time, centre DataCentreID, running []OrderedEndpoint) []PoolOrder
}

// OrderedEndpoints tells which endpoints of this data centre were ordered.
type OrderedEndpoints interface {
	// Current returns the newest list, sorted by id, or nil when none was learnt yet.
	// It must not be modified.
	Current() []OrderedEndpoint
	// Changed returns a channel that is closed at the next change of the list.
	Changed() <-chan struct{}
}

// EngineLoad is a model that an engine shall have loaded.
type EngineLoad struct {
	Model   ModelID
	Adapter AdapterID
	Version ModelVersion
}

// EngineOrder states the wanted end for one engine.
type EngineOrder struct {
	Endpoint EndpointID
	// Address is an IP number and port.
	Address string
	Load    []EngineLoad
	// Role is empty to leave it as it is.
	Role string
}

// EnginePlanner decides what the engines of a data centre load.
type EnginePlanner interface {
	// PlanEngines returns the wanted end for engines that need an order, most
	// urgent first. It must not block.
	PlanEngines(now time.Time, centre DataCentreID) []EngineOrder
}
