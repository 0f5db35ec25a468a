package noretry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// answer is a response of the test's server.
type answer struct {
	status int
	id     string
	// otherID is the ID of a second field if it is not empty.
	otherID string
}

// sendAll sends a call for each answer, on one connection if possible, and returns the error of the last one.
func sendAll(t *testing.T, answers ...answer) error {
	t.Helper()
	served := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		next := answers[served]
		served++
		if next.id != "" {
			w.Header().Set(requestIDHeader, next.id)
		}
		if next.otherID != "" {
			w.Header().Add(requestIDHeader, next.otherID)
		}
		w.WriteHeader(next.status)
	}))
	defer server.Close()
	transport := New(Options{})
	defer transport.Close()
	var err error
	for range answers {
		var response *http.Response
		call := winch.Call{Method: http.MethodPost, Repeatable: true}
		if response, err = transport.Send(t.Context(), server.URL, call, http.Header{requestIDHeader: {"own"}}); err == nil {
			_, readErr := io.ReadAll(response.Body)
			assert.NilError(t, readErr)
			assert.NilError(t, response.Body.Close())
		}
	}
	return err
}

func TestRefusalIsOnlyBelievedForTheCallThatItAnswers(t *testing.T) {
	ok := answer{status: http.StatusOK, id: "own"}
	t.Run("of another call", func(t *testing.T) {
		assert.ErrorIs(t, sendAll(t, ok, answer{status: http.StatusServiceUnavailable, id: "other"}), winch.ErrResponseMismatch)
	})
	t.Run("without an id on a connection that has carried other calls", func(t *testing.T) {
		assert.ErrorIs(t, sendAll(t, ok, answer{status: http.StatusServiceUnavailable}), winch.ErrResponseMismatch)
	})
	t.Run("without an id on a new connection", func(t *testing.T) {
		assert.NilError(t, sendAll(t, answer{status: http.StatusServiceUnavailable}))
	})
	t.Run("with the id of the call and another one", func(t *testing.T) {
		assert.ErrorIs(t, sendAll(t, answer{status: http.StatusServiceUnavailable, id: "own", otherID: "other"}), winch.ErrResponseMismatch)
		assert.ErrorIs(t, sendAll(t, answer{status: http.StatusOK, id: "own", otherID: "other"}), winch.ErrResponseMismatch)
	})
	t.Run("with the id of the call twice", func(t *testing.T) {
		assert.NilError(t, sendAll(t, answer{status: http.StatusOK, id: "own", otherID: "own"}))
	})
	t.Run("with the id of the call", func(t *testing.T) {
		assert.NilError(t, sendAll(t, ok, answer{status: http.StatusServiceUnavailable, id: "own"}))
	})
}
