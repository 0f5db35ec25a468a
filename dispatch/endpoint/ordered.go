package endpoint

import (
	"time"

	"github.com/arbutuswinch/winch"
)

// OrderedSource implements winch.EndpointSource for endpoints ordered for pools. Properties
// that an order does not include are taken from the pool's configuration.
type OrderedSource struct {
	Orders         winch.OrderedEndpoints
	Configurations winch.Configurations
}

// Endpoints returns the ordered endpoints whose pool is configured and that are not gone.
func (o OrderedSource) Endpoints() []winch.EndpointStatus {
	pools := o.Configurations.Current().Pools
	var statuses []winch.EndpointStatus
	for _, ordered := range o.Orders.Current() {
		pool, found := pools[ordered.Pool]
		if !found || ordered.State == winch.EndpointGone {
			continue
		}
		statuses = append(statuses, winch.EndpointStatus{
			Endpoint: winch.Endpoint{
				ID: ordered.ID, DataCentre: ordered.DataCentre, Kind: winch.EndpointEngine, Address: ordered.Address,
				Models: []winch.ModelID{pool.Model}, Classes: pool.Classes, Supply: ordered.Supply, Cost: pool.Cost,
				SlotLimit: pool.SlotLimit, Pool: pool.ID, ChecksFencing: pool.ChecksFencing,
				Software: ordered.Software,
			},
			State: ordered.State, LeavesAt: ordered.LeavesAt,
		})
	}
	return statuses
}

// ReadAt returns zero: the age of the list of ordered endpoints is not known.
func (o OrderedSource) ReadAt() time.Time { return time.Time{} }

// Changed returns a channel that is closed at the next change.
func (o OrderedSource) Changed() <-chan struct{} { return o.Orders.Changed() }
