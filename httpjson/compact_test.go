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

const bodyLimit = 1000

// startEchoServer starts a server that returns the name it receives. It rejects the name "bad" with
// ErrFenced.
func startEchoServer(t *testing.T, compactor *Compactor) (string, *Traffic) {
	t.Helper()
	echo := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := message{}
		if err := Decode(w, r, bodyLimit, &call); err != nil {
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

func callEchoServer(t *testing.T, address, name string, compactor *Compactor) error {
	t.Helper()
	client, err := NewClient(Options{Address: address, Timeout: time.Second, Compactor: compactor})
	assert.NilError(t, err)
	response := message{}
	if err := client.Call(context.Background(), "/", message{Name: name}, &response); err != nil {
		return err
	}
	assert.Equal(t, response.Name, name)
	return nil
}

func TestCompactor(t *testing.T) {
	name := strings.Repeat("some-name ", 50)
	compactor := NewCompactor([]byte(`{"Name":"some-name `))
	t.Run("reduces the traffic of calls and responses", func(t *testing.T) {
		address, traffic := startEchoServer(t, compactor)
		for range 3 {
			assert.NilError(t, callEchoServer(t, address, name, compactor))
		}
		compact := traffic.Sent() + traffic.Received()
		for range 3 {
			assert.NilError(t, callEchoServer(t, address, name, nil))
		}
		plain := traffic.Sent() + traffic.Received() - compact
		assert.Assert(t, compact*3 < plain, "compact %d, plain %d bytes", compact, plain)
	})
	t.Run("passes errors through", func(t *testing.T) {
		address, _ := startEchoServer(t, compactor)
		assert.ErrorIs(t, callEchoServer(t, address, "bad", compactor), winch.ErrFenced)
	})
	t.Run("limits the decompressed size of bodies", func(t *testing.T) {
		address, _ := startEchoServer(t, compactor)
		// With its quotes and the field name, the name exceeds the limit.
		assert.ErrorIs(t, callEchoServer(t, address, strings.Repeat("a", bodyLimit), compactor), winch.ErrInvalid)
	})
	t.Run("rejects bodies of another dictionary", func(t *testing.T) {
		address, _ := startEchoServer(t, NewCompactor([]byte("another dictionary")))
		assert.ErrorIs(t, callEchoServer(t, address, name, compactor), winch.ErrInvalid)
	})
}
