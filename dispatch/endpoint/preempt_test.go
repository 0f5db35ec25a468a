package endpoint

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

func TestReserve(t *testing.T) {
	b := newTestCore(twoClasses(1, 8))
	for i := range 8 {
		b.request(background, i)
	}
	for range 2 {
		b.preempt(b.now, b.victim(b.now, b.sortedLanes[0]), b.sortedLanes[0], false)
	}
	for r := b.onlyEndpoint().tier(3).newest; r != nil; r = b.onlyEndpoint().tier(3).newest {
		b.release(b.now, r, winch.OutcomeCancelled)
	}
	for i := range 8 {
		b.request(background, 10+i)
	}
	t.Run("keeps slots free on an endpoint with preemptions", func(t *testing.T) { assert.Equal(t, b.onlyEndpoint().running, 6) })
	t.Run("lets the higher tier use them", func(t *testing.T) {
		assert.Equal(t, b.request(interactive, 30).state, requestRunning)
	})
	t.Run("decays after the last preemption", func(t *testing.T) {
		for range 15 {
			b.onlyEndpoint().lastHeard.Store(b.now.UnixNano())
			b.advance(time.Second)
		}
		assert.Equal(t, b.onlyEndpoint().running, 8)
	})
}

func TestInterruptedAttempt(t *testing.T) {
	b := newTestCore(twoClasses(1, 1))
	l := b.lanes[laneKey{class: interactive, group: group{model: chat}}]
	first := b.request(interactive, 1)
	b.request(interactive, 2)
	b.release(b.now, first, winch.OutcomeCancelled)
	l.holdTime.add(100, 1)
	t.Run("a request that already ran is not refused for its predicted wait", func(t *testing.T) {
		assert.Equal(t, b.request(interactive, 1).state, requestQueued)
	})
	t.Run("a new request is refused", func(t *testing.T) {
		assert.Equal(t, b.request(interactive, 3).state, requestInactive)
	})
	t.Run("is forgotten after the retention time", func(t *testing.T) {
		b.incompleteAttempts["old"] = b.now
		b.advance(12 * time.Second)
		assert.Equal(t, len(b.incompleteAttempts), 0)
	})
}
