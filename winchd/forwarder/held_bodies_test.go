package forwarder

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch/internal/endlesstest"
	"github.com/arbutuswinch/winch/platform/wire"
)

// sendHeldBody sends all but the last byte of a body of the size and leaves the connection open. An error means that the host
// has refused the request, so it is ignored.
func (h *hostProcess) sendHeldBody(size int) net.Conn {
	h.platform.t.Helper()
	caller, err := net.DialTimeout("tcp", h.caller, time.Second)
	if err != nil {
		return nil
	}
	h.platform.t.Cleanup(func() { _ = caller.Close() })
	_ = caller.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = fmt.Fprintf(caller, "POST /open/x HTTP/1.1\r\nHost: a.example\r\n%s: held-%d\r\nContent-Length: %d\r\n\r\n", wire.RequestID, h.platform.requests.Add(1), size)
	_, _ = caller.Write(bytes.Repeat([]byte("x"), size-1))
	return caller
}

// TestHeldBodiesStayWithinTheMemory guards against a process that is killed for its memory because the bodies of open requests have no
// common bound (review/2): without one, these take 160 MiB.
func TestHeldBodiesStayWithinTheMemory(t *testing.T) {
	if testing.Short() {
		t.Skip("a process with the race detector takes several times the memory; make test checks it")
	}
	const callers, bodySize = 40, 4 << 20
	p := newPlatform(t)
	h := p.newHost("h-1")
	h.setMemoryLimit(endlesstest.HostMemory)
	waitFor(t, 10*time.Second, "the host is ready", h.isReady)
	held := sync.WaitGroup{}
	for range callers {
		held.Go(func() { h.sendHeldBody(bodySize) })
	}
	held.Wait()
	waitFor(t, 10*time.Second, "the host serves another request", func() bool { return h.request("/open/x", "") == 200 })
	peak := h.peakMemory()
	t.Logf("the process held at most %d kB", peak>>10)
	assert.Assert(t, peak < endlesstest.HostMemory)
}
