package forwarder

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/crowdtest"
	"github.com/arbutuswinch/winch/internal/linktest"
	"github.com/arbutuswinch/winch/platform/platformtest"
	"github.com/arbutuswinch/winch/platform/wire"
)

const (
	// crowdMemory is Limits.Memory of a host that meets a crowd, in bytes. The smallest hosts have 112 MB.
	crowdMemory = 80_000_000
	// crowdDescriptors is the number of files that its process may open.
	crowdDescriptors = 512
	// crowdBodyLimit is max_body_bytes of its configuration.
	crowdBodyLimit = 1 << 20
	// overLimit is how many times the legal size a body over the limit has.
	overLimit = 4
	// legalHeads is the number of heads of legal size. They have legalFields bytes of short fields, which leaves room for the others
	// below max_header_bytes, which is 16,384.
	legalHeads, legalFields = 400, 16384 - 512
	// largeAnswer is the size in bytes of the answers at largePath. Some two hundred of them take more than crowdMemory.
	largeAnswer = 1 << 20
	largePath   = "/open/large"
	// slowPath is that at which endpoints read bodies slowly: slowRead bytes every slowReadEvery.
	slowPath      = "/open/slow"
	slowRead      = 4 << 10
	slowReadEvery = 50 * time.Millisecond
)

// crowdEndpoint is an endpoint whose answers at largePath are large, and which reads slowly at slowPath.
type crowdEndpoint struct {
	*platformtest.Endpoint
	id winch.EndpointID
}

func (e crowdEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case largePath:
		e.serveLarge(w, r)
	case slowPath:
		readSlowly(r)
		e.Endpoint.ServeHTTP(w, r)
	default:
		e.Endpoint.ServeHTTP(w, r)
	}
}

func readSlowly(r *http.Request) {
	ticker := time.NewTicker(slowReadEvery)
	defer ticker.Stop()
	for {
		if _, err := io.CopyN(io.Discard, r.Body, slowRead); err != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-ticker.C:
		}
	}
}

func (e crowdEndpoint) serveLarge(w http.ResponseWriter, r *http.Request) {
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

// crowdPlace is where a crowd sends its requests.
type crowdPlace struct {
	// ready is set for the ready address; otherwise it is that for callers.
	ready bool
	path  string
}

var (
	crowdPlaces = map[string]crowdPlace{
		"route":         {path: "/open/x"},
		"no route":      {path: "/nowhere/x"},
		"ready address": {ready: true, path: "/"},
	}
	// oneRoute is the place of two kinds at once.
	oneRoute     = map[string]crowdPlace{"route": crowdPlaces["route"]}
	largeAnswers = map[string]crowdPlace{"route": {path: largePath}}
	slowBodies   = map[string]crowdPlace{"route": {path: slowPath}}
)

// meetCrowds lets crowds of the kinds come at each place to a host of its own.
func meetCrowds(t *testing.T, places map[string]crowdPlace, kinds ...crowdtest.Kind) {
	t.Helper()
	if testing.Short() {
		t.Skip("starts large crowds, and the race detector takes several times the memory")
	}
	for name, place := range places {
		t.Run(name, func(t *testing.T) {
			h := newCrowdHost(t)
			met := crowdtest.Process{
				PID: h.command.Process.Pid, Addresses: []string{h.caller, h.ready},
				Limits: crowdtest.Limits{Memory: crowdMemory, Descriptors: crowdDescriptors},
				Serves: func() bool { return h.request("/open/x", "") == http.StatusOK && h.isReady() },
			}
			address := h.caller
			if place.ready {
				address = h.ready
			}
			met.Meet(t, crowdtest.Place{Address: address, Path: place.path, Fields: h.requestID}, kinds...)
		})
	}
}

// requestID returns the field with the id of one request.
func (h *hostProcess) requestID() string {
	return fmt.Sprintf("%s: r%d\r\n", wire.RequestID, h.platform.requests.Add(1))
}
