package forward

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestStreams(t *testing.T) {
	whole := event(1) + event(2) + event(3)
	t.Run("passed on as it is", func(t *testing.T) {
		w := newWorld(t, answer{status: 200, body: whole})
		assert.DeepEqual(t, w.ask("/chat/x").body, whole)
		w.assertCalls(0)
		assert.Equal(t, len(w.usage), 1)
	})
	t.Run("goes on elsewhere after the last whole event", func(t *testing.T) {
		w := newWorld(t, answer{status: 200, body: event(1) + event(2) + "id: 3\nda", breaks: true}, answer{status: 200, body: event(3)})
		answered := w.ask("/plan/x")
		assert.Equal(t, answered.body, whole)
		assert.Assert(t, answered.whole)
		w.assertCalls(0, 2)
		assert.Equal(t, len(w.usage), 1, "a stream that moves is one request")
	})
	t.Run("ends without a proper end where it may not go on", func(t *testing.T) {
		w := newWorld(t, answer{status: 200, body: event(1) + "id: 2", breaks: true})
		answered := w.ask("/chat/x")
		assert.Equal(t, answered.body, event(1))
		assert.Assert(t, !answered.whole)
		w.assertCalls(0)
	})
	t.Run("a failure of the second endpoint is not taken for its rest", func(t *testing.T) {
		w := newWorld(t, answer{status: 200, body: event(1), breaks: true}, answer{status: 500, body: "failed"})
		answered := w.ask("/plan/x")
		assert.Equal(t, answered.body, event(1))
		assert.Assert(t, !answered.whole)
	})
	t.Run("events that come twice are not passed on", func(t *testing.T) {
		w := newWorld(t, answer{status: 200, body: event(1) + event(2), breaks: true}, answer{status: 200, body: event(2) + event(3)})
		answered := w.ask("/plan/x")
		assert.Equal(t, answered.body, event(1)+event(2))
		assert.Assert(t, !answered.whole)
	})
	t.Run("goes on after the caller's last event", func(t *testing.T) {
		w := newWorld(t, answer{status: 200, body: event(3), breaks: true}, answer{status: 200, body: event(4)})
		assert.Equal(t, w.ask("/plan/x", "X-Last", "2").body, event(3)+event(4))
		w.assertCalls(2, 3)
	})
	t.Run("events that the caller has are not passed on", func(t *testing.T) {
		w := newWorld(t, answer{status: 200, body: event(2) + event(3)}, answer{status: 200, body: event(3)})
		assert.Equal(t, w.ask("/plan/x", "X-Last", "2").body, event(3))
	})
	t.Run("breaks before its first event", func(t *testing.T) {
		w := newWorld(t, answer{status: 200, breaks: true})
		assert.Equal(t, w.ask("/chat/x").status, 502)
	})
}
