package relay

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

func TestPacer(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPacer(Settings{Self: "a", PollEvery: 600 * time.Millisecond, MaxAge: 1500 * time.Millisecond})
	t.Run("reads while nothing is relayed", func(t *testing.T) {
		assert.Assert(t, p.Due(now))
		assert.Equal(t, p.Until(now), 600*time.Millisecond)
	})
	t.Run("ignores what the hub relays to itself", func(t *testing.T) {
		p.Received("a", now)
		assert.Assert(t, p.Due(now))
	})
	t.Run("does not read while a relayed reading is young enough", func(t *testing.T) {
		p.Received("b", now)
		p.Received("b", now.Add(-time.Second))
		assert.Assert(t, !p.Due(now.Add(1500*time.Millisecond)))
		assert.Assert(t, p.Due(now.Add(1501*time.Millisecond)))
	})
	t.Run("gives a slow source more time after each failed read", func(t *testing.T) {
		for _, want := range []time.Duration{600, 1200, 2400, 2400} {
			assert.Equal(t, p.ReadTimeout(), want*time.Millisecond)
			p.ReadDone(errors.New("timeout"))
		}
		p.ReadDone(nil)
		assert.Equal(t, p.ReadTimeout(), 600*time.Millisecond)
	})
	t.Run("reads less often after failed reads, unless it is the hub", func(t *testing.T) {
		for _, hub := range []winch.HostID{"a", "b", ""} {
			p := NewPacer(Settings{Self: "a", PollEvery: 600 * time.Millisecond, MaxAge: 1500 * time.Millisecond})
			if hub != "" {
				p.Received(hub, now)
			}
			for _, factor := range []time.Duration{1, 1, 1, 2, 3, 3} {
				if hub != "b" {
					factor = 1
				}
				assert.Equal(t, p.Until(now.Add(time.Minute)), factor*600*time.Millisecond)
				p.ReadDone(errors.New("busy"))
			}
			p.ReadDone(nil)
			assert.Equal(t, p.Until(now.Add(time.Minute)), 600*time.Millisecond)
		}
	})
	t.Run("its own reading serves as long as a relayed one", func(t *testing.T) {
		p := NewPacer(Settings{Self: "a", PollEvery: 600 * time.Millisecond, MaxAge: 1500 * time.Millisecond})
		p.Received("b", now)
		p.OwnReading(now.Add(2 * time.Second))
		assert.Assert(t, !p.Due(now.Add(3500*time.Millisecond)))
		assert.Assert(t, p.Due(now.Add(3501*time.Millisecond)))
	})
	t.Run("the hub and a host without one read at their interval", func(t *testing.T) {
		for _, hub := range []winch.HostID{"a", ""} {
			p := NewPacer(Settings{Self: "a", PollEvery: 600 * time.Millisecond, MaxAge: 1500 * time.Millisecond})
			if hub != "" {
				p.Received(hub, now)
			}
			p.OwnReading(now)
			assert.Assert(t, p.Due(now))
		}
	})
	t.Run("wakes when the reading gets too old", func(t *testing.T) {
		assert.Equal(t, p.Until(now), 600*time.Millisecond)
		assert.Equal(t, p.Until(now.Add(1400*time.Millisecond)), 101*time.Millisecond)
		assert.Equal(t, p.Until(now.Add(1499*time.Millisecond)), minInterval)
	})
}
