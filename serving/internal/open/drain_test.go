package open

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

var errStop = errors.New("stop")

// begin runs a stop, and returns the number of requests that it ended.
func begin(ctx context.Context, d *Drain, set *Set, stop Stop) <-chan int {
	ended := make(chan int, 1)
	go func() { ended <- d.Run(ctx, set, stop) }()
	return ended
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("not yet: %s", what)
	})
}

func TestDrain(t *testing.T) {
	t.Run("waits for a request that crosses the stop", func(t *testing.T) {
		d, set := Drain{}, NewSet()
		first := set.Add(func(error) {})
		ended := begin(t.Context(), &d, set, Stop{ReadinessDelay: time.Millisecond, Take: time.Minute})
		waitFor(t, "waits for the open request", func() bool {
			set.mutex.Lock()
			defer set.mutex.Unlock()
			return set.idle != nil
		})
		set.Remove(first)
		entry := set.Add(func(error) {})
		select {
		case <-ended:
			t.Fatal("the stop ended beside an open request")
		case <-time.After(2 * quietTime):
		}
		assert.Assert(t, d.Begun() && !d.Refuses(), "requests are still taken")
		set.Remove(entry)
		assert.Equal(t, <-ended, 0)
		assert.Assert(t, d.Refuses())
	})
	t.Run("refuses after a while", func(t *testing.T) {
		d, set := Drain{}, NewSet()
		entry := set.Add(func(error) {})
		begin(t.Context(), &d, set, Stop{TakeLong: 10 * time.Millisecond, Take: 300 * time.Millisecond})
		waitFor(t, "refuses what may take long", d.RefusesLong)
		assert.Assert(t, !d.Refuses())
		waitFor(t, "refuses all", d.Refuses)
		set.Remove(entry)
	})
	t.Run("ends what is open when its time is over", func(t *testing.T) {
		d, set := Drain{}, NewSet()
		var cause error
		entry := set.Add(nil)
		entry.cancel = func(err error) {
			cause = err
			go set.Remove(entry)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		assert.Equal(t, <-begin(ctx, &d, set, Stop{Cause: errStop}), 1)
		assert.ErrorIs(t, cause, errStop)
	})
}
