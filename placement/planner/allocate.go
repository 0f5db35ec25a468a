package planner

import (
	"math"
	"slices"

	"github.com/arbutuswinch/winch"
)

// poolsFor returns the pools of the model, the cheapest slot first.
func poolsFor(pools []*poolState, model winch.ModelID) []*poolState {
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

// allocate spreads the demand over the pools: steady ones for the highest tier,
// then cheap ones, then steady ones again for what the cheap ones cannot take.
func allocate(d demand, pools []*poolState, headroom float64, wanted map[winch.PoolID]int) {
	factor := 1 + headroom
	steady := d.highest*factor - d.staticSteady
	rest := d.all*factor - d.static
	for _, s := range pools {
		wanted[s.pool.ID] = s.pool.Min
		slots := float64(s.pool.Min) * s.slots(d.ratio)
		rest -= slots
		if s.pool.Supply != winch.SupplyCheap {
			steady -= slots
		}
	}
	rest -= take(pools, steady, d.ratio, wanted, isSteady)
	rest -= take(pools, rest, d.ratio, wanted, isCheap)
	take(pools, rest, d.ratio, wanted, isSteady)
}

func isSteady(pool winch.Pool) bool { return pool.Supply != winch.SupplyCheap }
func isCheap(pool winch.Pool) bool  { return pool.Supply == winch.SupplyCheap }

// take orders slots from the pools in turn, and returns how many it got.
func take(pools []*poolState, slots, ratio float64, wanted map[winch.PoolID]int, use func(winch.Pool) bool) float64 {
	taken := 0.0
	for _, s := range pools {
		if slots-taken <= 0 {
			return taken
		}
		if !use(s.pool) {
			continue
		}
		count := int(math.Ceil((slots - taken) / s.slots(ratio)))
		count = min(count, s.limit()-wanted[s.pool.ID])
		if count <= 0 {
			continue
		}
		wanted[s.pool.ID] += count
		taken += float64(count) * s.slots(ratio)
	}
	return taken
}

// slots is what one endpoint of the pool serves at once within target.
func (s *poolState) slots(ratio float64) float64 {
	return math.Max(1, float64(s.pool.SlotLimit)*ratio)
}
