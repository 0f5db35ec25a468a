package planner

import (
	"math"
	"slices"

	"github.com/arbutuswinch/winch"
)

// poolsByCost returns the pools of the model, sorted by cost per slot, cheapest first.
func poolsByCost(pools []*poolState, model winch.ModelID) []*poolState {
	var chosen []*poolState
	for _, state := range pools {
		if state.pool.Model == model {
			chosen = append(chosen, state)
		}
	}
	slices.SortStableFunc(chosen, func(a, b *poolState) int {
		costA, costB := slotCost(a.pool), slotCost(b.pool)
		switch {
		case costA < costB:
			return -1
		case costA > costB:
			return 1
		}
		return 0
	})
	return chosen
}

func slotCost(pool winch.Pool) float64 {
	return float64(pool.Cost) / math.Max(1, float64(pool.SlotLimit))
}

// allocate starts with the minimum of each pool. It then adds steady endpoints for the
// highest tier, cheap endpoints for the rest, and steady endpoints for what the cheap pools
// cannot cover, until the demand with headroom, less the slots of the endpoints that the
// configuration lists, is covered.
func allocate(d demand, pools []*poolState, headroom float64, wanted map[winch.PoolID]int) {
	factor := 1 + headroom
	// steadySlots and remainingSlots are still to be covered, by steady pools and by any.
	steadySlots := d.highestTierSlots*factor - d.staticSteady
	remainingSlots := d.total*factor - d.static
	for _, state := range pools {
		wanted[state.pool.ID] = state.pool.Min
		slots := float64(state.pool.Min) * state.slots(d.capacityRatio)
		remainingSlots -= slots
		if state.pool.Supply != winch.SupplyCheap {
			steadySlots -= slots
		}
	}
	remainingSlots -= allocateFrom(pools, steadySlots, d.capacityRatio, wanted, isSteady)
	remainingSlots -= allocateFrom(pools, remainingSlots, d.capacityRatio, wanted, isCheap)
	allocateFrom(pools, remainingSlots, d.capacityRatio, wanted, isSteady)
}

// isSteady reports whether the pool is not cheap. A pool without a supply counts as steady.
func isSteady(pool winch.Pool) bool { return pool.Supply != winch.SupplyCheap }
func isCheap(pool winch.Pool) bool  { return pool.Supply == winch.SupplyCheap }

// allocateFrom adds endpoints to the included pools, in order, until their slots
// cover the needed number, and returns the number of slots that it added.
func allocateFrom(pools []*poolState, needed, capacityRatio float64, wanted map[winch.PoolID]int, include func(winch.Pool) bool) float64 {
	allocated := 0.0
	for _, state := range pools {
		if needed-allocated <= 0 {
			return allocated
		}
		if !include(state.pool) {
			continue
		}
		count := int(math.Ceil((needed - allocated) / state.slots(capacityRatio)))
		count = min(count, state.maxCount()-wanted[state.pool.ID])
		if count <= 0 {
			continue
		}
		wanted[state.pool.ID] += count
		allocated += float64(count) * state.slots(capacityRatio)
	}
	return allocated
}

// slots returns how many concurrent requests one endpoint of the pool serves
// within the latency target. It is at least 1.
func (s *poolState) slots(capacityRatio float64) float64 {
	return math.Max(1, float64(s.pool.SlotLimit)*capacityRatio)
}
