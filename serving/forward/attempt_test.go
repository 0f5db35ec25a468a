package forward

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/arbutuswinch/winch"
)

var (
	errUnsent = fmt.Errorf("connect: %w", winch.ErrUnavailable)
	errLost   = fmt.Errorf("read: %w", winch.ErrOutcomeUnknown)
)

func TestRepeats(t *testing.T) {
	ok := answer{status: 200, body: "answer"}
	streamed := answer{status: 200, body: event(1)}
	cases := []struct {
		name   string
		path   string
		first  answer
		second *answer
		status int
	}{
		{"nothing was sent", "/once/x", answer{err: errUnsent}, &ok, 200},
		{"the answer was lost, idempotent", "/safe/x", answer{err: errLost}, &ok, 200},
		{"the answer was lost, once", "/once/x", answer{err: errLost}, nil, 502},
		{"the answer was lost, stream", "/chat/x", answer{err: errLost}, nil, 502},
		{"the answer was lost, stream that may resume", "/plan/x", answer{err: errLost}, &streamed, 200},
		{"the endpoint did not run it, once", "/once/x", answer{status: 503, notRun: true}, &ok, 200},
		{"another endpoint has the address, once", "/once/x", answer{status: 421, misdirects: true}, &ok, 200},
		{"the endpoint failed, idempotent", "/safe/x", answer{status: 500}, &ok, 200},
		{"the endpoint failed, once", "/once/x", answer{status: 500}, nil, 500},
		{"a refusal without its word for it, once", "/once/x", answer{status: 503}, nil, 502},
		{"a refusal without its word for it, stream", "/chat/x", answer{status: 429}, nil, 502},
		{"a success without signature, once", "/once/x", answer{status: 200, unsigned: true}, nil, 502},
		{"the body broke off, once", "/once/x", answer{status: 200, body: "ans", breaks: true}, nil, 502},
		{"the body broke off, idempotent", "/safe/x", answer{status: 200, body: "ans", breaks: true}, &ok, 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			answers := []answer{c.first}
			if c.second != nil {
				answers = append(answers, *c.second)
			}
			w := newWorld(t, answers...)
			answered := w.ask(c.path)
			assert.Equal(t, answered.status, c.status, answered.body)
			assert.Equal(t, len(w.calls), len(answers))
			assert.Equal(t, len(w.outcomes), len(answers), "each slot is given back")
		})
	}
}

func TestRefusals(t *testing.T) {
	t.Run("true when no endpoint ran the request", func(t *testing.T) {
		w := newWorld(t, answer{status: 503, notRun: true}, answer{status: 503, notRun: true})
		answered := w.ask("/once/x")
		assert.Equal(t, answered.status, 503)
		assert.Assert(t, answered.header.Get("X-Retry") != "")
	})
	t.Run("not said when an earlier attempt may have run", func(t *testing.T) {
		w := newWorld(t, answer{err: errLost}, answer{status: 503, notRun: true})
		assert.Equal(t, w.ask("/safe/x").status, 502)
	})
	t.Run("of the dispatcher", func(t *testing.T) {
		w := newWorld(t)
		w.refusal = &winch.Refusal{Reason: winch.RefusedWait, RetryAfter: time.Second}
		answered := w.ask("/once/x")
		assert.Equal(t, answered.status, 429)
		assert.Equal(t, answered.header.Get("X-Retry"), "1s")
	})
	t.Run("without a retry budget there is no second attempt", func(t *testing.T) {
		w := newWorld(t, answer{err: errLost})
		w.noRetries = true
		assert.Equal(t, w.ask("/safe/x").status, 502)
	})
}

func TestTime(t *testing.T) {
	never := make(chan struct{})
	t.Run("the endpoint gets what is left", func(t *testing.T) {
		w := newWorld(t, answer{status: 200})
		w.granted = func() { time.Sleep(20 * time.Millisecond) }
		w.ask("/once/x", "X-Timeout", "500ms")
		assert.Assert(t, w.calls[0].Timeout <= 480*time.Millisecond && w.calls[0].Timeout > 300*time.Millisecond, "%s", w.calls[0].Timeout)
	})
	t.Run("the route's time-out bounds it", func(t *testing.T) {
		w := newWorld(t, answer{status: 200, until: never})
		w.change(func(c *winch.Configuration) { c.Forwards[1].Timeout = 50 * time.Millisecond })
		started := time.Now()
		assert.Equal(t, w.ask("/once/x").status, 504)
		assert.Assert(t, time.Since(started) < 500*time.Millisecond)
	})
	t.Run("a slow attempt that may be repeated makes room for the next", func(t *testing.T) {
		w := newWorld(t, answer{status: 200, until: never}, answer{status: 200, body: "answer"})
		assert.Equal(t, w.ask("/safe/x").body, "answer")
	})
}

func TestCallerLeaves(t *testing.T) {
	cases := []struct {
		path    string
		outcome winch.Outcome
		goesOn  bool
	}{
		{path: "/safe/x", outcome: winch.OutcomeCancelled},
		{path: "/chat/x", outcome: winch.OutcomeCancelled},
		{path: "/once/x", outcome: winch.OutcomeDone, goesOn: true},
	}
	for _, c := range cases {
		t.Run(c.path, func(t *testing.T) {
			finish := make(chan struct{})
			w := newWorld(t, answer{status: 200, body: event(1), until: finish})
			ctx, leave := context.WithCancel(t.Context())
			go func() {
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					w.mu.Lock()
					defer w.mu.Unlock()
					if len(w.calls) == 0 {
						return poll.Continue("no call yet")
					}
					return poll.Success()
				})
				leave()
			}()
			w.askIn(ctx, c.path)
			if c.goesOn {
				close(finish)
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				w.mu.Lock()
				defer w.mu.Unlock()
				if len(w.outcomes) == 0 {
					return poll.Continue("the slot is not given back yet")
				}
				return poll.Success()
			})
			assert.Equal(t, w.outcomes[0], c.outcome)
		})
	}
}

func TestDrain(t *testing.T) {
	t.Run("finishes what is open, and takes requests until the balancer has noticed", func(t *testing.T) {
		finish := make(chan struct{})
		w := newWorld(t, answer{status: 200, body: "answer", until: finish}, answer{status: 200})
		w.server.options.Limits.ReadinessDelay = 100 * time.Millisecond
		answered := make(chan got)
		go func() { answered <- w.ask("/once/x") }()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if w.server.Open() == 0 {
				return poll.Continue("not open yet")
			}
			return poll.Success()
		})
		drained := make(chan error)
		go func() { drained <- w.server.Drain(t.Context()) }()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if !w.server.Draining() {
				return poll.Continue("the stop has not begun")
			}
			return poll.Success()
		})
		assert.Assert(t, w.ask("/safe/x").closes)
		close(finish)
		assert.Equal(t, (<-answered).body, "answer")
		assert.NilError(t, <-drained)
		assert.Equal(t, w.ask("/safe/x").status, 503)
	})
}
