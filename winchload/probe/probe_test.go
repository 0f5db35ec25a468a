package probe

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fakeHost is a host on which a note takes effect after lag calls.
type fakeHost struct {
	mu    sync.Mutex
	known bool
	lag   int
	calls int
}

func (h *fakeHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.URL.Path == "/operator/notes" {
		committed := note{}
		_ = json.NewDecoder(r.Body).Decode(&committed)
		h.known, h.calls = committed.Added != nil, 0
		return
	}
	h.calls++
	accepts := h.known
	if h.calls <= h.lag {
		accepts = !h.known
	}
	if !accepts {
		w.WriteHeader(http.StatusUnauthorized)
	}
}

func TestAddAndWithdraw(t *testing.T) {
	fake := &fakeHost{lag: 2}
	running := httptest.NewServer(fake)
	defer running.Close()
	address := strings.TrimPrefix(running.URL, "http://")
	prober := New(Options{Hosts: []Host{{Caller: address, Operator: address}}, Organisation: "o"})
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	prober.addAndWithdraw(ctx, 1)
	assert.Equal(t, prober.measured.Applied, 2)
	assert.Assert(t, prober.measured.InForce[0] >= milliseconds(pollInterval))
	assert.Assert(t, prober.measured.InForce[0] < milliseconds(quietPeriod))
	assert.Assert(t, prober.measured.UsedAfter[0] >= milliseconds(pollInterval))
	assert.Assert(t, prober.measured.UsedAfter[0] < milliseconds(quietPeriod))
}
