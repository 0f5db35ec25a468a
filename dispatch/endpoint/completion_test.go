package endpoint

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/dispatch/completion"
)

// newCompletionCore returns a core with engines that are known to make an output in the interval while they always prefill.
func newCompletionCore(engines int, interval float64) (*core, *lane, time.Time) {
	c, now := newPrefillCore(engines, PolicyPrefill)
	l := c.lanes[laneKey{class: "plan", group: group{model: promptModel}}]
	for range 100 {
		c.intervalsOf(l).Observe(now, 1, interval, 1)
		l.completion.counts.Add(9, countWeight)
	}
	for _, e := range c.sortedEndpoints {
		e.prefillTime = completion.Load{}
		for i := range 300 {
			e.prefill.others, e.others = 1000, 1
			e.prefillTime.Observe(now.Add(time.Duration(i-300)*100*time.Millisecond), true)
		}
	}
	l.completion.begunAt, l.completion.busy, l.completion.leastBusy = now, 1, 1
	return c, l, now
}

func planRequest(c *core, l *lane, now time.Time, deadline time.Duration) *request {
	r := c.newRequest(now, winch.Work{Request: "r", Class: "plan", Model: promptModel, InputTokens: 9000, Arrived: now, Deadline: now.Add(deadline)}, nil, &progress{})
	r.lane = l
	return r
}

// TestRequestThatCannotEnd guards against prompts that are begun in vain, and against refusals without a reason.
func TestRequestThatCannotEnd(t *testing.T) {
	c, l, now := newCompletionCore(3, 0.5)
	e := l.endpoints[0]
	t.Run("is not eligible", func(t *testing.T) {
		assert.Assert(t, !c.canEndAt(now, l, planRequest(c, l, now, 3*time.Second), e))
		assert.Assert(t, c.canEndAt(now, l, planRequest(c, l, now, 10*time.Second), e))
	})
	t.Run("is refused at once, and told to return at a random time", func(t *testing.T) {
		returns := map[time.Duration]bool{}
		for i := range 8 {
			c.effects = nil
			c.arrive(now, winch.Work{Request: winch.RequestID(rune('a' + i)), Class: "plan", Model: promptModel, InputTokens: 9000, Deadline: now.Add(3 * time.Second)}, nil, &progress{})
			assert.Equal(t, len(c.effects), 1)
			assert.Equal(t, c.effects[0].refusal.Reason, winch.RefusedDeadline)
			returns[c.effects[0].refusal.RetryAfter] = true
		}
		assert.Assert(t, len(returns) > 4, "%v", returns)
		assert.Equal(t, l.completion.notBegun, notBegun{refused: 8, held: 9})
	})
	t.Run("begins where the endpoint is idle", func(t *testing.T) {
		e.prefill.others, e.others = 0, 0
		assert.Assert(t, c.canEndAt(now, l, planRequest(c, l, now, 3*time.Second), e))
		e.prefill.others, e.others = 1000, 1
	})
	t.Run("begins if nothing else of its class has begun for long", func(t *testing.T) {
		assert.Assert(t, c.canEndAt(now.Add(floorInterval), l, planRequest(c, l, now, 3*time.Second), e))
	})
	t.Run("is allowed without a deadline, of the most urgent class, or once it was attempted", func(t *testing.T) {
		r := planRequest(c, l, now, time.Second)
		r.work.Deadline = time.Time{}
		assert.Assert(t, c.canEndAt(now, l, r, e))
		r = planRequest(c, l, now, time.Second)
		r.work.OutputDone = 1
		assert.Assert(t, c.canEndAt(now, l, r, e))
		chat := c.lanes[laneKey{class: "chat", group: group{model: promptModel}}]
		assert.Assert(t, c.canEndAt(now, chat, planRequest(c, chat, now, time.Second), e))
	})
	t.Run("is not judged by a hint that is far off", func(t *testing.T) {
		r := planRequest(c, l, now, 10*time.Second)
		r.work.OutputHint = 1 << 40
		count, _ := l.expectedCount(r)
		assert.Equal(t, count, 9.0*hintRange)
	})
}

// TestOnlyWhatCanEndBegins guards against an endpoint that idles beside requests, against late ones that begin, and against starving classes.
func TestOnlyWhatCanEndBegins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		interval := rapid.Float64Range(0.001, 2).Draw(t, "interval")
		c, l, now := newCompletionCore(rapid.IntRange(1, 4).Draw(t, "engines"), interval)
		for range 10 {
			e := l.endpoints[rapid.IntRange(0, len(l.endpoints)-1).Draw(t, "engine")]
			e.others = rapid.IntRange(0, 3).Draw(t, "others")
			e.prefill.others = winch.Tokens(e.others * rapid.IntRange(0, 50_000).Draw(t, "tokens"))
			deadline := time.Duration(rapid.IntRange(1, 20_000).Draw(t, "deadline")) * time.Millisecond
			r := planRequest(c, l, now, deadline)
			l.completion.heldAt = time.Time{}
			can := c.canEndAt(now, l, r, e)
			wait := float64(e.prefill.others+9000) * e.slowdown / c.prefillSpeed(l)
			switch {
			case e.idle():
				assert.Assert(t, can, "an idle endpoint")
			case wait+9*interval*0.8 > deadline.Seconds():
				assert.Assert(t, !can, "late by the estimate: %f s, deadline %s", wait+9*interval, deadline)
			case wait+9*interval+0.2 < deadline.Seconds():
				assert.Assert(t, can, "in time by the estimate: %f s, deadline %s", wait+9*interval, deadline)
			}
			assert.Assert(t, c.canEndAt(now.Add(floorInterval), l, r, e), "a class starves")
		}
	})
}
