package forwarder

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch/internal/endlesstest"
	"github.com/arbutuswinch/winch/platform/platformtest"
)

const (
	// hostCoreShare is the share of a core that a small host has, as a quota in each quotaPeriod.
	hostCoreShare = 0.4
	quotaPeriod   = 100 * time.Millisecond
	// deskTimeout is the timeout of the routes. Without an answer by then, a request has waited for the change of the configuration.
	deskTimeout = 2 * time.Second
	// maxConfigurationBytes is the size of the largest configuration that the platform's store accepts.
	maxConfigurationBytes = 1 << 20
)

// limitProcessor lets the host run only for its share of each period, until the returned function is called.
func (h *hostProcess) limitProcessor(t *testing.T) func() {
	stop, done := make(chan struct{}), make(chan struct{})
	quota := time.Duration(hostCoreShare * float64(quotaPeriod))
	go func() {
		defer close(done)
		for {
			assert.Check(t, h.command.Process.Signal(syscall.SIGCONT))
			select {
			case <-stop:
				return
			case <-time.After(quota):
			}
			assert.Check(t, h.command.Process.Signal(syscall.SIGSTOP))
			time.Sleep(quotaPeriod - quota)
		}
	}()
	return func() {
		close(stop)
		<-done
	}
}

// longestRequest sends requests to the host until the end of the time, and returns how long the slowest took and how many failed.
func (h *hostProcess) longestRequest(lasts time.Duration) (longest time.Duration, failed int) {
	mu, callers := sync.Mutex{}, sync.WaitGroup{}
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(quotaPeriod) {
		callers.Go(func() {
			started := time.Now()
			status := h.request("/open/x", "")
			mu.Lock()
			defer mu.Unlock()
			longest = max(longest, time.Since(started))
			if status != http.StatusOK {
				failed++
			}
		})
	}
	callers.Wait()
	return longest, failed
}

// TestRequestsDoNotWaitForManyTargets guards against a host that stops answering after a configuration whose routes have a latency target each
// and whose organisations have a priority each (review/6): its queues were linked under the lock that requests need.
func TestRequestsDoNotWaitForManyTargets(t *testing.T) {
	// The host is one of a machine with a single core.
	t.Setenv("GOMAXPROCS", "1")
	p := newPlatform(t)
	h := p.newHost("h-0")
	h.setMemoryLimit(endlesstest.HostMemory)
	assertServes(t, []*hostProcess{h})
	release := h.limitProcessor(t)
	defer release()
	version := 1
	change := func(t *testing.T, routes, organisations int) {
		version++
		encoded := platformtest.DeskConfigurationWithTargets(version, routes, organisations)
		assert.Assert(t, len(encoded) <= maxConfigurationBytes, "%d bytes", len(encoded))
		p.store.Set(platformtest.ConfigurationKey, encoded)
		longest, failed := h.longestRequest(5 * time.Second)
		t.Logf("%d routes and %d organisations: the slowest request took %s, at most %d MB", routes, organisations, longest, h.peakMemory()>>20)
		assert.Assert(t, longest < deskTimeout, "a request took %s", longest)
		assert.Equal(t, failed, 0)
		waitFor(t, startLimit, "the last route to be in force", func() bool {
			return h.request(fmt.Sprintf("/t-%d/x", routes-1), "") == http.StatusOK
		})
	}
	t.Run("350 routes and 10 organisations", func(t *testing.T) { change(t, 350, 10) })
	t.Run("as many routes as fit", func(t *testing.T) {
		if testing.Short() {
			t.Skip("the race detector makes decoding many times slower")
		}
		change(t, 5_000, 10)
		change(t, 5_001, 10)
		assert.Assert(t, h.peakMemory() < endlesstest.HostMemory, "the process held %d MB", h.peakMemory()>>20)
	})
	t.Run("as many priorities as fit", func(t *testing.T) {
		if testing.Short() {
			t.Skip("the race detector makes decoding many times slower")
		}
		change(t, 2_500, 9_000)
		assert.Assert(t, h.peakMemory() < endlesstest.HostMemory, "the process held %d MB", h.peakMemory()>>20)
	})
}
