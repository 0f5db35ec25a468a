package endpoint

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

func TestReserve(t *testing.T) {
	b := newBench(twoClasses(1, 8))
	for i := range 8 {
		b.request(notes, i)
	}
	for range 2 {
		b.preempt(b.now, b.victim(b.now, b.sorted[0]), b.sorted[0], false)
	}
	for r := b.only().tier(3).newest; r != nil; r = b.only().tier(3).newest {
		b.release(b.now, r, winch.OutcomeCancelled)
	}
	for i := range 8 {
		b.request(notes, 10+i)
	}
	t.Run("keeps slots free where work was preempted", func(t *testing.T) { assert.Equal(t, b.only().running, 6) })
	t.Run("lets the higher tier use them", func(t *testing.T) {
		assert.Equal(t, b.request(stall, 30).state, requestRunning)
	})
	t.Run("ends when preemptions end", func(t *testing.T) {
		for range 15 {
			b.only().lastHeard.Store(b.now.UnixNano())
			b.pass(time.Second)
		}
		assert.Equal(t, b.only().running, 8)
	})
}

func TestBrokenAttempt(t *testing.T) {
	b := newBench(twoClasses(1, 1))
	l := b.lanes[laneKey{class: stall, group: group{model: chat}}]
	first := b.request(stall, 1)
	b.request(stall, 2)
	b.release(b.now, first, winch.OutcomeCancelled)
	l.hold.add(100, 1)
	t.Run("a request that ran before is not turned away for the wait", func(t *testing.T) {
		assert.Equal(t, b.request(stall, 1).state, requestQueued)
	})
	t.Run("a new one is", func(t *testing.T) {
		assert.Equal(t, b.request(stall, 3).state, requestIdle)
	})
	t.Run("is forgotten after a while", func(t *testing.T) {
		b.broken["old"] = b.now
		b.pass(12 * time.Second)
		assert.Equal(t, len(b.broken), 0)
	})
}
