package forward

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestStreams(t *testing.T) {
	fullStream := event(1) + event(2) + event(3)
	t.Run("passed on as it is", func(t *testing.T) {
		ts := newTestServer(t, stubResponse{status: 200, body: fullStream})
		assert.DeepEqual(t, ts.post("/chat/x").body, fullStream)
		ts.assertCalls(0)
		assert.Equal(t, len(ts.usage), 1)
	})
	t.Run("goes on elsewhere after the last whole event", func(t *testing.T) {
		ts := newTestServer(t, stubResponse{status: 200, body: event(1) + event(2) + "id: 3\nda", truncated: true}, stubResponse{status: 200, body: event(3)})
		response := ts.post("/plan/x")
		assert.Equal(t, response.body, fullStream)
		assert.Assert(t, response.complete)
		ts.assertCalls(0, 2)
		assert.Equal(t, len(ts.usage), 1, "a stream that moves is one request")
	})
	t.Run("ends without a proper end where it may not go on", func(t *testing.T) {
		ts := newTestServer(t, stubResponse{status: 200, body: event(1) + "id: 2", truncated: true})
		response := ts.post("/chat/x")
		assert.Equal(t, response.body, event(1))
		assert.Assert(t, !response.complete)
		ts.assertCalls(0)
	})
	t.Run("a failure of the second endpoint is not taken for its rest", func(t *testing.T) {
		ts := newTestServer(t, stubResponse{status: 200, body: event(1), truncated: true}, stubResponse{status: 500, body: "failed"})
		response := ts.post("/plan/x")
		assert.Equal(t, response.body, event(1))
		assert.Assert(t, !response.complete)
	})
	t.Run("events that come twice are not passed on", func(t *testing.T) {
		ts := newTestServer(t, stubResponse{status: 200, body: event(1) + event(2), truncated: true}, stubResponse{status: 200, body: event(2) + event(3)})
		response := ts.post("/plan/x")
		assert.Equal(t, response.body, event(1)+event(2))
		assert.Assert(t, !response.complete)
	})
	t.Run("goes on after the caller's last event", func(t *testing.T) {
		ts := newTestServer(t, stubResponse{status: 200, body: event(3), truncated: true}, stubResponse{status: 200, body: event(4)})
		assert.Equal(t, ts.post("/plan/x", "X-Last", "2").body, event(3)+event(4))
		ts.assertCalls(2, 3)
	})
	t.Run("events that the caller has are not passed on", func(t *testing.T) {
		ts := newTestServer(t, stubResponse{status: 200, body: event(2) + event(3)}, stubResponse{status: 200, body: event(3)})
		assert.Equal(t, ts.post("/plan/x", "X-Last", "2").body, event(3))
	})
	t.Run("breaks before its first event", func(t *testing.T) {
		ts := newTestServer(t, stubResponse{status: 200, truncated: true})
		assert.Equal(t, ts.post("/chat/x").status, 502)
	})
}
