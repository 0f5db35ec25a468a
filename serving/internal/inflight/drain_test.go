package inflight

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

var errStop = errors.New("stop")

// startDrain runs a shutdown in the background. The channel receives the number of requests
// that were cancelled.
func startDrain(ctx context.Context, d *Drain, set *Set, options DrainOptions) <-chan int {
	cancelled := make(chan int, 1)
	go func() { cancelled <- d.Run(ctx, set, options) }()
	return cancelled
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", what)
	})
}

func TestDrain(t *testing.T) {
	t.Run("waits for a request that arrives after the shutdown has begun", func(t *testing.T) {
		d, set := Drain{}, NewSet()
		firstEntry := set.Add(func(error) {})
		cancelled := startDrain(t.Context(), &d, set, DrainOptions{ReadinessDelay: time.Millisecond, AcceptAll: time.Minute})
		waitFor(t, "the drain waits for the open request", func() bool {
			set.mutex.Lock()
			defer set.mutex.Unlock()
			return set.empty != nil
		})
		set.Remove(firstEntry)
		entry := set.Add(func(error) {})
		select {
		case <-cancelled:
			t.Fatal("the shutdown ended while a request was open")
		case <-time.After(2 * idlePeriod):
		}
		assert.Assert(t, d.Begun() && !d.Refuses(), "requests are still accepted")
		set.Remove(entry)
		assert.Equal(t, <-cancelled, 0)
		assert.Assert(t, d.Refuses())
	})
	t.Run("refuses requests that may take long first, then all", func(t *testing.T) {
		d, set := Drain{}, NewSet()
		entry := set.Add(func(error) {})
		startDrain(t.Context(), &d, set, DrainOptions{AcceptLong: 10 * time.Millisecond, AcceptAll: 300 * time.Millisecond})
		waitFor(t, "requests that may take long are refused", d.RefusesLong)
		assert.Assert(t, !d.Refuses())
		waitFor(t, "all requests are refused", d.Refuses)
		set.Remove(entry)
	})
	t.Run("cancels open requests when its context ends", func(t *testing.T) {
		d, set := Drain{}, NewSet()
		var cause error
		entry := set.Add(nil)
		entry.cancel = func(err error) {
			cause = err
			go set.Remove(entry)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		assert.Equal(t, <-startDrain(ctx, &d, set, DrainOptions{Cause: errStop}), 1)
		assert.ErrorIs(t, cause, errStop)
	})
}
