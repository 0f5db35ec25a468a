package relay

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch/internal/dependency"
)

type fixedClock struct{ now time.Time }

func (c *fixedClock) Now() time.Time { return c.now }

func TestReader(t *testing.T) {
	clock, reads, failure := &fixedClock{now: time.Unix(1000, 0)}, 0, error(nil)
	log := bytes.Buffer{}
	logger := hclog.New(&hclog.LoggerOptions{Output: &log})
	r := NewReader(Settings{Self: "a", PollEvery: 600 * time.Millisecond, MaxAge: 1500 * time.Millisecond}, clock,
		dependency.New("source", hclog.NewNullLogger(), 1, 2), dependency.New("relayed", logger, 3, 4), func(_ context.Context, sent time.Time, limit time.Duration) error {
			assert.Assert(t, limit > 0 && limit <= 600*time.Millisecond<<min(reads, 2))
			assert.Equal(t, sent, clock.now)
			reads++
			return failure
		})
	t.Run("reads while nothing is relayed", func(t *testing.T) {
		r.Step(t.Context())
		assert.Equal(t, reads, 1)
	})
	t.Run("does not read what is relayed", func(t *testing.T) {
		r.Received("b", clock.now)
		r.Step(t.Context())
		assert.Equal(t, reads, 1)
	})
	t.Run("tells when what is relayed is too old, and when it is not any more", func(t *testing.T) {
		clock.now = clock.now.Add(2 * time.Second)
		r.Step(t.Context())
		assert.Equal(t, reads, 2)
		assert.Assert(t, strings.Contains(log.String(), "Event=3"), log.String())
		r.Received("b", clock.now)
		r.Step(t.Context())
		assert.Equal(t, reads, 2)
		assert.Assert(t, strings.Contains(log.String(), "Event=4"), log.String())
	})
	t.Run("reads less often while reads fail", func(t *testing.T) {
		clock.now, failure = clock.now.Add(time.Minute), errors.New("busy")
		for range 4 {
			r.Step(t.Context())
		}
		assert.Equal(t, reads, 6)
		assert.Equal(t, r.untilNextStep(), 1800*time.Millisecond)
	})
}
