package endpoint

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/dispatch/measure"
)

// promptRates sums the queues' rates of prompt tokens.
func promptRates(c *core, now time.Time) float64 {
	sum := 0.0
	for _, status := range c.queues(now) {
		sum += status.PromptRate
	}
	return sum
}

func TestDemandIncludesOtherHostsAfterAnotherHostBecameHub(t *testing.T) {
	c, now := newPrefillCore(4, PolicyPrefill)
	key := laneKey{class: "plan", group: group{model: promptModel}}
	// A host that starts knows no other host yet, so it is its own hub.
	c.hub.collect(now, c.self.ID, c.ownStats(now, true))
	c.applySummary(now, now, c.self.ID, c.summary(now, c.self.ID))
	now = now.Add(5 * time.Second)
	sum := newStats()
	sum.lanes[key] = laneStats{PromptRate: 500_000}
	c.applySummary(now, now, "hub", sum)
	assert.Equal(t, promptRates(c, now), 500_000.0)
}

func TestRefusedRequestsCountAsDemand(t *testing.T) {
	c, now := newPrefillCore(1, PolicyPrefill)
	plan := c.lanes[laneKey{class: "plan", group: group{model: promptModel}}]
	plan.holdTime.Add(10, 1)
	for i := range 300 {
		c.submit(now, i, "plan", 9000)
	}
	assert.Assert(t, plan.running+plan.queued < 300, "none was refused")
	// A queued request counts once it is granted or refused.
	want := float64(300-plan.queued) * 9000 / measure.RateWindow.Seconds()
	assert.Assert(t, promptRates(c, now) > want-1, "%.0f of %.0f", promptRates(c, now), want)
}

func TestPrefillSpeedIgnoresPromptsThatAreOvertaken(t *testing.T) {
	c, now := newPrefillCore(1, PolicyPrefill)
	for i := range 20 {
		c.submit(now, i, "plan", 9000)
	}
	chat := c.submit(now, 100, "chat", 5000)
	now = now.Add(125 * time.Millisecond)
	chat.progress.first.Store(now.UnixNano())
	c.readProgress(now, chat)
	assert.Assert(t, c.prefillSpeeds[group{model: promptModel}].Value < 2*1000*prefillTokensPerMillisecond, "%.0f", c.prefillSpeeds[group{model: promptModel}].Value)
}

func TestLimitRecoversAfterRejections(t *testing.T) {
	c, now := newPrefillCore(1, PolicyPrefill)
	for i := range 20 {
		c.release(now, c.submit(now, i, "chat", 700), winch.OutcomeRejected)
	}
	e := c.sortedEndpoints[0]
	assert.Assert(t, e.limit.Value < 10)
	for range 120 {
		now = now.Add(time.Second)
		c.tick(now)
	}
	assert.Equal(t, e.limit.Value, float64(e.limit.Ceiling))
}
