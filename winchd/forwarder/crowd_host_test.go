package forwarder

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/linktest"
	"github.com/arbutuswinch/winch/platform/platformtest"
	"github.com/arbutuswinch/winch/platform/wire"
)

const (
	// crowdMemory is Limits.Memory of a host that meets a crowd, in bytes: that of the smallest hosts.
	crowdMemory = 112_000_000
	// crowdDescriptors is the number of files that its process may open.
	crowdDescriptors = 512
	// crowdBodyLimit is max_body_bytes of its configuration.
	crowdBodyLimit = 1 << 20
	// crowdHeadLimit is max_header_bytes of its configuration.
	crowdHeadLimit = 16384
	// largeAnswer is the size in bytes of the answers at largePath. Some two hundred of them take more than crowdMemory.
	largeAnswer = 1 << 20
	largePath   = "/open/large"
	// crowdSampleInterval is the time between two readings of what the process holds.
	crowdSampleInterval = 20 * time.Millisecond
)

// crowdEndpoint is an endpoint whose answers at largePath are large.
type crowdEndpoint struct {
	*platformtest.Endpoint
	id winch.EndpointID
}

func (e crowdEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != largePath {
		e.Endpoint.ServeHTTP(w, r)
		return
	}
	header := w.Header()
	header.Set(wire.EndpointID, string(e.id))
	header.Set(wire.RequestID, r.Header.Get(wire.RequestID))
	if platformtest.RefuseMisdirected(w, r, e.id) {
		return
	}
	header.Set(wire.Signature, string(e.id))
	header.Set("Content-Length", strconv.Itoa(largeAnswer))
	if _, err := w.Write(make([]byte, largeAnswer)); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// newCrowdHost starts a host with the limits of the tests of crowds, and two endpoints.
func newCrowdHost(t *testing.T) *hostProcess {
	t.Helper()
	p := &simulatedPlatform{t: t, store: platformtest.NewStore(), apply: 2 * time.Second, memory: crowdMemory, descriptors: crowdDescriptors}
	p.storeLink = linktest.New(t, serve(t, p.store))
	configuration := strings.Replace(platformtest.DeskConfiguration, `"max_body_bytes":4194304`, fmt.Sprintf(`"max_body_bytes":%d`, crowdBodyLimit), 1)
	assert.Assert(t, configuration != platformtest.DeskConfiguration)
	p.store.Set(platformtest.ConfigurationKey, []byte(configuration))
	for _, id := range []winch.EndpointID{"i-0", "i-1"} {
		assert.NilError(t, p.store.Register(id, "desk", "a", serve(t, crowdEndpoint{Endpoint: platformtest.NewEndpoint(id), id: id}), 8))
	}
	h := p.newHost("h-1")
	waitFor(t, 15*time.Second, "the host to be ready", h.isReady)
	waitFor(t, 15*time.Second, "the host to serve", func() bool { return h.request("/open/x", "") == http.StatusOK })
	return h
}

// holdings is the most that a process held at a time.
type holdings struct {
	// resident is its resident set in bytes, and unread the bytes that its connections received and it has not read. Both is their sum.
	resident, unread, both int64
	// descriptors is the number of its open files.
	descriptors int
}

// observer samples what a process holds.
type observer struct {
	h    *hostProcess
	most holdings
	stop chan struct{}
	done sync.WaitGroup
}

func (h *hostProcess) observe() *observer {
	o := &observer{h: h, stop: make(chan struct{})}
	o.done.Go(func() {
		ticker := time.NewTicker(crowdSampleInterval)
		defer ticker.Stop()
		for {
			o.sample()
			select {
			case <-o.stop:
				return
			case <-ticker.C:
			}
		}
	})
	return o
}

// end ends the sampling and returns the most that was seen.
func (o *observer) end() holdings {
	close(o.stop)
	o.done.Wait()
	return o.most
}

func (o *observer) sample() {
	resident, err := o.h.statusBytes("VmRSS:")
	if err != nil {
		return
	}
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", o.h.command.Process.Pid))
	if err != nil {
		return
	}
	unread := unreadBytes(o.h.caller) + unreadBytes(o.h.ready)
	o.most.resident, o.most.unread = max(o.most.resident, resident), max(o.most.unread, unread)
	o.most.both, o.most.descriptors = max(o.most.both, resident+unread), max(o.most.descriptors, len(files))
}

// statusBytes returns a size that the kernel states of the process. It fails if the process has ended.
func (h *hostProcess) statusBytes(field string) (int64, error) {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(h.command.Process.Pid), "status"))
	if err != nil {
		return 0, err
	}
	_, after, found := strings.Cut(string(text), field)
	if !found {
		return 0, os.ErrProcessDone
	}
	value, _, _ := strings.Cut(strings.TrimSpace(after), " ")
	kilobytes, err := strconv.ParseInt(value, 10, 64)
	return kilobytes << 10, err
}

// unreadBytes returns the bytes that wait in the receive buffers of connections to the address, which is one of 127.0.0.1.
func unreadBytes(address string) int64 {
	_, port, _ := strings.Cut(address, ":")
	number, err := strconv.Atoi(port)
	if err != nil {
		return 0
	}
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	local, sum := fmt.Sprintf("0100007F:%04X", number), int64(0)
	for line := range strings.Lines(string(text)) {
		// The fields are number, local address, remote address, state, and the queues in hexadecimal as SEND:RECEIVE. The receive
		// queue of a listener (state 0A) counts connections.
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[1] != local || fields[3] == "0A" {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		if size, err := strconv.ParseInt(queue, 16, 64); err == nil {
			sum += size
		}
	}
	return sum
}

// assertSound checks what must hold whatever a crowd does: the process lives, and held no more than its limits.
func (h *hostProcess) assertSound(t *testing.T, most holdings) {
	t.Helper()
	peak, err := h.statusBytes("VmHWM:")
	assert.NilError(t, err, "the process has ended")
	t.Logf("held at most %d kB resident (%d kB sampled), %d kB unread, %d kB both, %d descriptors",
		peak>>10, most.resident>>10, most.unread>>10, most.both>>10, most.descriptors)
	assert.Check(t, peak < crowdMemory, "held %d bytes, more than Limits.Memory", peak)
	assert.Check(t, most.both < crowdMemory, "held %d bytes with those that it had received and not read, more than Limits.Memory", most.both)
	assert.Check(t, most.descriptors < crowdDescriptors, "opened %d files, all that the process may", most.descriptors)
}
