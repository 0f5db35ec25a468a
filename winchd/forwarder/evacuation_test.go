package forwarder

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/platform/platformtest"
)

// evacuationBound is the time after which no request may reach an evacuated endpoint.
const evacuationBound = 5 * time.Second

// zoneEndpoint is an endpoint that remembers when the last request reached it.
type zoneEndpoint struct {
	*platformtest.Endpoint
	lastArrival atomic.Int64
}

func (e *zoneEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.lastArrival.Store(time.Now().UnixNano())
	e.Endpoint.ServeHTTP(w, r)
}

// evacuationSystem is a platform with an endpoint and a host in each of the zones a, b and c, and callers that send requests all the time.
type evacuationSystem struct {
	*simulatedPlatform
	zones  map[string]*zoneEndpoint
	hosts  []*hostProcess
	served atomic.Int64
	// refused counts the responses 503, and failed all other ones but 200.
	refused, failed atomic.Int64
	// paused keeps all callers from sending further requests, and open counts those that have no response yet.
	paused  atomic.Bool
	open    atomic.Int64
	stop    chan struct{}
	senders sync.WaitGroup
}

func startEvacuationSystem(t *testing.T) *evacuationSystem {
	t.Helper()
	s := &evacuationSystem{simulatedPlatform: newPlatform(t), zones: map[string]*zoneEndpoint{}, stop: make(chan struct{})}
	s.evacuate = evacuationBound
	s.store.Remove(platformtest.EndpointPrefix + "i-0")
	s.store.Remove(platformtest.EndpointPrefix + "i-1")
	for _, zone := range []string{"a", "b", "c"} {
		id := winch.EndpointID("z-" + zone)
		s.zones[zone] = &zoneEndpoint{Endpoint: platformtest.NewEndpoint(id)}
		assert.NilError(t, s.store.Register(id, "desk", winch.DataCentreID(zone), serve(t, s.zones[zone]), 64))
	}
	for _, zone := range []string{"a", "b", "c"} {
		s.zone = zone
		s.hosts = append(s.hosts, s.newHost("h-"+zone))
	}
	for _, h := range s.hosts {
		s.sendTo(h)
	}
	t.Cleanup(func() {
		close(s.stop)
		s.senders.Wait()
	})
	return s
}

// sendTo sends requests to the host, once it serves, until the test ends.
func (s *evacuationSystem) sendTo(h *hostProcess) {
	s.t.Helper()
	waitFor(s.t, 15*time.Second, "the host to serve", func() bool { return h.request("/open/x", "") == http.StatusOK })
	s.senders.Go(func() {
		pace := time.NewTicker(15 * time.Millisecond)
		defer pace.Stop()
		for {
			select {
			case <-s.stop:
				return
			case <-pace.C:
			}
			s.open.Add(1)
			if s.paused.Load() {
				s.open.Add(-1)
				continue
			}
			status := h.request("/open/x", "")
			s.open.Add(-1)
			switch status {
			case http.StatusOK:
				s.served.Add(1)
			case http.StatusServiceUnavailable:
				s.refused.Add(1)
			default:
				s.failed.Add(1)
			}
		}
	})
}

// requestEvacuation evacuates the zones as an operator does, and returns when the store has acknowledged it.
func (s *evacuationSystem) requestEvacuation(zones ...string) time.Time {
	for _, zone := range zones {
		s.store.Set("op/evacuate/"+zone, []byte("{}"))
	}
	return time.Now()
}

func (s *evacuationSystem) withdraw(zones ...string) {
	for _, zone := range zones {
		s.store.Remove("op/evacuate/" + zone)
	}
}

// waitForRequests waits until the endpoints of the zones have got requests after now.
func (s *evacuationSystem) waitForRequests(zones ...string) {
	s.t.Helper()
	since := time.Now().UnixNano()
	waitFor(s.t, 15*time.Second, "requests at the endpoints", func() bool {
		for _, zone := range zones {
			if s.zones[zone].lastArrival.Load() <= since {
				return false
			}
		}
		return true
	})
}

// assertEvacuated checks that no request reaches the zones later than the bound after the acknowledgement.
func (s *evacuationSystem) assertEvacuated(acknowledged time.Time, zones ...string) {
	s.t.Helper()
	<-time.After(time.Until(acknowledged.Add(evacuationBound + time.Second)))
	for _, zone := range zones {
		last := time.Unix(0, s.zones[zone].lastArrival.Load()).Sub(acknowledged)
		s.t.Logf("last request at %s %s after the acknowledgement", zone, last)
		assert.Check(s.t, last <= evacuationBound, "%s: %s", zone, last)
	}
}

