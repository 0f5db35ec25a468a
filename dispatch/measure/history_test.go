package measure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestHistory(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(step int) time.Time { return start.Add(time.Duration(step) * historyStep) }
	t.Run("is zero before the first count", func(t *testing.T) {
		h := History{}
		assert.Equal(t, h.CountAt(start), 0.0)
	})
	t.Run("keeps a count until it changes", func(t *testing.T) {
		h := History{}
		for step := range 2 * historySize {
			h.Add(at(step), 3)
		}
		h.Add(at(2*historySize), 5)
		assert.Equal(t, h.CountAt(at(1)), 3.0)
		assert.Equal(t, h.CountAt(at(2*historySize-1)), 3.0)
		assert.Equal(t, h.CountAt(at(2*historySize)), 5.0)
	})
	t.Run("does not record faster changes", func(t *testing.T) {
		h := History{}
		h.Add(start, 1)
		h.Add(start.Add(historyStep/2), 2)
		assert.Equal(t, h.CountAt(at(1)), 1.0)
	})
	t.Run("returns the oldest count that it has", func(t *testing.T) {
		h := History{}
		for step := range 2 * historySize {
			h.Add(at(step), float64(step+1))
		}
		assert.Equal(t, h.CountAt(start), float64(historySize+1))
	})
}
