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
	// target is twice the route's target response time: a first attempt may have to be aborted.
	target = 2 * 200 * time.Millisecond
)

// TestAllHostsComeBack verifies that requests are served after all hosts were killed at once
// and restarted, also when the platform is unavailable at first.
func TestAllHostsComeBack(t *testing.T) {
	t.Parallel()
	p := newPlatform(t)
	hosts := []*hostProcess{p.newHost("h-0"), p.newHost("h-1")}
	for _, h := range hosts {
		within(t, startLimit, "the first start", h.isReady)
		assert.Equal(t, h.ask("/desk/x", "k1"), http.StatusOK)
	}
	t.Run("while the platform answers", func(t *testing.T) {
		killAll(hosts)
		startAll(hosts)
		assertServes(t, hosts)
	})
	t.Run("while the platform is away", func(t *testing.T) {
		killAll(hosts)
		p.store.Fail(http.StatusServiceUnavailable)
		startAll(hosts)
		within(t, startLimit, "an answer", func() bool { return hosts[0].ask("/desk/x", "k1") == http.StatusServiceUnavailable })
		assert.Equal(t, hosts[0].ask("/desk/x", "unknown"), http.StatusServiceUnavailable, "nobody is turned away before keys are known")
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
		within(t, startLimit, "the start", h.isReady)
		for range 20 {
			assert.Equal(t, h.ask("/desk/x", "k1"), http.StatusOK)
			assert.Equal(t, h.ask("/open/x", ""), http.StatusOK)
		}
		assert.Equal(t, h.ask("/desk/x", "unknown"), http.StatusUnauthorized)
	}
}

// TestSilentLinks verifies that hosts cope with connections that stay open but transfer no data.
func TestSilentLinks(t *testing.T) {
	t.Parallel()
	t.Run("to an endpoint", func(t *testing.T) {
		p := newPlatform(t)
		h := p.newHost("h-0")
		within(t, startLimit, "the start", h.isReady)
		// Successful requests add to the retry budget that the cut link uses up.
		for range 60 {
			assert.Equal(t, h.ask("/desk/x", "k1"), http.StatusOK)
		}
		used := 0
		if p.endpoints[used].Ran() == 0 {
			used = 1
		}
		p.links[used].Cut(t)
		for range 10 {
			asked := time.Now()
			assert.Equal(t, h.ask("/desk/x", "k1"), http.StatusOK)
			// A slow attempt is aborted after 2.5 times the target; the second attempt is fast.
			assert.Assert(t, time.Since(asked) < 500*time.Millisecond+target, "%s", time.Since(asked))
		}
		p.links[used].Heal(t)
		p.links[1-used].Cut(t)
		within(t, startLimit, "the endpoint to run requests again", func() bool { return h.ask("/desk/x", "k1") == http.StatusOK })
	})
	t.Run("to the store", func(t *testing.T) {
		p := newPlatform(t)
		h := p.newHost("h-0")
		within(t, startLimit, "the start", h.isReady)
		p.storeLink.Cut(t)
		silent := time.Now()
		assert.Equal(t, h.ask("/desk/x", "k1"), http.StatusOK)
		within(t, startLimit, "keys to be too old", func() bool { return h.ask("/desk/x", "k1") == http.StatusServiceUnavailable })
		assert.Assert(t, time.Since(silent) < 4*time.Second, "a key that is withdrawn meanwhile admits requests for %s", time.Since(silent))
		assert.Equal(t, h.ask("/open/x", ""), http.StatusOK, "routes without keys are served on")
		p.storeLink.Heal(t)
		healed := time.Now()
		within(t, startLimit, "keys to count again", func() bool { return h.ask("/desk/x", "k1") == http.StatusOK })
		assert.Assert(t, time.Since(healed) < 2*time.Second, "keys count again after %s", time.Since(healed))
	})
}