func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	t.Parallel()
	s := startEvacuationSystem(t)
	s.waitForRequests("a", "b", "c")
	t.Run("one", func(t *testing.T) {
		refused, failed, served := s.refused.Load(), s.failed.Load(), s.served.Load()
		s.assertEvacuated(s.requestEvacuation("b"), "b")
		assert.Equal(t, s.refused.Load()+s.failed.Load(), refused+failed)
		assert.Assert(t, s.served.Load() > served+100, "%d served", s.served.Load()-served)
		s.waitForRequests("a", "c")
	})
	t.Run("a host that starts during one, while the store is up", func(t *testing.T) {
		acknowledged := s.zones["b"].lastArrival.Load()
		s.zone = "b"
		s.sendTo(s.newHost("h-new"))
		<-time.After(time.Second)
		assert.Equal(t, s.zones["b"].lastArrival.Load(), acknowledged)
	})
	t.Run("the store is unavailable", func(t *testing.T) {
		last, served := s.zones["b"].lastArrival.Load(), s.served.Load()
		s.store.Fail(http.StatusServiceUnavailable)
		<-time.After(3 * time.Second)
		assert.Equal(t, s.zones["b"].lastArrival.Load(), last)
		assert.Assert(t, s.served.Load() > served+100)
		s.store.Fail(0)
	})
	t.Run("two at once", func(t *testing.T) {
		s.assertEvacuated(s.requestEvacuation("a"), "a", "b")
		s.waitForRequests("c")
	})
	t.Run("all", func(t *testing.T) {
		failed := s.failed.Load()
		s.assertEvacuated(s.requestEvacuation("c"), "a", "b", "c")
		refused, served := s.refused.Load(), s.served.Load()
		<-time.After(time.Second)
		assert.Equal(t, s.served.Load(), served)
		assert.Assert(t, s.refused.Load() > refused+50, "requests are refused at once")
		assert.Equal(t, s.failed.Load(), failed)
	})
	t.Run("withdrawn", func(t *testing.T) {
		s.withdraw("a", "b", "c")
		s.waitForRequests("a", "b", "c")
	})
	t.Run("requested again while the withdrawal propagates", func(t *testing.T) {
		s.requestEvacuation("b")
		<-time.After(700 * time.Millisecond)
		s.withdraw("b")
		<-time.After(300 * time.Millisecond)
		s.assertEvacuated(s.requestEvacuation("b"), "b")
	})
}

func TestHostThatWasStoppedDuringAnEvacuation(t *testing.T) {
	// It continues with a list from before, and with requests that have waited for it.
	t.Parallel()
	s := startEvacuationSystem(t)
	s.waitForRequests("a", "b", "c")
	stopped := s.hosts[1].command.Process
	for range 8 {
		s.sendTo(s.hosts[1])
	}
	// A request whose send has begun when the host is stopped arrives once it continues, like one that a slow link holds.
	s.paused.Store(true)
	waitFor(t, 10*time.Second, "the open requests to end", func() bool { return s.open.Load() == 0 })
	assert.NilError(t, stopped.Signal(syscall.SIGSTOP))
	waitFor(t, 10*time.Second, "the host to stop", func() bool { return isStopped(t, stopped.Pid) })
	s.paused.Store(false)
	acknowledged := s.requestEvacuation("b")
	<-time.After(evacuationBound + time.Second)
	continued, served := time.Now(), s.served.Load()
	assert.NilError(t, stopped.Signal(syscall.SIGCONT))
	waitFor(t, 10*time.Second, "the host to serve", func() bool { return s.hosts[1].request("/open/x", "") == http.StatusOK })
	t.Logf("it serves again %s after it continued; %d were served meanwhile", time.Since(continued), s.served.Load()-served)
	s.assertEvacuated(acknowledged, "b")
}

// isStopped reports whether the process and all of its threads are stopped.
func isStopped(t *testing.T, pid int) bool {
	t.Helper()
	states, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	assert.NilError(t, err)
	for _, path := range states {
		state, err := os.ReadFile(path)
		assert.NilError(t, err)
		if fields := strings.Fields(string(state[strings.LastIndexByte(string(state), ')')+1:])); fields[0] != "T" {
			return false
		}
	}
	return len(states) > 0
}
