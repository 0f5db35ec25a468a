package forwarder

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/porttest"
	"github.com/arbutuswinch/winch/platform/platformtest"
	"github.com/arbutuswinch/winch/platform/wire"
)

// fleet is a set of versionedEngines that register in the store.
type fleet struct {
	t     *testing.T
	store *platformtest.Store
	// unversioned makes the engines register without their version.
	unversioned bool
	// idleTime is how long the engines say that they keep idle connections, empty if they do not say it.
	idleTime string
	engines  []*versionedEngine
}

// versionedEngine is an engine whose events hold its software version, and that continues streams of any version.
type versionedEngine struct {
	fleet   *fleet
	address string

	mu      sync.Mutex
	id      winch.EndpointID
	version string
	server  *http.Server
	// listener is nil while the link to the engine is lost.
	listener net.Listener
	// limit is the limit that the engine names in its answers, empty for none.
	limit    string
	arrivals []time.Time
}

func (e *versionedEngine) nameLimit(limit string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = limit
}

// recordArrival returns the limit to name.
func (e *versionedEngine) recordArrival() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals = append(e.arrivals, time.Now())
	return e.limit
}

// arrivedBetween counts the requests from one time to another one.
func (e *versionedEngine) arrivedBetween(from, to time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for _, at := range e.arrivals {
		if !at.Before(from) && at.Before(to) {
			count++
		}
	}
	return count
}

func newFleet(t *testing.T, store *platformtest.Store, versions ...string) *fleet {
	t.Helper()
	f := &fleet{t: t, store: store}
	addresses := porttest.Free(t, len(versions))
	for i, version := range versions {
		e := &versionedEngine{fleet: f, address: addresses[i], id: winch.EndpointID(fmt.Sprintf("e-%d", i)), version: version}
		f.engines = append(f.engines, e)
		e.start(0)
		t.Cleanup(e.crash)
	}
	return f
}

// start begins to serve, and registers after the delay.
func (e *versionedEngine) start(delay time.Duration) {
	listener := e.listen()
	if listener == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	run := &engineRun{engine: e, id: e.id, version: e.version, born: time.Now().UnixMilli()}
	e.server, e.listener = &http.Server{Handler: run}, listener
	go func(server *http.Server) { _ = server.Serve(listener) }(e.server)
	time.AfterFunc(delay, func() { e.register(run.id, run.version, run.born) })
}

// listen returns nil if the port cannot be opened, after it has reported that.
func (e *versionedEngine) listen() net.Listener {
	listener, err := net.Listen("tcp", e.address)
	for attempts := 0; err != nil && attempts < 50; attempts++ {
		// The port may be released a little later than its listener is closed.
		<-time.After(20 * time.Millisecond)
		listener, err = net.Listen("tcp", e.address)
	}
	if err != nil {
		e.fleet.t.Errorf("engine at %s: %v", e.address, err)
		return nil
	}
	return listener
}

// loseLink makes the engine, which goes on running, look as it does behind a router that rejects its traffic: new
// connections are refused, and open ones are reset with the next packet.
func (e *versionedEngine) loseLink() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.listener.Close()
	e.listener = nil
}

// restoreLink ends loseLink.
func (e *versionedEngine) restoreLink() {
	listener := e.listen()
	if listener == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listener = listener
	go func(server *http.Server) { _ = server.Serve(listener) }(e.server)
}

func (e *versionedEngine) isReachable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listener != nil
}

// reset resets the connection of the request.
func reset(w http.ResponseWriter) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, isTCP := connection.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

func (e *versionedEngine) register(id winch.EndpointID, version string, born int64) {
	entry := map[string]any{
		"service": "pool", "address": e.address, "zone": "a", "slots": 32, "state": "ready", "models": []map[string]any{{"name": "m"}}, "born": born,
	}
	if !e.fleet.unversioned {
		entry["version"] = version
	}
	encoded, err := json.Marshal(entry)
	if err != nil {
		e.fleet.t.Errorf("register engine %s: %v", id, err)
		return
	}
	e.fleet.store.Set(platformtest.EndpointPrefix+string(id), encoded)
}

// crash closes the port and all connections.
func (e *versionedEngine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != nil {
		_ = e.server.Close()
		e.server = nil
	}
}

// replace crashes the engine, and starts another one at its address later.
func (e *versionedEngine) replace(id winch.EndpointID, version string, downtime, listDelay time.Duration) {
	e.crash()
	<-time.After(downtime)
	e.mu.Lock()
	if id != e.id {
		e.fleet.store.Remove(platformtest.EndpointPrefix + string(e.id))
	}
	e.id, e.version = id, version
	e.mu.Unlock()
	e.start(listDelay)
}

// engineRun is one run of an engine, from its start to its crash.
type engineRun struct {
	engine  *versionedEngine
	id      winch.EndpointID
	version string
	born    int64
}

// ServeHTTP reports on the engine, or streams the events after the one that the caller has.
func (r *engineRun) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if !r.engine.isReachable() {
		reset(w)
		return
	}
	if request.URL.Path == "/report" {
		_ = json.NewEncoder(w).Encode(map[string]any{"running": 1, "born": r.born})
		return
	}
	header := w.Header()
	if idle := r.engine.fleet.idleTime; idle != "" {
		header.Set("Keep-Alive", "timeout="+idle)
	}
	header.Set(wire.RequestID, request.Header.Get(wire.RequestID))
	if platformtest.RefuseMisdirected(w, request, r.id) {
		return
	}
	if limit := r.engine.recordArrival(); limit != "" {
		header.Set(wire.EndpointLimit, limit)
	}
	after, _ := strconv.Atoi(request.Header.Get(wire.LastEvent))
	count, _ := strconv.Atoi(request.Header.Get(eventCountHeader))
	header.Set(wire.Signature, string(r.id))
	w.WriteHeader(http.StatusOK)
	for id := after + 1; id <= count; id++ {
		select {
		case <-request.Context().Done():
			return
		case <-time.After(eventInterval):
		}
		if !r.engine.isReachable() {
			reset(w)
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, r.version); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}
