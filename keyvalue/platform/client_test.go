package platform

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/httpjson"
)

// newClientOf returns a client of a server that gives every call the same response.
func newClientOf(t *testing.T, status int, response any) *Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, status, response)
	}))
	t.Cleanup(server.Close)
	client, err := New(Options{Address: strings.TrimPrefix(server.URL, "http://"), Timeout: time.Second})
	assert.NilError(t, err)
	return client
}

func TestClient(t *testing.T) {
	ctx := t.Context()
	entry := wireEntry{Key: "a", Value: []byte("v"), Version: 7}
	t.Run("get", func(t *testing.T) {
		got, err := newClientOf(t, http.StatusOK, getResponse{Found: true, Entry: &entry}).Get(ctx, "a")
		assert.NilError(t, err)
		assert.DeepEqual(t, got, winch.Entry{Key: "a", Value: []byte("v"), Version: 7})
	})
	t.Run("get of an absent key", func(t *testing.T) {
		_, err := newClientOf(t, http.StatusOK, getResponse{}).Get(ctx, "a")
		assert.Assert(t, errors.Is(err, winch.ErrNotFound))
	})
	t.Run("list", func(t *testing.T) {
		got, revision, err := newClientOf(t, http.StatusOK, listResponse{Entries: []wireEntry{entry}, Revision: 9}).List(ctx, "a")
		assert.NilError(t, err)
		assert.Equal(t, len(got), 1)
		assert.Equal(t, revision, winch.Version(9))
	})
	t.Run("put conflict", func(t *testing.T) {
		_, err := newClientOf(t, http.StatusConflict, struct{ Code string }{"conflict"}).Put(ctx, "a", nil, 3)
		assert.Assert(t, errors.Is(err, winch.ErrConflict))
	})
	t.Run("put with an unknown outcome", func(t *testing.T) {
		_, err := newClientOf(t, http.StatusInternalServerError, nil).Put(ctx, "a", nil, 3)
		assert.Assert(t, errors.Is(err, winch.ErrOutcomeUnknown))
	})
	t.Run("read with an internal server error", func(t *testing.T) {
		_, err := newClientOf(t, http.StatusInternalServerError, nil).Get(ctx, "a")
		assert.Assert(t, errors.Is(err, winch.ErrUnavailable))
	})
	t.Run("watch from a version that is no longer kept", func(t *testing.T) {
		_, _, err := newClientOf(t, http.StatusGone, struct{ Code string }{"compacted"}).Watch(ctx, "a", 1, time.Second)
		assert.Assert(t, errors.Is(err, ErrCompacted))
	})
}
