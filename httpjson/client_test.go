package httpjson

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

type message struct{ Name string }

func newClient(t *testing.T, address string) *Client {
	t.Helper()
	client, err := NewClient(Options{Address: address, Secret: "secret-1", Timeout: time.Second})
	assert.NilError(t, err)
	return client
}

func assertStatusError(t *testing.T, status int, want error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "3")
		Write(w, status, errorResponse{Code: "some_code", Message: "text"})
	}))
	defer server.Close()
	err := newClient(t, server.Listener.Addr().String()).Call(context.Background(), "/", message{}, nil)
	assert.ErrorIs(t, err, want)
	response, found := StatusOf(err)
	assert.Assert(t, found)
	assert.Equal(t, response.Code, "some_code")
	assert.Equal(t, response.RetryAfter, 3*time.Second)
}

func TestClientErrors(t *testing.T) {
	t.Run("conflict", func(t *testing.T) { assertStatusError(t, http.StatusConflict, winch.ErrConflict) })
	t.Run("fenced", func(t *testing.T) { assertStatusError(t, http.StatusPreconditionFailed, winch.ErrFenced) })
	t.Run("rate limited", func(t *testing.T) { assertStatusError(t, http.StatusTooManyRequests, winch.ErrRateLimited) })
	t.Run("unavailable", func(t *testing.T) { assertStatusError(t, http.StatusServiceUnavailable, winch.ErrUnavailable) })
	t.Run("server error", func(t *testing.T) { assertStatusError(t, http.StatusInternalServerError, winch.ErrOutcomeUnknown) })
	t.Run("refused connection", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		address := listener.Addr().String()
		assert.NilError(t, listener.Close())
		err = newClient(t, address).Call(context.Background(), "/", message{}, nil)
		assert.ErrorIs(t, err, winch.ErrUnavailable)
	})
}

// newAbortingServer starts a server that responds to its first request. It counts each later
// request in executed and closes the connection without a response.
func newAbortingServer(t *testing.T, executed *atomic.Int64) string {
	t.Helper()
	first := &atomic.Bool{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if first.CompareAndSwap(false, true) {
			Write(w, http.StatusOK, message{Name: "first"})
			return
		}
		executed.Add(1)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestClientNeverRetries(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodGet} {
		t.Run(method+" aborted after it was read on a reused connection", func(t *testing.T) {
			executed := &atomic.Int64{}
			client := newClient(t, newAbortingServer(t, executed))
			assert.NilError(t, client.Do(context.Background(), method, "/", message{}, nil))
			err := client.Do(context.Background(), method, "/", message{Name: "once"}, nil)
			assert.ErrorIs(t, err, winch.ErrOutcomeUnknown)
			assert.Equal(t, executed.Load(), int64(1))
		})
	}
}

func TestRequireSecret(t *testing.T) {
	server := httptest.NewServer(RequireSecret("secret-1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := message{}
		if err := Decode(w, r, 64, &got); err != nil {
			WriteError(w, err)
			return
		}
		Write(w, http.StatusOK, got)
	})))
	defer server.Close()
	address := server.Listener.Addr().String()
	t.Run("accepts the secret", func(t *testing.T) {
		got := message{}
		assert.NilError(t, newClient(t, address).Call(context.Background(), "/", message{Name: "x"}, &got))
		assert.Equal(t, got.Name, "x")
	})
	t.Run("rejects another secret", func(t *testing.T) {
		client, err := NewClient(Options{Address: address, Secret: "wrong"})
		assert.NilError(t, err)
		assert.ErrorIs(t, client.Call(context.Background(), "/", message{}, nil), winch.ErrUnauthorized)
	})
	t.Run("of several secrets accepts each and tells of a rejection", func(t *testing.T) {
		rejections := atomic.Int64{}
		several := httptest.NewServer(RequireSecrets([]string{"newest", "former"}, func() { rejections.Add(1) }, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
		defer several.Close()
		for secret, want := range map[string]error{"newest": nil, "former": nil, "wrong": winch.ErrUnauthorized, "": winch.ErrUnauthorized} {
			client, err := NewClient(Options{Address: several.Listener.Addr().String(), Secret: secret})
			assert.NilError(t, err)
			assert.ErrorIs(t, client.Call(t.Context(), "/", message{}, nil), want)
		}
		assert.Equal(t, rejections.Load(), int64(2))
	})
	t.Run("rejects unknown fields", func(t *testing.T) {
		err := newClient(t, address).Call(context.Background(), "/", struct{ Other int }{1}, nil)
		assert.ErrorIs(t, err, winch.ErrInvalid)
	})
	t.Run("rejects a body over the limit", func(t *testing.T) {
		err := newClient(t, address).Call(context.Background(), "/", message{Name: string(make([]byte, 100))}, nil)
		assert.ErrorIs(t, err, winch.ErrInvalid)
	})
}
