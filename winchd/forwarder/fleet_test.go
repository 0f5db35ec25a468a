package forwarder

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/platform/platformtest"
)

// calls are the calls of one kind.
type calls struct {
	count int
	// connections are those on which the calls came, one for each host.
	connections map[string]bool
}

// price is that of one call in calls. The platform asks a tenth for the renewal of a lease.
func price(kind string) float64 {
	if kind == "kv-keep" {
		return 0.1
	}
	return 1
}

// countingStore counts the calls to a store by their kind.
type countingStore struct {
	http.Handler
	mu     sync.Mutex
	byKind map[string]*calls
}

func (s *countingStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	kind := strings.TrimSpace(name + " " + query.Get("prefix") + query.Get("key"))
	s.mu.Lock()
	if s.byKind[kind] == nil {
		s.byKind[kind] = &calls{connections: map[string]bool{}}
	}
	s.byKind[kind].count++
	s.byKind[kind].connections[r.RemoteAddr] = true
	s.mu.Unlock()
	s.Handler.ServeHTTP(w, r)
}

// costs returns the price of the calls since the last time, and what it would be with more hosts by the given factor: calls that
// more hosts make than perform duties are made by each host.
func (s *countingStore) costs(t *testing.T, factor float64) (cost, larger float64) {
	t.Helper()
	const maxDutyHosts = 12
	s.mu.Lock()
	defer s.mu.Unlock()
	for kind, made := range s.byKind {
		part := price(kind) * float64(made.count)
		t.Logf("%-32s %6.1f by %d hosts", kind, part, len(made.connections))
		cost += part
		if len(made.connections) > maxDutyHosts {
			part *= factor
		}
		larger += part
	}
	s.byKind = map[string]*calls{}
	return cost, larger
}

// TestHostsOfALargeFleetSeldomCallThePlatform starts more hosts than report to one hub, with the endpoints of a large site.
func TestHostsOfALargeFleetSeldomCallThePlatform(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 48 processes")
	}
	const (
		hosts     = 48
		endpoints = 240
		measured  = 8 * time.Second
		// largeHosts is the number of hosts for which maxCalls, the calls a second that each of them may make at rest, is stated.
		largeHosts = 300
		maxCalls   = 0.2
		// maxFirstCalls is the number of calls a host may make until it is ready and knows the others.
		maxFirstCalls = 15
	)
	counting := &countingStore{byKind: map[string]*calls{}}
	p := &simulatedPlatform{t: t, store: platformtest.NewStore(), apply: 4 * time.Second}
	p.store.SetPage(500)
	counting.Handler = p.store
	p.storeAddress = serve(t, counting)
	p.dutyAddress = serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	p.store.Set(platformtest.ConfigurationKey, []byte(platformtest.DeskConfiguration))
	for i := range endpoints {
		assert.NilError(t, p.store.Register(winch.EndpointID(fmt.Sprintf("i-%03d", i)), "desk", "a", fmt.Sprintf("127.0.0.1:%d", 20_000+i), 8))
	}
	started := []*hostProcess{}
	for i := range hosts {
		started = append(started, p.newHost(fmt.Sprintf("host-%02d", i)))
	}
	for _, host := range started {
		waitFor(t, 30*time.Second, "ready", host.isReady)
	}
	<-time.After(5 * time.Second)
	first, _ := counting.costs(t, 1)
	assert.Assert(t, first <= hosts*maxFirstCalls, "%.1f calls until the fleet has settled", first)
	<-time.After(measured)
	_, atRest := counting.costs(t, float64(largeHosts)/hosts)
	assert.Assert(t, atRest <= maxCalls*largeHosts*measured.Seconds(), "%.1f calls at rest", atRest)
}
