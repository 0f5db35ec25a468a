package httpjson

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// slowServer sends a JSON string in parts, with a pause before each.
func slowServer(t *testing.T, status, parts int, pause time.Duration) *Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(status)
		controller := http.NewResponseController(w)
		_, _ = w.Write([]byte(`"`))
		for range parts {
			_ = controller.Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(pause):
			}
			_, _ = w.Write([]byte("x"))
		}
		_, _ = w.Write([]byte(`"`))
	}))
	t.Cleanup(server.Close)
	client, err := NewClient(Options{Address: strings.TrimPrefix(server.URL, "http://"), Timeout: time.Minute})
	assert.NilError(t, err)
	return client
}

func TestCallWithProgress(t *testing.T) {
	t.Run("goes on while bytes arrive", func(t *testing.T) {
		client, text, status := slowServer(t, http.StatusOK, 10, 50*time.Millisecond), "", 0
		progress := Progress{StallLimit: 300 * time.Millisecond, OnStatus: func(received int) { status = received }}
		assert.NilError(t, client.CallWithProgress(t.Context(), "/", struct{}{}, &text, progress))
		assert.Equal(t, text, strings.Repeat("x", 10))
		assert.Equal(t, status, http.StatusOK)
	})
	t.Run("ends when none arrive", func(t *testing.T) {
		client, started := slowServer(t, http.StatusOK, 1, time.Minute), time.Now()
		err := client.CallWithProgress(t.Context(), "/", struct{}{}, nil, Progress{StallLimit: 100 * time.Millisecond})
		assert.ErrorIs(t, err, winch.ErrOutcomeUnknown)
		assert.Assert(t, time.Since(started) < 10*time.Second)
	})
	t.Run("error responses keep their body", func(t *testing.T) {
		client := slowServer(t, http.StatusPreconditionFailed, 3, time.Millisecond)
		err := client.CallWithProgress(t.Context(), "/", struct{}{}, nil, Progress{StallLimit: 10 * time.Second})
		response, found := StatusOf(err)
		assert.Assert(t, found)
		assert.Equal(t, string(response.Body), `"xxx"`)
	})
}
