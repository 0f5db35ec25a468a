package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

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

// pausingBody is a body that waits before each piece.
type pausingBody struct {
	pieces []string
	pause  time.Duration
}

func (b *pausingBody) Read(p []byte) (int, error) {
	if len(b.pieces) == 0 {
		return 0, io.EOF
	}
	<-time.After(b.pause)
	count := copy(p, b.pieces[0])
	if b.pieces[0] = b.pieces[0][count:]; b.pieces[0] == "" {
		b.pieces = b.pieces[1:]
	}
	return count, nil
}

func TestSlowStreamIsNotCut(t *testing.T) {
	// Larger than the buffers between the handler and the connection.
	large := "id: 2\ndata: " + strings.Repeat("x", 64<<10) + "\n\n"
	ts := newTestServer(t, stubResponse{status: 200, reader: &pausingBody{pieces: []string{event(1), large, event(3)}, pause: 120 * time.Millisecond}})
	ts.server.options.Limits.WriteTimeout = 60 * time.Millisecond
	response := ts.post("/chat/x")
	assert.Assert(t, response.complete)
	assert.Equal(t, len(response.body), len(event(1)+large+event(3)))
}

func TestSlowCallerGetsALargeAnswer(t *testing.T) {
	body := strings.Repeat("x", 4<<20)
	ts := newTestServer(t, stubResponse{status: 200, body: body})
	ts.limitConnections()
	ts.server.options.Limits.WriteTimeout = 150 * time.Millisecond
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, ts.httpServer.URL+"/safe/x", bytes.NewReader([]byte("body")))
	assert.NilError(t, err)
	request.Host = "a.example"
	request.Header.Set("X-Id", "r1")
	request.Header.Set("X-Key", secret)
	response, err := ts.httpServer.Client().Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	received, buffer := 0, make([]byte, 128<<10)
	for received < len(body) {
		count, err := response.Body.Read(buffer)
		received += count
		if err != nil {
			break
		}
		<-time.After(time.Duration(count) * 400 * time.Millisecond / (1 << 20))
	}
	assert.Equal(t, received, len(body), "the caller reads at all times, 2.5 MB a second")
}
