package planner

import (
	"math"
	"slices"

	"github.com/arbutuswinch/winch"
)

// poolsByCost returns the pools of the model, sorted by cost per slot, cheapest first.
func poolsByCost(pools []*poolState, model winch.ModelID) []*poolState {
	var chosen []*poolState
	for _, s := range pools {
		if s.pool.Model == model {
			chosen = append(chosen, s)
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

// allocate distributes the demand over the pools: first steady pools for the
// highest tier, then cheap pools for the rest, then steady pools again for what
// the cheap pools cannot cover.
func allocate(d demand, pools []*poolState, headroom float64, wanted map[winch.PoolID]int) {
	factor := 1 + headroom
	steady := d.highestTier*factor - d.staticSteady
	remaining := d.total*factor - d.static
	for _, s := range pools {
		wanted[s.pool.ID] = s.pool.Min
		slots := float64(s.pool.Min) * s.slots(d.capacityRatio)
		remaining -= slots
		if s.pool.Supply != winch.SupplyCheap {
			steady -= slots
		}
	}
	remaining -= allocateFrom(pools, steady, d.capacityRatio, wanted, isSteady)
	remaining -= allocateFrom(pools, remaining, d.capacityRatio, wanted, isCheap)
	allocateFrom(pools, remaining, d.capacityRatio, wanted, isSteady)
}

func isSteady(pool winch.Pool) bool { return pool.Supply != winch.SupplyCheap }
func isCheap(pool winch.Pool) bool  { return pool.Supply == winch.SupplyCheap }

// allocateFrom adds endpoints to the included pools, in order, until their slots
// cover the given number, and returns the number of slots that it added.
func allocateFrom(pools []*poolState, slots, capacityRatio float64, wanted map[winch.PoolID]int, include func(winch.Pool) bool) float64 {
	allocated := 0.0
	for _, s := range pools {
		if slots-allocated <= 0 {
			return allocated
		}
		if !include(s.pool) {
			continue
		}
		count := int(math.Ceil((slots - allocated) / s.slots(capacityRatio)))
		count = min(count, s.maxCount()-wanted[s.pool.ID])
		if count <= 0 {
			continue
		}
		wanted[s.pool.ID] += count
		allocated += float64(count) * s.slots(capacityRatio)
	}
	return allocated
}

// slots returns how many concurrent requests one endpoint of the pool serves
// within the latency target. It is at least 1.
func (s *poolState) slots(capacityRatio float64) float64 {
	return math.Max(1, float64(s.pool.SlotLimit)*capacityRatio)
}
