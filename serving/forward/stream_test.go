package forward

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestStreams(t *testing.T) {
	fullStream := event(1) + event(2) + event(3)
	t.Run("relayed unchanged", func(t *testing.T) {
		ts := newTestServer(t, stubResponse{status: 200, body: fullStream})
		assert.DeepEqual(t, ts.post("/chat/x").body, fullStream)
		ts.assertResumePoints(0)
		assert.Equal(t, len(ts.usage), 1)
	})
	t.Run("resumes at another endpoint after the last complete event", func(t *testing.T) {
		ts := newTestServer(t, stubResponse{status: 200, body: event(1) + event(2) + "id: 3\nda", truncated: true}, stubResponse{status: 200, body: event(3)})
		response := ts.post("/plan/x")
		assert.Equal(t, response.body, fullStream)
		assert.Assert(t, response.complete)
		ts.assertResumePoints(0, 2)
		assert.Equal(t, len(ts.usage), 1, "a resumed stream counts as one request")
	})
	t.Run("is cut off if it may not be resumed", func(t *testing.T) {
		ts := newTestServer(t, stubResponse{status: 200, body: event(1) + "id: 2", truncated: true})
		response := ts.post("/chat/x")
		assert.Equal(t, response.body, event(1))
		assert.Assert(t, !response.complete)
		ts.assertResumePoints(0)
	})
	t.Run("an error of the second endpoint is not relayed", func(t *testing.T) {
		ts := newTestServer(t, stubResponse{status: 200, body: event(1), truncated: true}, stubResponse{status: 500, body: "failed"})
		response := ts.post("/plan/x")
		assert.Equal(t, response.body, event(1))
		assert.Assert(t, !response.complete)
	})
	t.Run("repeated events are not relayed", func(t *testing.T) {
		ts := newTestServer(t, stubResponse{status: 200, body: event(1) + event(2), truncated: true}, stubResponse{status: 200, body: event(2) + event(3)})
		response := ts.post("/plan/x")
		assert.Equal(t, response.body, event(1)+event(2))
		assert.Assert(t, !response.complete)
	})
	t.Run("resumes after the caller's last event", func(t *testing.T) {
		ts := newTestServer(t, stubResponse{status: 200, body: event(3), truncated: true}, stubResponse{status: 200, body: event(4)})
		assert.Equal(t, ts.post("/plan/x", "X-Last", "2").body, event(3)+event(4))
		ts.assertResumePoints(2, 3)
	})
	t.Run("events that the caller already has are not relayed", func(t *testing.T) {
		ts := newTestServer(t, stubResponse{status: 200, body: event(2) + event(3)}, stubResponse{status: 200, body: event(3)})
		assert.Equal(t, ts.post("/plan/x", "X-Last", "2").body, event(3))
	})
	t.Run("fails if it breaks before its first event", func(t *testing.T) {
		ts := newTestServer(t, stubResponse{status: 200, truncated: true})
		assert.Equal(t, ts.post("/chat/x").status, 502)
	})
}
