package planner

import (
	"math"
	"time"

	"github.com/arbutuswinch/winch"
)

// demand is what a model's classes ask for, in slots.
type demand struct {
	all     float64
	highest float64 // of the highest tier
	// static and staticSteady are the slots of the configuration's own endpoints.
	static       float64
	staticSteady float64
	// ratio is the part of the configured slots that the endpoints can serve within target.
	ratio float64
}

const (
	// promptTarget is the first-token target up to which each queued request counts as a slot.
	promptTarget = 2 * time.Second
	ratioMin     = 0.25
)

// demandsOf adds up the demand in the data centre by model.
func demandsOf(configuration *winch.Configuration, centre winch.DataCentreID, queues []winch.QueueStatus, running []winch.OrderedEndpoint) map[winch.ModelID]demand {
	demands := map[winch.ModelID]demand{}
	highest := highestTiers(centre, queues)
	present := map[winch.ModelID]float64{}
	for _, pool := range configuration.Pools {
		if pool.DataCentre == centre {
			demands[pool.Model] = demand{ratio: 1}
		}
	}
	for _, status := range queues {
		d, found := demands[status.Model]
		if status.DataCentre != centre || !found {
			continue
		}
		slots := float64(status.Running) + float64(status.Queued)*urgency(configuration.Classes[status.Class])
		d.all += slots
		if status.Tier == highest[status.Model] {
			d.highest += slots
		}
		demands[status.Model] = d
		present[status.Model] = math.Max(present[status.Model], float64(status.Slots))
	}
	addStatic(configuration, centre, demands)
	for model, d := range demands {
		configured := d.static + readySlots(configuration, model, running)
		if configured > 0 && present[model] > 0 {
			d.ratio = math.Min(1, math.Max(ratioMin, present[model]/configured))
		}
		d.static *= d.ratio
		d.staticSteady *= d.ratio
		demands[model] = d
	}
	return demands
}

func highestTiers(centre winch.DataCentreID, queues []winch.QueueStatus) map[winch.ModelID]winch.Tier {
	highest := map[winch.ModelID]winch.Tier{}
	for _, status := range queues {
		if status.DataCentre != centre || status.Model == "" {
			continue
		}
		if known, found := highest[status.Model]; !found || status.Tier < known {
			highest[status.Model] = status.Tier
		}
	}
	return highest
}

// urgency is the part of a slot that a queued request of the class asks for.
func urgency(class winch.Class) float64 {
	if class.FirstTokenTarget <= promptTarget {
		return 1
	}
	return promptTarget.Seconds() / class.FirstTokenTarget.Seconds()
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
