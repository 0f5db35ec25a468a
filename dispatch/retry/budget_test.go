package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestBudget(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	budget := &Budget{}
	spent := 0
	for range 1000 {
		if budget.Spend(now, 1) {
			spent++
		}
	}
	t.Run("limits a retry storm to the floor", func(t *testing.T) { assert.Equal(t, spent, FloorMax) })
	t.Run("allows a share of the successes", func(t *testing.T) {
		for range 200 {
			budget.Success(now, 0.1)
		}
		spent := 0
		for range 1000 {
			if budget.Spend(now, 1) {
				spent++
			}
		}
		assert.Assert(t, spent == 19 || spent == 20, "%d", spent)
	})
}
