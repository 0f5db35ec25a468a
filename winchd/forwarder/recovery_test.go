package forwarder

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// startLimit is the maximum time for the start of a host while other tests run.
	startLimit = 15 * time.Second
	// secondAttemptLimit is the maximum time of a second attempt: twice the target response time, which
	// is 200 ms in platformtest.DeskConfiguration.
	secondAttemptLimit = 2 * 200 * time.Millisecond
)

// TestRestartOfAllHosts verifies that requests are served after all hosts were killed at once
// and restarted, also when the platform is unavailable at first.
func TestRestartOfAllHosts(t *testing.T) {
	t.Parallel()
	p := newPlatform(t)
	hosts := []*hostProcess{p.newHost("h-0"), p.newHost("h-1")}
	for _, h := range hosts {
		waitFor(t, startLimit, "the host to be ready", h.isReady)
		assert.Equal(t, h.request("/desk/x", "k1"), http.StatusOK)
	}
	t.Run("while the platform is available", func(t *testing.T) {
		killAll(hosts)
		startAll(hosts)
		assertServes(t, hosts)
	})
	t.Run("while the platform is unavailable", func(t *testing.T) {
		killAll(hosts)
		p.store.Fail(http.StatusServiceUnavailable)
		startAll(hosts)
		waitFor(t, startLimit, "a 503 response", func() bool { return hosts[0].request("/desk/x", "k1") == http.StatusServiceUnavailable })
		assert.Equal(t, hosts[0].request("/desk/x", "unknown"), http.StatusServiceUnavailable, "requests must not be rejected as unauthorized before the keys are known")
		p.store.Fail(0)
		assertServes(t, hosts)
	})
}

func killAll(hosts []*hostProcess) {
	for _, h := range hosts {
		h.kill()
	}
}

func startAll(hosts []*hostProcess) {
	for _, h := range hosts {
		h.start()
	}
}

// assertServes waits until each host is ready, and checks that it serves all requests from then on.
func assertServes(t *testing.T, hosts []*hostProcess) {
	t.Helper()
	for _, h := range hosts {
		waitFor(t, startLimit, "the host to be ready", h.isReady)
		for range 20 {
			assert.Equal(t, h.request("/desk/x", "k1"), http.StatusOK)
			assert.Equal(t, h.request("/open/x", ""), http.StatusOK)
		}
		assert.Equal(t, h.request("/desk/x", "unknown"), http.StatusUnauthorized)
	}
}

// TestUnresponsiveLinks verifies that hosts cope with connections that stay open but transfer no data.
func TestUnresponsiveLinks(t *testing.T) {
	t.Parallel()
	t.Run("to an endpoint", func(t *testing.T) {
		p := newPlatform(t)
		h := p.newHost("h-0")
		waitFor(t, startLimit, "the host to be ready", h.isReady)
		// Successful requests add to the retry budget that the cut link uses up.
		for range 60 {
			assert.Equal(t, h.request("/desk/x", "k1"), http.StatusOK)
		}
		// The host has sent requests to at least one of the two endpoints; that link is cut.
		active := 0
		if p.endpoints[active].Ran() == 0 {
			active = 1
		}
		p.links[active].Cut(t)
		for range 10 {
			requestedAt := time.Now()
			assert.Equal(t, h.request("/desk/x", "k1"), http.StatusOK)
			// The first attempt is aborted after 2.5 times the target response time, 500 ms.
			assert.Assert(t, time.Since(requestedAt) < 500*time.Millisecond+secondAttemptLimit, "%s", time.Since(requestedAt))
		}
		p.links[active].Heal(t)
		p.links[1-active].Cut(t)
		waitFor(t, startLimit, "requests to be served by the healed endpoint", func() bool { return h.request("/desk/x", "k1") == http.StatusOK })
	})
	t.Run("to the store", func(t *testing.T) {
		p := newPlatform(t)
		h := p.newHost("h-0")
		waitFor(t, startLimit, "the host to be ready", h.isReady)
		p.storeLink.Cut(t)
		cutAt := time.Now()
		assert.Equal(t, h.request("/desk/x", "k1"), http.StatusOK)
		waitFor(t, startLimit, "the keys to expire", func() bool { return h.request("/desk/x", "k1") == http.StatusServiceUnavailable })
		// The limit is the setting Bounds.Revoke of newHost.
		assert.Assert(t, time.Since(cutAt) < 4*time.Second, "a key withdrawn in the meantime would admit requests for %s", time.Since(cutAt))
		assert.Equal(t, h.request("/open/x", ""), http.StatusOK, "open routes must still be served")
		p.storeLink.Heal(t)
		healedAt := time.Now()
		waitFor(t, startLimit, "the keys to be accepted again", func() bool { return h.request("/desk/x", "k1") == http.StatusOK })
		assert.Assert(t, time.Since(healedAt) < 2*time.Second, "keys were accepted again only after %s", time.Since(healedAt))
	})
}
