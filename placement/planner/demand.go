package planner

import (
	"math"
	"time"

	"github.com/arbutuswinch/winch"
)

// demand is what a model's classes ask for, in slots.
type demand struct {
	total       float64
	highestTier float64 // of the highest tier
	// static and staticSteady are the slots of the configuration's own endpoints.
	static       float64
	staticSteady float64
	// capacityRatio is the part of the configured slots that the endpoints can serve within target.
	capacityRatio float64
}

const (
	// fullSlotTarget is the first-token target up to which each queued request counts as a slot.
	fullSlotTarget   = 2 * time.Second
	minCapacityRatio = 0.25
)

// demandByModel adds up the demand in the data centre by model.
func demandByModel(configuration *winch.Configuration, centre winch.DataCentreID, queues []winch.QueueStatus, running []winch.OrderedEndpoint) map[winch.ModelID]demand {
	demands := map[winch.ModelID]demand{}
	highestTier := highestTiers(centre, queues)
	availableSlots := map[winch.ModelID]float64{}
	for _, pool := range configuration.Pools {
		if pool.DataCentre == centre {
			demands[pool.Model] = demand{capacityRatio: 1}
		}
	}
	for _, status := range queues {
		d, found := demands[status.Model]
		if status.DataCentre != centre || !found {
			continue
		}
		slots := float64(status.Running) + float64(status.Queued)*queuedWeight(configuration.Classes[status.Class])
		d.total += slots
		if status.Tier == highestTier[status.Model] {
			d.highestTier += slots
		}
		demands[status.Model] = d
		availableSlots[status.Model] = math.Max(availableSlots[status.Model], float64(status.Slots))
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

func highestTiers(centre winch.DataCentreID, queues []winch.QueueStatus) map[winch.ModelID]winch.Tier {
	tiers := map[winch.ModelID]winch.Tier{}
	for _, status := range queues {
		if status.DataCentre != centre || status.Model == "" {
			continue
		}
		if known, found := tiers[status.Model]; !found || status.Tier < known {
			tiers[status.Model] = status.Tier
		}
	}
	return tiers
}

// queuedWeight is the part of a slot that a queued request of the class asks for.
func queuedWeight(class winch.Class) float64 {
	if class.FirstTokenTarget <= fullSlotTarget {
		return 1
	}
	return fullSlotTarget.Seconds() / class.FirstTokenTarget.Seconds()
}

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
