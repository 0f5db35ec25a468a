package endpoint

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

func TestReserve(t *testing.T) {
	tc := newTestCore(twoClasses(1, 8))
	for i := range 8 {
		tc.request(background, i)
	}
	for range 2 {
		tc.preempt(tc.now, tc.victim(tc.now, tc.sortedLanes[0]), tc.sortedLanes[0], false)
	}
	for r := tc.onlyEndpoint().tier(3).newest; r != nil; r = tc.onlyEndpoint().tier(3).newest {
		tc.release(tc.now, r, winch.OutcomeCancelled)
	}
	for i := range 8 {
		tc.request(background, 10+i)
	}
	t.Run("keeps slots free on an endpoint with preemptions", func(t *testing.T) { assert.Equal(t, tc.onlyEndpoint().running, 6) })
	t.Run("lets the higher tier use them", func(t *testing.T) {
		assert.Equal(t, tc.request(interactive, 30).state, requestRunning)
	})
	t.Run("decays after the last preemption", func(t *testing.T) {
		for range 15 {
			tc.onlyEndpoint().lastHeard.Store(tc.now.UnixNano())
			tc.advance(time.Second)
		}
		assert.Equal(t, tc.onlyEndpoint().running, 8)
	})
}

func TestInterruptedAttempt(t *testing.T) {
	tc := newTestCore(twoClasses(1, 1))
	l := tc.lanes[laneKey{class: interactive, group: group{model: chat}}]
	first := tc.request(interactive, 1)
	tc.request(interactive, 2)
	tc.release(tc.now, first, winch.OutcomeCancelled)
	l.holdTime.Add(100, 1)
	t.Run("a request that already ran is not refused for its predicted wait", func(t *testing.T) {
		assert.Equal(t, tc.request(interactive, 1).state, requestQueued)
	})
	t.Run("a new request is refused", func(t *testing.T) {
		assert.Equal(t, tc.request(interactive, 3).state, requestInactive)
	})
	t.Run("is forgotten after the retention time", func(t *testing.T) {
		tc.incompleteAttempts["old"] = tc.now
		tc.advance(12 * time.Second)
		assert.Equal(t, len(tc.incompleteAttempts), 0)
	})
}
