package endpoint

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// TestUnreachableEndpointsShow guards against a host that has lost its links to endpoints without a sign of it.
func TestUnreachableEndpointsShow(t *testing.T) {
	c, now := newPrefillCore(2, PolicyPrefill)
	sum := newStats()
	sum.endpoints["e00"] = endpointStats{Running: 3, Limit: 64}
	c.applySummary(now, now, "hub", sum)
	c.effects = nil
	for _, e := range c.sortedEndpoints {
		c.recordFailure(now, e, true)
	}
	c.tick(now)
	t.Run("in counts", func(t *testing.T) {
		assert.Equal(t, c.reach(now), reach{serving: 2, unreachable: 2, elsewhere: 1})
		loads := c.groupLoads(now)
		assert.Equal(t, len(loads), 1)
		assert.Assert(t, loads[0].freeSlots == 0 && loads[0].unreachableFreeSlots > 0, "%+v", loads[0])
	})
	t.Run("in an event, once", func(t *testing.T) {
		c.tick(now)
		assert.Equal(t, countEffects(c, effectUnreachable), 1)
	})
	t.Run("in the cause of requests that are not sent", func(t *testing.T) {
		c.submit(now, 1, "chat", 100)
		last := c.effects[len(c.effects)-1]
		assert.Equal(t, last.cause, string(queuedUnreachable), "%v", last.kind)
	})
	t.Run("until they answer again", func(t *testing.T) {
		later := now.Add(time.Minute)
		for _, e := range c.sortedEndpoints {
			c.recordSuccess(later, e)
		}
		c.tick(later)
		assert.Equal(t, countEffects(c, effectReachable), 1)
		assert.Equal(t, c.reach(later), reach{serving: 2})
	})
}

// TestRequestsThatCannotBeSentAreNotUrgent guards against slots that other hosts leave free for a host that cannot use them.
func TestRequestsThatCannotBeSentAreNotUrgent(t *testing.T) {
	c, now := newPrefillCore(2, PolicyPrefill)
	for _, e := range c.sortedEndpoints {
		c.recordFailure(now, e, true)
	}
	r := c.submit(now, 1, "chat", 100)
	assert.Equal(t, r.state, requestQueued)
	later := now.Add(200 * time.Millisecond)
	assert.Assert(t, c.atRisk(later, r.lane) > 0)
	reported := func() int { return c.ownStats(later, false).lanes[r.lane.key].Urgent }
	t.Run("while no endpoint is reached", func(t *testing.T) { assert.Equal(t, reported(), 0) })
	t.Run("but are once one is reached", func(t *testing.T) {
		c.sortedEndpoints[0].health = health{}
		assert.Equal(t, reported(), 1)
	})
	t.Run("but are if endpoints are ejected for another cause", func(t *testing.T) {
		c.sortedEndpoints[0].health = health{ejected: true, ejectedUntil: later.Add(time.Second)}
		assert.Equal(t, reported(), 1)
	})
}

// TestRequestsHeldBackForOtherHostsShow guards against free slots that are left to other hosts without a sign of it.
func TestRequestsHeldBackForOtherHostsShow(t *testing.T) {
	c, now := newPrefillCore(2, PolicyPrefill)
	urgent, waiting := c.sortedLanes[0], c.sortedLanes[len(c.sortedLanes)-1]
	assert.Assert(t, urgent.higher(waiting))
	sum := newStats()
	sum.lanes[urgent.key] = laneStats{Queued: 9, Urgent: 9}
	c.applySummary(now, now, "hub", sum)
	r := c.newRequest(now, winch.Work{Request: "r"}, nil, nil)
	r.lane = waiting
	assert.Equal(t, c.queueCauseOf(now, waiting, r), queuedOtherHosts)
	assert.Equal(t, c.groupLoads(now)[0].othersUrgent, 9)
}

func countEffects(c *core, kind effectKind) int {
	count := 0
	for _, e := range c.effects {
		if e.kind == kind {
			count++
		}
	}
	return count
}
