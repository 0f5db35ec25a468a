package forwarder

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/linktest"
	"github.com/arbutuswinch/winch/platform/platformtest"
	"github.com/arbutuswinch/winch/platform/wire"
)

// A host that runs in its own process connects to endpoints from an IP address of its own, by which the links tell the hosts apart, and
// reads before each connection from a file which endpoints it cannot reach.

const (
	// sourceEnv is the environment variable with the IP address from which a host connects to endpoints.
	sourceEnv = "WINCH_TEST_SOURCE"
	// lostLinksEnv is the environment variable with the file of the links that a host has lost.
	lostLinksEnv = "WINCH_TEST_LOST_LINKS"
)

// lostLinks are the endpoints to which a host cannot connect.
type lostLinks struct {
	Addresses []string
	// Refused makes connections fail at once. Otherwise they hang.
	Refused bool
}

// controlDials sets dialControl in the process of a host that has sourceEnv.
func controlDials() {
	source, path := net.ParseIP(os.Getenv(sourceEnv)).To4(), os.Getenv(lostLinksEnv)
	if source == nil {
		return
	}
	dialControl = func(ctx context.Context, _, address string, raw syscall.RawConn) error {
		for lost := readLostLinks(path); slices.Contains(lost.Addresses, address); lost = readLostLinks(path) {
			if lost.Refused {
				return unix.ECONNREFUSED
			}
			select {
			case <-ctx.Done():
				return os.ErrDeadlineExceeded
			case <-time.After(20 * time.Millisecond):
			}
		}
		var bound error
		err := raw.Control(func(fd uintptr) { bound = unix.Bind(int(fd), &unix.SockaddrInet4{Addr: [4]byte(source)}) })
		if err != nil {
			return err
		}
		return bound
	}
}

func readLostLinks(path string) lostLinks {
	lost := lostLinks{}
	content, err := os.ReadFile(path)
	if err != nil {
		return lost
	}
	if err := json.Unmarshal(content, &lost); err != nil {
		fmt.Fprintln(os.Stderr, "read lost links:", err)
	}
	return lost
}

// cutKind is what becomes of connections to endpoints that a host cannot reach.
type cutKind int

const (
	// cutHangs: open connections carry nothing, and new ones hang.
	cutHangs cutKind = iota
	// cutResets: open connections are reset, and new ones are refused.
	cutResets
	// cutLivesOn: open connections go on, and new ones hang.
	cutLivesOn
)

// partition holds the links between the hosts and the endpoints.
type partition struct {
	t     *testing.T
	links []*linktest.Shared
	// sources and files are those of the hosts.
	sources map[*hostProcess]string
	files   map[*hostProcess]string
}

func newPartition(t *testing.T) *partition {
	t.Helper()
	return &partition{t: t, sources: map[*hostProcess]string{}, files: map[*hostProcess]string{}}
}

// addEndpoint returns the address at which hosts reach the endpoint at the address.
func (p *partition) addEndpoint(address string) string {
	p.t.Helper()
	link := linktest.NewShared(p.t, address)
	p.links = append(p.links, link)
	return link.Address()
}

// addHost returns what the environment of the host's process needs.
func (p *partition) addHost(h *hostProcess) []string {
	p.t.Helper()
	p.sources[h] = fmt.Sprintf("127.0.1.%d", len(p.sources)+1)
	p.files[h] = filepath.Join(p.t.TempDir(), "links.json")
	return []string{sourceEnv + "=" + p.sources[h], lostLinksEnv + "=" + p.files[h]}
}

// cut cuts the host off from the endpoints behind the links.
func (p *partition) cut(h *hostProcess, links []*linktest.Shared, kind cutKind) {
	p.t.Helper()
	lost := lostLinks{Refused: kind == cutResets}
	for _, link := range links {
		lost.Addresses = append(lost.Addresses, link.Address())
	}
	p.write(h, lost)
	for _, link := range links {
		switch kind {
		case cutHangs:
			link.Freeze(p.sources[h])
		case cutResets:
			link.Reset(p.sources[h])
		}
	}
}

// heal ends cut.
func (p *partition) heal(h *hostProcess) {
	p.t.Helper()
	p.write(h, lostLinks{})
	for _, link := range p.links {
		link.Heal(p.sources[h])
	}
}

// write replaces the file in one step, so that the host reads no part of it.
func (p *partition) write(h *hostProcess, lost lostLinks) {
	p.t.Helper()
	content, err := json.Marshal(lost)
	assert.NilError(p.t, err)
	next := p.files[h] + ".next"
	assert.NilError(p.t, os.WriteFile(next, content, 0o600))
	assert.NilError(p.t, os.Rename(next, p.files[h]))
}

// countedEndpoint is a plain service, or an engine that streams, and counts how often it has run each request.
type countedEndpoint struct {
	id winch.EndpointID

	mu   sync.Mutex
	runs map[string]int
}

const (
	// partitionWork is how long a countedEndpoint takes.
	partitionWork = 60 * time.Millisecond
	// partitionEvents is the number of events of a stream.
	partitionEvents = 3
)

func (e *countedEndpoint) runsOf(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

func (e *countedEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(wire.RequestID)
	w.Header().Set(wire.RequestID, id)
	w.Header().Set("Keep-Alive", "timeout=20")
	if platformtest.RefuseMisdirected(w, r, e.id) {
		return
	}
	e.mu.Lock()
	e.runs[id]++
	e.mu.Unlock()
	w.Header().Set(wire.Signature, string(e.id))
	for event := 1; event <= partitionEvents; event++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(partitionWork / partitionEvents):
		}
		if strings.HasPrefix(r.URL.Path, "/draft/") {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", event)
			_ = http.NewResponseController(w).Flush()
		}
	}
	if !strings.HasPrefix(r.URL.Path, "/draft/") {
		_, _ = fmt.Fprint(w, id)
	}
}
