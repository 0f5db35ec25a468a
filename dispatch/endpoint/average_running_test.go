package endpoint

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAverageRunning(t *testing.T) {
	b := newTestCore(twoClasses(1, 8))
	urgent, l := b.sortedLanes[0], b.sortedLanes[1]
	l.holdTime.add(10, 1)
	for i := range 8 {
		b.request(interactive, i)
	}
	t.Run("a burst of a higher tier counts only in part against a long target", func(t *testing.T) {
		assert.Assert(t, b.predictedWait(b.now, l, nil) < 2*time.Second)
	})
	t.Run("a sustained load of a higher tier counts in full", func(t *testing.T) {
		for range 10 * int(averageRunningWindow/b.settings.Tick) {
			b.updateAverageRunning(b.now, urgent)
		}
		assert.Assert(t, b.predictedWait(b.now, l, nil) > 9*time.Second)
	})
}
