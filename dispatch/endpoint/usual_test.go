package endpoint

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestUsualUse(t *testing.T) {
	b := newBench(twoClasses(1, 8))
	urgent, l := b.sorted[0], b.sorted[1]
	l.hold.add(10, 1)
	for i := range 8 {
		b.request(stall, i)
	}
	t.Run("a burst of a higher tier does not count to the end of a long target", func(t *testing.T) {
		assert.Assert(t, b.predictedWait(b.now, l, nil) < 2*time.Second)
	})
	t.Run("its standing use does", func(t *testing.T) {
		for range 10 * int(usualTime/b.settings.Tick) {
			b.noteUsual(b.now, urgent)
		}
		assert.Assert(t, b.predictedWait(b.now, l, nil) > 9*time.Second)
	})
}
