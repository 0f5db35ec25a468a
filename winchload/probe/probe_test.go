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

// host is a fake host on which a note takes effect after lag calls.
type host struct {
	mu    sync.Mutex
	known bool
	lag   int
	calls int
}

func (h *host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.URL.Path == "/operator/notes" {
		taken := note{}
		_ = json.NewDecoder(r.Body).Decode(&taken)
		h.known, h.calls = taken.Added != nil, 0
		return
	}
	h.calls++
	takes := h.known
	if h.calls <= h.lag {
		takes = !h.known
	}
	if !takes {
		w.WriteHeader(http.StatusUnauthorized)
	}
}

func TestCycle(t *testing.T) {
	fake := &host{lag: 2}
	running := httptest.NewServer(fake)
	defer running.Close()
	address := strings.TrimPrefix(running.URL, "http://")
	prober := New(Options{Hosts: []Host{{Caller: address, Operator: address}}, Organisation: "o"})
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	prober.addAndWithdraw(ctx, 1)
	assert.Equal(t, prober.seen.Applied, 2)
	assert.Assert(t, prober.seen.InForce[0] >= milliseconds(pollInterval))
	assert.Assert(t, prober.seen.InForce[0] < milliseconds(quiet))
	assert.Assert(t, prober.seen.UsedAfter[0] >= milliseconds(pollInterval))
	assert.Assert(t, prober.seen.UsedAfter[0] < milliseconds(quiet))
}
