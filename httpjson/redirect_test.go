package httpjson

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// TestRedirectsAreNotFollowed guards against a call that a faulty server passes on to another one, whose response would count as the call's
// own: a write would count as done.
func TestRedirectsAreNotFollowed(t *testing.T) {
	followed := atomic.Int64{}
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		followed.Add(1)
		_, _ = fmt.Fprint(w, "{}")
	}))
	defer target.Close()
	for _, status := range []int{
		http.StatusMovedPermanently, http.StatusFound, http.StatusSeeOther, http.StatusTemporaryRedirect, http.StatusPermanentRedirect,
	} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Location", target.URL)
				w.WriteHeader(status)
			}))
			defer server.Close()
			client := newClient(t, server.Listener.Addr().String())
			for name, err := range map[string]error{
				"POST": client.Call(t.Context(), "/", message{}, &message{}), "POST without a response": client.Call(t.Context(), "/", message{}, nil),
				"DELETE": client.Do(t.Context(), http.MethodDelete, "/", nil, nil), "GET": client.Fetch(t.Context(), "/", &message{}),
			} {
				assert.Check(t, err != nil, "%s was answered", name)
				assert.ErrorIs(t, err, winch.ErrOutcomeUnknown)
			}
			assert.Equal(t, followed.Load(), int64(0))
		})
	}
}
