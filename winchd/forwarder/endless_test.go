package forwarder

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/endlesstest"
	"github.com/arbutuswinch/winch/platform/wire"
)

// setMemoryLimit restarts the host with a memory limit in bytes.
func (h *hostProcess) setMemoryLimit(limit int) {
	h.platform.t.Helper()
	h.kill()
	encoded, err := os.ReadFile(h.path)
	assert.NilError(h.platform.t, err)
	settings := map[string]any{}
	assert.NilError(h.platform.t, json.Unmarshal(encoded, &settings))
	settings["Limits"] = map[string]any{"Memory": limit}
	encoded, err = json.Marshal(settings)
	assert.NilError(h.platform.t, err)
	assert.NilError(h.platform.t, os.WriteFile(h.path, encoded, 0o600))
	h.start()
}

// peakMemory returns the most memory that the host's process has held, in bytes.
func (h *hostProcess) peakMemory() int64 {
	h.platform.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.command.Process.Pid))
	assert.NilError(h.platform.t, err)
	_, after, found := strings.Cut(string(text), "VmHWM:")
	assert.Assert(h.platform.t, found, "the process has ended")
	value, _, _ := strings.Cut(strings.TrimSpace(after), " ")
	kilobytes, err := strconv.ParseInt(value, 10, 64)
	assert.NilError(h.platform.t, err)
	return kilobytes << 10
}

// readWhole sends a request and reads its response to the end. It returns the status, or zero if the response is not complete.
func (h *hostProcess) readWhole(path string) int {
	request, err := http.NewRequestWithContext(h.platform.t.Context(), http.MethodGet, "http://"+h.caller+path, nil)
	assert.Check(h.platform.t, err)
	request.Host = "a.example"
	request.Header.Set(wire.RequestID, fmt.Sprintf("r%d", h.platform.requests.Add(1)))
	request.Header.Set(wire.Deadline, "2000")
	return wholeStatus(http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}, request)
}

// endlessHeads returns the beginnings of responses that have no end. As a variable they would take some 60 MB and much processor time
// in each process of a host, which runs the same program.
func endlessHeads() map[string]struct{ head, body string } {
	return map[string]struct{ head, body string }{
		"body":         {"HTTP/1.1 400 Bad Request\r\n\r\n", endlesstest.Letters()},
		"header lines": {"HTTP/1.1 200 OK\r\n", endlesstest.HeaderLines()},
	}
}

func TestHostServesOnBesideEndpointsThatAnswerWithoutEnd(t *testing.T) {
	const faulty, callers, silentAfter = 20, 100, 7 << 20
	for name, response := range endlessHeads() {
		t.Run(name, func(t *testing.T) {
			p := newPlatform(t)
			for number := range faulty {
				endpoint := endlesstest.ListenUntil(t, response.head, response.body, silentAfter)
				assert.NilError(t, p.store.Register(winch.EndpointID(fmt.Sprintf("f-%d", number)), "desk", "a", endpoint.Address, 8))
			}
			h := p.newHost("h-1")
			h.setMemoryLimit(endlesstest.HostMemory)
			waitFor(t, 10*time.Second, "the host is ready", h.isReady)
			open := sync.WaitGroup{}
			for range callers {
				open.Go(func() { h.readWhole("/open/x") })
			}
			waitFor(t, 10*time.Second, "a sound endpoint is reached", func() bool { return h.readWhole("/open/x") == http.StatusOK })
			open.Wait()
			peak := h.peakMemory()
			t.Logf("the process held at most %d kB", peak>>10)
			// Short runs use the race detector, which needs several times the memory, so that the bound is not checked.
			assert.Assert(t, testing.Short() || peak < endlesstest.HostMemory, "held %d bytes", peak)
			waitFor(t, 10*time.Second, "a sound endpoint is reached", func() bool { return h.readWhole("/open/x") == http.StatusOK })
		})
	}
}
