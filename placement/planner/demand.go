package planner

import (
	"math"
	"time"

	"github.com/arbutuswinch/winch"
)

// demand is the demand for a model, in slots.
type demand struct {
	total            float64
	highestTierSlots float64 // the part of total that is of the highest tier
	// static is the number of slots of the endpoints that the configuration lists, and
	// staticSteady that of the steady ones among them. Both are scaled by capacityRatio.
	static       float64
	staticSteady float64
	// capacityRatio is the number of slots that the dispatcher allows at present, which
	// depends on the latency target, divided by the configured slots of the listed and
	// the ready ordered endpoints. It is 1 when it is not known.
	capacityRatio float64
}

const (
	// fullSlotTarget is the first-token target up to which a queued request counts as a whole slot.
	fullSlotTarget = 2 * time.Second
	// minCapacityRatio is the lowest capacityRatio that planning uses. It limits how far a
	// slowdown raises the orders.
	minCapacityRatio = 0.25
)

// demandByModel returns the demand in the data centre for each model that has a pool there.
func demandByModel(configuration *winch.Configuration, centre winch.DataCentreID, queues []winch.QueueStatus, running []winch.OrderedEndpoint) map[winch.ModelID]demand {
	demands := map[winch.ModelID]demand{}
	tiers := highestTiers(configuration, centre, queues)
	availableSlots := map[winch.ModelID]float64{}
	for _, pool := range configuration.Pools {
		if pool.DataCentre == centre {
			demands[pool.Model] = demand{capacityRatio: 1}
		}
	}
	for _, status := range queues {
		d, found := demands[status.Model]
		share := shareOf(configuration, centre, status)
		if share == 0 || !found {
			continue
		}
		slots := share * (float64(status.Running) + float64(status.Queued)*queuedWeight(configuration.Classes[status.Class]))
		d.total += slots
		if status.Tier == tiers[status.Model] {
			d.highestTierSlots += slots
		}
		demands[status.Model] = d
		// The classes of a model share endpoints, so their slots are not added up.
		if status.DataCentre == centre {
			availableSlots[status.Model] = math.Max(availableSlots[status.Model], float64(status.Slots))
		}
	}
	addStatic(configuration, centre, demands)
	for model, d := range demands {
		configured := d.static + readySlots(configuration, model, running)
		if configured > 0 && availableSlots[model] > 0 {
			d.capacityRatio = math.Min(1, math.Max(minCapacityRatio, availableSlots[model]/configured))
		}
		d.static *= d.capacityRatio
		d.staticSteady *= d.capacityRatio
		demands[model] = d
	}
	return demands
}

// highestTiers returns the highest tier, which has the lowest number, among the queues of each model.
func highestTiers(configuration *winch.Configuration, centre winch.DataCentreID, queues []winch.QueueStatus) map[winch.ModelID]winch.Tier {
	tiers := map[winch.ModelID]winch.Tier{}
	for _, status := range queues {
		if status.Model == "" || shareOf(configuration, centre, status) == 0 {
			continue
		}
		if known, found := tiers[status.Model]; !found || status.Tier < known {
			tiers[status.Model] = status.Tier
		}
	}
	return tiers
}

// queuedWeight returns the part of a slot that a queued request of the class
// counts for: the longer its first-token target, the less.
func queuedWeight(class winch.Class) float64 {
	if class.FirstTokenTarget <= fullSlotTarget {
		return 1
	}
	return fullSlotTarget.Seconds() / class.FirstTokenTarget.Seconds()
}

// addStatic adds the slots of the endpoints that the configuration lists in the data centre.
func addStatic(configuration *winch.Configuration, centre winch.DataCentreID, demands map[winch.ModelID]demand) {
	for _, endpoint := range configuration.Endpoints {
		if endpoint.DataCentre != centre {
			continue
		}
		for _, model := range endpoint.Models {
			d, found := demands[model]
			if !found {
				continue
			}
			d.static += float64(endpoint.SlotLimit)
			if endpoint.Supply != winch.SupplyCheap {
				d.staticSteady += float64(endpoint.SlotLimit)
			}
			demands[model] = d
		}
	}
}

// readySlots returns the configured slots of the model's ordered endpoints that are ready.
func readySlots(configuration *winch.Configuration, model winch.ModelID, running []winch.OrderedEndpoint) float64 {
	slots := 0.0
	for _, endpoint := range running {
		pool, found := configuration.Pools[endpoint.Pool]
		if found && pool.Model == model && endpoint.State == winch.EndpointReady {
			slots += float64(pool.SlotLimit)
		}
	}
	return slots
}
