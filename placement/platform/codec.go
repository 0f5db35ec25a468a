package platform

import (
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"github.com/arbutuswinch/winch"
)

type wirePool struct {
	Pool    string
	Model   string
	Adapter string
	Version string
	Supply  string
	Count   int
}

type orderCall struct {
	OrderID       string
	FencingNumber int64
	Holder        string
	Pools         []wirePool
}

// wireEndpoint is an endpoint in the platform's response, where states and supplies have the
// platform's names, or in a summary between hosts, where they have the names of package winch.
type wireEndpoint struct {
	ID       string
	Address  string
	Pool     string
	Model    string
	Supply   string
	Software string `json:",omitempty"`
	State    string
	LeavesAt *time.Time
}

type endpointsResponse struct{ Endpoints []wireEndpoint }

type wireIntent struct {
	OrderID       string
	FencingNumber int64
	Holder        string
	Incarnation   string
	WriteID       string
	Pools         []wirePool
	Outcome       string
}

// wireSummary is the list of endpoints, or the changes since an older list. Base is the
// hash of that older list, or zero when Changed is the whole list. Hash is that of the
// resulting list; the receiver does not check it.
type wireSummary struct {
	Hash    uint64
	Base    uint64
	Changed []wireEndpoint
	Removed []string
}

type wireReport struct{ Hash uint64 }

// platformStates maps the platform's names of endpoint states.
var platformStates = map[string]winch.EndpointState{
	"starting": winch.EndpointStarting,
	"ready":    winch.EndpointReady,
	"leaving":  winch.EndpointLeaving,
	"gone":     winch.EndpointGone,
}

// platformSupplies maps the platform's names of supplies, in either spelling. An unknown
// supply becomes empty, which the planner counts as steady.
var platformSupplies = map[string]winch.Supply{
	"steady": winch.SupplySteady, "Steady": winch.SupplySteady,
	"cheap": winch.SupplyCheap, "Cheap": winch.SupplyCheap,
}

func encodePools(pools []winch.PoolOrder) []wirePool {
	encoded := make([]wirePool, 0, len(pools))
	for _, pool := range pools {
		encoded = append(encoded, wirePool{
			Pool:    string(pool.Pool),
			Model:   string(pool.Model),
			Adapter: string(pool.Adapter),
			Version: string(pool.Version),
			Supply:  string(pool.Supply),
			Count:   pool.Count,
		})
	}
	return encoded
}

// NativeProtocol implements winch.OrderProtocol with the protocol of this project: one call states
// the desired number of endpoints of all pools of a data centre.
type NativeProtocol struct {
	// Address is the IP address and port of the platform's interface for orders.
	Address string
}

var _ winch.OrderProtocol = NativeProtocol{}

// Encode returns the call that sends the order.
func (o NativeProtocol) Encode(order winch.PlacementOrder) ([]winch.FencedCall, error) {
	encoded, err := json.Marshal(orderCall{
		OrderID:       string(order.ID),
		FencingNumber: int64(order.Number),
		Holder:        string(order.Holder),
		Pools:         encodePools(order.Pools),
	})
	if err != nil {
		return nil, fmt.Errorf("encode order: %w", err)
	}
	return []winch.FencedCall{{
		Address: o.Address, Path: "/v1/datacentres/" + url.PathEscape(string(order.DataCentre)) + "/orders",
		Body: encoded, Number: order.Number,
	}}, nil
}

func encodeEndpoint(endpoint winch.OrderedEndpoint) wireEndpoint {
	encoded := wireEndpoint{
		ID:      string(endpoint.ID),
		Address: endpoint.Address,
		Pool:    string(endpoint.Pool),
		Model:   string(endpoint.Model),
		Supply:  string(endpoint.Supply), Software: string(endpoint.Software),
		State: string(endpoint.State),
	}
	if !endpoint.LeavesAt.IsZero() {
		leaves := endpoint.LeavesAt
		encoded.LeavesAt = &leaves
	}
	return encoded
}

func decodeEndpoint(wire wireEndpoint, centre winch.DataCentreID) winch.OrderedEndpoint {
	decoded := winch.OrderedEndpoint{
		ID:         winch.EndpointID(wire.ID),
		DataCentre: centre,
		Address:    wire.Address,
		Pool:       winch.PoolID(wire.Pool),
		Model:      winch.ModelID(wire.Model),
		Supply:     winch.Supply(wire.Supply), Software: winch.SoftwareVersion(wire.Software),
		State: winch.EndpointState(wire.State),
	}
	if wire.LeavesAt != nil {
		decoded.LeavesAt = *wire.LeavesAt
	}
	return decoded
}

// decodePlatformEndpoint decodes an endpoint from the platform's response, in which states
// and supplies have the platform's names. An unknown state counts as leaving, so that
// the endpoint gets no new requests.
func decodePlatformEndpoint(wire wireEndpoint, centre winch.DataCentreID) winch.OrderedEndpoint {
	decoded := decodeEndpoint(wire, centre)
	state, known := platformStates[wire.State]
	if !known {
		state = winch.EndpointLeaving
	}
	decoded.State = state
	decoded.Supply = platformSupplies[wire.Supply]
	return decoded
}
