package endpoint

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAverageRunning(t *testing.T) {
	tc := newTestCore(twoClasses(1, 8))
	higher, lower := tc.sortedLanes[0], tc.sortedLanes[1]
	lower.holdTime.Add(10, 1)
	for i := range 8 {
		tc.request(interactive, i)
	}
	t.Run("a burst of a higher tier counts only in part against a long target", func(t *testing.T) {
		assert.Assert(t, tc.predictedWait(tc.now, lower, nil) < 2*time.Second)
	})
	t.Run("a sustained load of a higher tier counts in full", func(t *testing.T) {
		for range 10 * int(averageRunningWindow/tc.settings.Tick) {
			tc.updateAverageRunning(tc.now, higher)
		}
		assert.Assert(t, tc.predictedWait(tc.now, lower, nil) > 9*time.Second)
	})
}
