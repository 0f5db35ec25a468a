package winch

import "time"

// EndpointState is the lifecycle state of an endpoint.
type EndpointState string

// The states of an endpoint, in lifecycle order.
const (
	// EndpointStarting: the endpoint was ordered and does not serve requests yet.
	EndpointStarting EndpointState = "Starting"
	// EndpointReady: the endpoint serves requests.
	EndpointReady EndpointState = "Ready"
	// EndpointLeaving: the endpoint will be removed. It gets no new requests, and its streams
	// are moved to other endpoints if that is possible.
	EndpointLeaving EndpointState = "Leaving"
	// EndpointGone: the endpoint was removed.
	EndpointGone EndpointState = "Gone"
)

// OrderedEndpoint is an endpoint that was started by an order.
type OrderedEndpoint struct {
	ID         EndpointID
	DataCentre DataCentreID
	// Address is an IP address and port.
	Address string
	Pool    PoolID
	Model   ModelID
	Supply  Supply
	// Software is the version of the endpoint's software; empty if the platform does not tell it.
	Software SoftwareVersion
	State    EndpointState
	// LeavesAt is when the endpoint will be removed. It is set only in state EndpointLeaving, and
	// only if the time is known.
	LeavesAt time.Time
}

// PoolOrder is the desired state of one pool.
type PoolOrder struct {
	Pool    PoolID
	Model   ModelID
	Adapter AdapterID
	Version ModelVersion
	Supply  Supply
	// Count is the desired number of endpoints.
	Count int
}

// PlacementOrder is an order with the desired state of pools of one data centre.
type PlacementOrder struct {
	ID         OrderID
	Number     FencingNumber
	Holder     HostID
	DataCentre DataCentreID
	Pools      []PoolOrder
}

// OrderProtocol encodes orders in the format of the receiver: one call, or one call per pool.
type OrderProtocol interface {
	Encode(order PlacementOrder) ([]FencedCall, error)
}

// PlacementPlanner decides how many endpoints to order.
type PlacementPlanner interface {
	// Plan returns the desired state of the data centre's pools. Pools that it leaves out are not
	// changed; it returns nil when it cannot decide. It must not block.
	Plan(now time.Time, centre DataCentreID, running []OrderedEndpoint) []PoolOrder
}

// OrderedEndpoints provides the list of ordered endpoints of this data centre.
type OrderedEndpoints interface {
	// Current returns the newest list, sorted by ID, or nil when none was received yet.
	// It must not be modified.
	Current() []OrderedEndpoint
	// Changed returns a channel that is closed when the list changes next.
	Changed() <-chan struct{}
}

// EngineLoad is a model that an engine is ordered to load. It is not the engine's load in the
// sense of EndpointLoad.
type EngineLoad struct {
	Model   ModelID
	Adapter AdapterID
	Version ModelVersion
}

// EngineOrder is the desired state of one engine.
type EngineOrder struct {
	Endpoint EndpointID
	// Address is an IP address and port.
	Address string
	Load    []EngineLoad
	// Role is the desired role; empty leaves it unchanged.
	Role string
}

// EnginePlanner decides which models the engines of a data centre load.
type EnginePlanner interface {
	// PlanEngines returns the desired state of the engines that need an order, most
	// urgent first. It must not block.
	PlanEngines(now time.Time, centre DataCentreID) []EngineOrder
}
