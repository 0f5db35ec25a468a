package engine

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/httpjson"
)

type fakeConfigurations struct {
	winch.Configurations
	configuration *winch.Configuration
}

func (f fakeConfigurations) Current() *winch.Configuration { return f.configuration }

type fakeMembership struct {
	winch.Membership
	hosts []winch.Host
}

// Self returns the first host.
func (f fakeMembership) Self() winch.Host                                 { return f.hosts[0] }
func (f fakeMembership) Hosts(time.Time, winch.DataCentreID) []winch.Host { return f.hosts }

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

type recorder struct {
	lock    sync.Mutex
	reports map[winch.EndpointID]winch.LoadReport
	events  []winch.CacheEvent
}

func (r *recorder) ObserveLoad(_ time.Time, report winch.LoadReport) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.reports[report.Endpoint] = report
}

func (r *recorder) ObserveCache(_ time.Time, event winch.CacheEvent) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.events = append(r.events, event)
}

// has waits for a load report as fakeEngine sends it, with 3 running requests, and for the
// given number of cache events.
func (r *recorder) has(id winch.EndpointID, events int) poll.Check {
	return func(poll.LogT) poll.Result {
		r.lock.Lock()
		defer r.lock.Unlock()
		if r.reports[id].Running == 3 && len(r.events) >= events {
			return poll.Success()
		}
		return poll.Continue("reports %v, events %v", r.reports, r.events)
	}
}

func fakeEngine(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/v1/load" {
			httpjson.Write(w, http.StatusOK, loadResponse{AsOf: time.Now(), Running: 3, State: "ready"})
			return
		}
		response := cacheResponse{Next: 5}
		if request.URL.Query().Get("after") == "0" {
			response.Events = []eventResponse{{Sequence: 5, Prefix: 1 << 63}}
		}
		httpjson.Write(w, http.StatusOK, response)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestReader(t *testing.T) {
	observer := &recorder{reports: map[winch.EndpointID]winch.LoadReport{}}
	configuration := &winch.Configuration{Endpoints: map[winch.EndpointID]winch.Endpoint{
		"e1":   {ID: "e1", DataCentre: "a", Kind: winch.EndpointEngine, Address: fakeEngine(t)},
		"dead": {ID: "dead", DataCentre: "a", Kind: winch.EndpointEngine, Address: "127.0.0.1:1"},
		"far":  {ID: "far", DataCentre: "b", Kind: winch.EndpointEngine, Address: "127.0.0.1:1"},
	}}
	reader, err := New(Options{
		Configurations: fakeConfigurations{configuration: configuration}, Clock: systemClock{}, Observer: observer,
		Membership: fakeMembership{hosts: []winch.Host{{ID: "h1", DataCentre: "a"}}}, Period: 5 * time.Millisecond,
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- reader.Run(ctx) }()
	poll.WaitOn(t, observer.has("e1", 1), poll.WithDelay(time.Millisecond))
	cancel()
	assert.ErrorIs(t, <-done, context.Canceled)
	t.Run("reads only endpoints of its data centre", func(t *testing.T) { assert.Equal(t, len(observer.reports), 1) })
	t.Run("passes each cache event on once", func(t *testing.T) { assert.Equal(t, len(observer.events), 1) })
}

func TestOwned(t *testing.T) {
	hosts := []winch.Host{{ID: "h1"}, {ID: "h2"}, {ID: "h3"}}
	endpoints := make([]winch.Endpoint, 300)
	for i := range endpoints {
		endpoints[i].ID = winch.EndpointID(fmt.Sprintf("e%d", i))
	}
	t.Run("assigns each endpoint to one host, evenly", func(t *testing.T) {
		total := 0
		for _, host := range hosts {
			count := len(Assigned(host, hosts, endpoints))
			assert.Assert(t, count > 70 && count < 130, "%s owns %d", host.ID, count)
			total += count
		}
		assert.Equal(t, total, len(endpoints))
	})
	t.Run("assigns a lost host's endpoints to the others", func(t *testing.T) {
		left := hosts[:2]
		assert.Equal(t, len(Assigned(left[0], left, endpoints))+len(Assigned(left[1], left, endpoints)), len(endpoints))
	})
}

func TestReport(t *testing.T) {
	now := time.Unix(1000, 0)
	t.Run("is never dated in the future", func(t *testing.T) {
		report, err := loadResponse{AsOf: now.Add(time.Hour)}.report(now, "e")
		assert.NilError(t, err)
		assert.Equal(t, report.AsOf, now)
	})
	t.Run("rejects negative loads", func(t *testing.T) {
		_, err := loadResponse{Running: -1}.report(now, "e")
		assert.ErrorIs(t, err, winch.ErrInvalid)
	})
	t.Run("rejects unknown states", func(t *testing.T) {
		_, err := loadResponse{State: "asleep"}.report(now, "e")
		assert.ErrorIs(t, err, winch.ErrInvalid)
	})
}
