package platform

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/httpjson"
)

type fakeMembership struct {
	winch.Membership
	self winch.HostID
}

func (m *fakeMembership) Self() winch.Host { return winch.Host{ID: m.self} }

func (m *fakeMembership) Hub(time.Time, winch.DataCentreID) (winch.Host, bool) {
	return winch.Host{ID: "hub"}, true
}

func (m *fakeMembership) Hosts(time.Time, winch.DataCentreID) []winch.Host {
	return []winch.Host{{ID: "hub"}, {ID: "host"}}
}

// orderInterface is a platform that answers every request with a list of endpoints.
type orderInterface struct {
	mu   sync.Mutex
	list []wireEndpoint
}

func (o *orderInterface) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	httpjson.Write(w, http.StatusOK, endpointsResponse{Endpoints: o.list})
}

func newEndpoints(t *testing.T, self winch.HostID, address string) *Endpoints {
	t.Helper()
	endpoints, err := NewEndpoints(EndpointsOptions{
		Address: address, DataCentre: "yard-1", Membership: &fakeMembership{self: self}, Clock: &fakeClock{},
	})
	assert.NilError(t, err)
	return endpoints
}

// exchange passes one report from the host to the hub, and the hub's summary back. It
// returns the summary.
func exchange(t *testing.T, host, hub *Endpoints) []byte {
	t.Helper()
	now := time.Time{}
	assert.NilError(t, hub.Collect(now, "host", host.Report(now)))
	summary := hub.Summary(now, "host")
	assert.NilError(t, host.Apply(now, now, "hub", summary))
	return summary
}

func TestEndpoints(t *testing.T) {
	leaves := time.Date(2026, 1, 1, 0, 0, 5, 0, time.UTC)
	platform := &orderInterface{list: []wireEndpoint{
		{ID: "b", Pool: "p", Supply: "cheap", State: "ready"},
		{ID: "a", Pool: "p", Supply: "steady", State: "starting"},
	}}
	server := httptest.NewServer(platform)
	defer server.Close()
	hub := newEndpoints(t, "hub", strings.TrimPrefix(server.URL, "http://"))
	host := newEndpoints(t, "host", strings.TrimPrefix(server.URL, "http://"))

	t.Run("there is no list before the first exchange", func(t *testing.T) {
		assert.Assert(t, host.Current() == nil)
	})
	t.Run("the first summary holds the whole list", func(t *testing.T) {
		hub.poll(t.Context())
		changed := host.Changed()
		exchange(t, host, hub)
		<-changed
		assert.DeepEqual(t, host.Current(), []winch.OrderedEndpoint{
			{ID: "a", DataCentre: "yard-1", Pool: "p", Supply: winch.SupplySteady, State: winch.EndpointStarting},
			{ID: "b", DataCentre: "yard-1", Pool: "p", Supply: winch.SupplyCheap, State: winch.EndpointReady},
		})
	})
	t.Run("the summary is empty without changes", func(t *testing.T) {
		assert.Equal(t, len(exchange(t, host, hub)), 0)
	})
	t.Run("later summaries hold only changes", func(t *testing.T) {
		platform.mu.Lock()
		platform.list[0].State, platform.list[0].LeavesAt = "leaving", &leaves
		platform.mu.Unlock()
		hub.poll(t.Context())
		summary := exchange(t, host, hub)
		assert.Assert(t, !strings.Contains(string(summary), `"a"`))
		assert.DeepEqual(t, host.Current(), hub.Current())
		assert.DeepEqual(t, host.Current()[1].LeavesAt, leaves)
	})
	t.Run("an empty list is distinct from no list", func(t *testing.T) {
		platform.mu.Lock()
		platform.list = nil
		platform.mu.Unlock()
		hub.poll(t.Context())
		exchange(t, host, hub)
		assert.Assert(t, host.Current() != nil)
		assert.Equal(t, len(host.Current()), 0)
	})
}
