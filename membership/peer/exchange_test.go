package peer

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/arbutuswinch/winch"
)

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

// echoSection reports the id of its host and collects the ids that it receives.
type echoSection struct {
	self winch.HostID

	mu      sync.Mutex
	heard   map[string]bool
	digests map[winch.DataCentreID]bool
}

func (s *echoSection) Name() winch.SectionName { return "echo" }

func (s *echoSection) Report(time.Time) []byte {
	encoded, _ := json.Marshal([]string{string(s.self)})
	return encoded
}

func (s *echoSection) Collect(_ time.Time, _ winch.HostID, report []byte) error {
	return s.add(report)
}

func (s *echoSection) Summary(time.Time, winch.HostID) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := []string{}
	for name := range s.heard {
		names = append(names, name)
	}
	encoded, _ := json.Marshal(names)
	return encoded
}

func (s *echoSection) Apply(_, _ time.Time, _ winch.HostID, summary []byte) error {
	return s.add(summary)
}

func (s *echoSection) Digest(now time.Time, _ winch.DataCentreID) []byte { return s.Report(now) }

func (s *echoSection) ApplyDigest(_, _ time.Time, from winch.DataCentreID, _ []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.digests[from] = true
	return nil
}

func (s *echoSection) add(encoded []byte) error {
	names := []string{}
	if err := json.Unmarshal(encoded, &names); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		s.heard[name] = true
	}
	return nil
}

func (s *echoSection) counts() (int, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.heard), len(s.digests)
}

type testHost struct {
	table    *Table
	section  *echoSection
	exchange *Exchange
	server   *httptest.Server
	cancel   context.CancelFunc
}

func (h *testHost) stop() {
	h.cancel()
	h.server.CloseClientConnections()
	h.server.Close()
}

type fixedList []winch.Host

func (l *fixedList) List(context.Context) ([]winch.Host, error) { return *l, nil }

// startHosts starts a host for each id. The first letter of the id is the data centre: "a-1" is
// in data centre "a".
func startHosts(t *testing.T, ids ...string) map[string]*testHost {
	t.Helper()
	list := &fixedList{}
	hosts := map[string]*testHost{}
	for _, id := range ids {
		h := &testHost{}
		h.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			h.exchange.Handler().ServeHTTP(w, r)
		}))
		self := host(id, id[:1])
		self.PeerAddress = h.server.Listener.Addr().String()
		h.table = NewTable(self, nil, time.Second, time.Minute)
		h.section = &echoSection{self: self.ID, heard: map[string]bool{}, digests: map[winch.DataCentreID]bool{}}
		var err error
		h.exchange, err = New(Options{
			Table: h.table, Hosts: list, Sections: []winch.Section{h.section}, Clock: wallClock{}, Logger: hclog.NewNullLogger(),
			ExchangeEvery: 20 * time.Millisecond, DigestEvery: 20 * time.Millisecond, ListEvery: 100 * time.Millisecond, Timeout: 500 * time.Millisecond,
		})
		assert.NilError(t, err)
		*list = append(*list, self)
		hosts[id] = h
	}
	for _, h := range hosts {
		h.server.Start()
		ctx, cancel := context.WithCancel(context.Background())
		h.cancel = cancel
		go func() { _ = h.exchange.Run(ctx) }()
		t.Cleanup(h.stop)
	}
	return hosts
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}

func TestExchange(t *testing.T) {
	hosts := startHosts(t, "a-1", "a-2", "a-3", "b-1", "b-2")
	t.Run("reports reach every host of the data centre", func(t *testing.T) {
		waitFor(t, "three reports at each host of data centre a", func() bool {
			heard1, _ := hosts["a-1"].section.counts()
			heard2, _ := hosts["a-2"].section.counts()
			heard3, _ := hosts["a-3"].section.counts()
			return heard1 == 3 && heard2 == 3 && heard3 == 3
		})
	})
	t.Run("digests reach the other data centre's hub", func(t *testing.T) {
		waitFor(t, "a digest of data centre a at data centre b", func() bool {
			_, digests1 := hosts["b-1"].section.counts()
			_, digests2 := hosts["b-2"].section.counts()
			return digests1+digests2 > 0
		})
	})
	t.Run("every host knows all hosts", func(t *testing.T) {
		for _, h := range hosts {
			waitFor(t, "hosts of both data centres", func() bool {
				now := time.Now()
				return len(h.table.Hosts(now, "a")) == 3 && len(h.table.Hosts(now, "b")) == 2
			})
		}
	})
	t.Run("another host becomes the hub when the hub is killed", func(t *testing.T) {
		hub, _ := hosts["a-1"].table.Hub(time.Now(), "a")
		hosts[string(hub.ID)].stop()
		for id, h := range hosts {
			if id == string(hub.ID) || id[:1] != "a" {
				continue
			}
			waitFor(t, "a new hub", func() bool {
				next, _ := h.table.Hub(time.Now(), "a")
				return next.ID != hub.ID
			})
		}
	})
}

// delayedList returns an empty list on the first two reads.
type delayedList struct {
	mu    sync.Mutex
	reads int
	hosts []winch.Host
}

func (l *delayedList) List(context.Context) ([]winch.Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if l.reads < 3 {
		return nil, nil
	}
	return l.hosts, nil
}

func TestRereadsHostListWithoutPeers(t *testing.T) {
	table := NewTable(host("a-1", "a"), nil, time.Second, time.Minute)
	exchange, err := New(Options{
		Table: table, Hosts: &delayedList{hosts: []winch.Host{host("a-2", "a")}}, Clock: wallClock{}, Logger: hclog.NewNullLogger(),
		ListEvery: time.Hour,
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = exchange.Run(ctx) }()
	waitFor(t, "the other host, although the list is read once an hour", func() bool { return !table.knowsNoPeer() })
	assert.Equal(t, exchange.listPeriod(), time.Hour)
}
