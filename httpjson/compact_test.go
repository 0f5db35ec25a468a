package httpjson

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

const compactLimit = 1000

// startCompact serves an echo of the name, and refuses the name "bad".
func startCompact(t *testing.T, compactor *Compactor) (string, *Traffic) {
	t.Helper()
	echo := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := message{}
		if err := Decode(w, r, compactLimit, &call); err != nil {
			WriteError(w, err)
			return
		}
		if call.Name == "bad" {
			WriteError(w, winch.ErrFenced)
			return
		}
		Write(w, http.StatusOK, call)
	})
	traffic := &Traffic{}
	server := httptest.NewUnstartedServer(compactor.Handler(echo))
	server.Listener = traffic.Listener(server.Listener)
	server.Start()
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), traffic
}

func callEcho(t *testing.T, address, name string, compactor *Compactor) error {
	t.Helper()
	client, err := NewClient(Options{Address: address, Timeout: time.Second, Compactor: compactor})
	assert.NilError(t, err)
	answer := message{}
	if err := client.Call(context.Background(), "/", message{Name: name}, &answer); err != nil {
		return err
	}
	assert.Equal(t, answer.Name, name)
	return nil
}

func TestCompactor(t *testing.T) {
	name := strings.Repeat("some-name ", 50)
	compactor := NewCompactor([]byte(`{"Name":"some-name `))
	t.Run("carries calls and answers in fewer bytes", func(t *testing.T) {
		address, traffic := startCompact(t, compactor)
		for range 3 {
			assert.NilError(t, callEcho(t, address, name, compactor))
		}
		compact := traffic.Sent() + traffic.Received()
		for range 3 {
			assert.NilError(t, callEcho(t, address, name, nil))
		}
		plain := traffic.Sent() + traffic.Received() - compact
		assert.Assert(t, compact*3 < plain, "compact %d, plain %d bytes", compact, plain)
	})
	t.Run("carries errors", func(t *testing.T) {
		address, _ := startCompact(t, compactor)
		assert.ErrorIs(t, callEcho(t, address, "bad", compactor), winch.ErrFenced)
	})
	t.Run("bounds bodies by their whole length", func(t *testing.T) {
		address, _ := startCompact(t, compactor)
		assert.ErrorIs(t, callEcho(t, address, strings.Repeat("a", compactLimit), compactor), winch.ErrInvalid)
	})
	t.Run("refuses another dictionary's bodies", func(t *testing.T) {
		address, _ := startCompact(t, NewCompactor([]byte("another dictionary")))
		assert.ErrorIs(t, callEcho(t, address, name, compactor), winch.ErrInvalid)
	})
}
