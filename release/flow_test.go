package release_test

import (
	"context"
	"encoding/json"
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
	"github.com/arbutuswinch/winch/keyvalue/memory"
	"github.com/arbutuswinch/winch/release/keyvalue"
	"github.com/arbutuswinch/winch/release/operator"
	"github.com/arbutuswinch/winch/release/peer"
)

// wallClock returns the system time.
type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

// system runs several hosts in the test process. They share one key-value service.
type system struct {
	t              testing.TB
	service        *memory.Store
	centres        []winch.DataCentreID
	hosts          map[winch.DataCentreID][]*member
	exchangedBytes int
	mu             sync.Mutex
}

// member is a host of the system. It also implements winch.Membership, as this host sees it.
type member struct {
	system      *system
	self        winch.Host
	store       *keyvalue.Store
	distributor *peer.Distributor
	handler     http.Handler
}

func (m *member) Self() winch.Host                  { return m.self }
func (m *member) DataCentres() []winch.DataCentreID { return m.system.centres }

func (m *member) Hosts(_ time.Time, centre winch.DataCentreID) []winch.Host {
	hosts := []winch.Host{}
	for _, other := range m.system.hosts[centre] {
		hosts = append(hosts, other.self)
	}
	return hosts
}

func (m *member) Hub(now time.Time, centre winch.DataCentreID) (winch.Host, bool) {
	return m.Hosts(now, centre)[0], true
}

func (m *member) Candidate(time.Time, winch.Duty, winch.DataCentreID) bool { return false }

func (m *member) RelaysReports(time.Time) bool { return false }

func (m *member) Rank(time.Time, winch.Duty, winch.DataCentreID) int { return 0 }

// settings are the durations of a system; zero stands for the default.
type settings struct {
	freshness, grace, margin, watch, exchange time.Duration
}

func newSystem(t testing.TB, s settings, centres, hosts int) *system {
	t.Helper()
	sys := &system{t: t, service: memory.New(), hosts: map[winch.DataCentreID][]*member{}}
	for c := range centres {
		centre := winch.DataCentreID(fmt.Sprintf("dc%d", c))
		sys.centres = append(sys.centres, centre)
		for h := range hosts {
			id := winch.HostID(fmt.Sprintf("host-%d-%d", c, h))
			sys.hosts[centre] = append(sys.hosts[centre], &member{system: sys, self: winch.Host{ID: id, DataCentre: centre}})
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	t.Cleanup(func() { cancel(); group.Wait() })
	for _, members := range sys.hosts {
		for _, m := range members {
			m.build(t, s)
		}
	}
	for _, members := range sys.hosts {
		for i, m := range members {
			group.Go(func() { _ = m.distributor.Run(ctx) })
			group.Go(func() { m.exchangeLoop(ctx, s.exchange, i == 0) })
		}
	}
	return sys
}

func (m *member) build(t testing.TB, s settings) {
	var err error
	incarnation := winch.Incarnation("start-" + m.self.ID)
	m.store, err = keyvalue.New(keyvalue.Options{KeyValue: m.system.service, Incarnation: incarnation})
	assert.NilError(t, err)
	m.distributor, err = peer.New(peer.Options{
		Membership: m, Log: m.store, Clock: wallClock{}, Incarnation: incarnation,
		FreshnessLimit: s.freshness, IsolationGrace: s.grace, Margin: s.margin, WatchWait: s.watch,
	})
	assert.NilError(t, err)
	handler, err := operator.New(operator.Options{Log: m.store, Tracker: m.distributor, Clock: wallClock{}})
	assert.NilError(t, err)
	m.handler = handler.Handler()
}

// exchangeLoop sends reports to the hub of the data centre once per period. A hub
// also exchanges digests with the other hubs.
func (m *member) exchangeLoop(ctx context.Context, period time.Duration, hub bool) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		m.exchange()
		if hub {
			m.exchangeDigests()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *member) exchange() {
	hub := m.system.hosts[m.self.DataCentre][0].distributor.Section()
	sent := time.Now()
	report := m.distributor.Section().Report(sent)
	assert.Check(m.system.t, hub.Collect(time.Now(), m.self.ID, report))
	summary := hub.Summary(time.Now(), m.self.ID)
	assert.Check(m.system.t, m.distributor.Section().Apply(time.Now(), sent, "", summary))
	m.system.addBytes(len(report) + len(summary))
}

func (m *member) exchangeDigests() {
	for _, centre := range m.system.centres {
		if centre == m.self.DataCentre {
			continue
		}
		other, sent := m.system.hosts[centre][0].distributor.Section(), time.Now()
		request := m.distributor.Section().Digest(sent, centre)
		assert.Check(m.system.t, other.ApplyDigest(time.Now(), time.Time{}, m.self.DataCentre, request))
		response := other.Digest(time.Now(), m.self.DataCentre)
		assert.Check(m.system.t, m.distributor.Section().ApplyDigest(time.Now(), sent, centre, response))
		m.system.addBytes(len(request) + len(response))
	}
}

func (s *system) addBytes(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exchangedBytes += bytes
}

func (s *system) totalBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.exchangedBytes
}

func (s *system) members() []*member {
	members := []*member{}
	for _, centre := range s.centres {
		members = append(members, s.hosts[centre]...)
	}
	return members
}

// status holds the fields of an operator response that the tests use.
type status struct {
	Revision winch.Revision
	Accepted bool
}

func (m *member) call(method, path, body string) (int, status) {
	recorder := httptest.NewRecorder()
	m.handler.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	response := status{}
	_ = json.Unmarshal(recorder.Body.Bytes(), &response)
	return recorder.Code, response
}

// allServeRevision waits until every host has the revision or a newer one and may serve
// all requests.
func (s *system) allServeRevision(revision winch.Revision) poll.Check {
	return func(poll.LogT) poll.Result {
		for _, m := range s.members() {
			if m.distributor.Current().Revision < revision || m.distributor.Authority(time.Now()) != winch.AuthorityFull {
				return poll.Continue("host %s", m.self.ID)
			}
		}
		return poll.Success()
	}
}

func (m *member) noteAccepted(note string) poll.Check {
	return func(poll.LogT) poll.Result {
		if code, response := m.call("GET", "/operator/notes/"+note, ""); code != http.StatusOK || !response.Accepted {
			return poll.Continue("status %d", code)
		}
		return poll.Success()
	}
}

func organisationNote(i int) string {
	return fmt.Sprintf(`{"ID": "n%d", "Added": {"Organisations": [{"ID": "o%d", "Weight": 1}], "Keys": [{"ID": "k%d", "Organisation": "o%d", "Hash": "%s"}]}}`,
		i, i, i, i, winch.HashKey(fmt.Sprint(i)))
}

// TestFlow commits notes at different hosts and checks that each reaches all hosts.
func TestFlow(t *testing.T) {
	sys := newSystem(t, settings{
		freshness: 1500 * time.Millisecond, grace: 5 * time.Second, margin: 50 * time.Millisecond,
		watch: 200 * time.Millisecond, exchange: 50 * time.Millisecond,
	}, 3, 2)
	members := sys.members()
	shortDelay := poll.WithDelay(5 * time.Millisecond)
	poll.WaitOn(t, sys.allServeRevision(0), shortDelay)
	t.Run("a note is in force everywhere and accepted", func(t *testing.T) {
		code, response := members[1].call("POST", "/operator/notes", organisationNote(1))
		assert.Equal(t, code, http.StatusOK)
		assert.Assert(t, !response.Accepted)
		poll.WaitOn(t, sys.allServeRevision(1), shortDelay)
		poll.WaitOn(t, members[3].noteAccepted("n1"), shortDelay)
	})
	t.Run("a key is withdrawn everywhere", func(t *testing.T) {
		code, response := members[4].call("DELETE", "/operator/keys/k1?note=w1", "")
		assert.Equal(t, code, http.StatusOK)
		poll.WaitOn(t, sys.allServeRevision(response.Revision), shortDelay)
		for _, m := range members {
			_, err := m.distributor.Authorize(time.Now(), winch.HashKey("1"))
			assert.ErrorIs(t, err, winch.ErrUnauthorized)
		}
	})
	t.Run("the response to a commit is lost", func(t *testing.T) {
		sys.service.LoseResponses(1)
		code, response := members[2].call("POST", "/operator/notes", organisationNote(2))
		assert.Equal(t, code, http.StatusOK)
		assert.Equal(t, response.Revision, winch.Revision(3))
	})
	t.Run("the platform is unavailable", func(t *testing.T) {
		sys.service.SetOutage(true)
		code, _ := members[2].call("POST", "/operator/notes", organisationNote(3))
		assert.Equal(t, code, http.StatusServiceUnavailable)
		assert.Equal(t, members[5].distributor.Authority(time.Now()), winch.AuthorityFull)
		sys.service.SetOutage(false)
		poll.WaitOn(t, members[0].noteAccepted("n2"), shortDelay)
	})
}

// BenchmarkPlatform measures the platform calls and the traffic between hosts at
// the default settings, and the time until a change is in force and accepted.
// Each change is sent once the previous one is accepted.
func BenchmarkPlatform(b *testing.B) {
	sys := newSystem(b, settings{exchange: 500 * time.Millisecond}, 3, 4)
	members := sys.members()
	fast := poll.WithDelay(2 * time.Millisecond)
	poll.WaitOn(b, sys.allServeRevision(0), fast)
	calls, bytes, start := sys.service.Calls(), sys.totalBytes(), time.Now()
	inForce, accepted := time.Duration(0), time.Duration(0)
	changes := 0
	for b.Loop() {
		changes++
		sent := time.Now()
		_, response := members[changes%len(members)].call("POST", "/operator/notes", organisationNote(changes))
		poll.WaitOn(b, sys.allServeRevision(response.Revision), fast)
		inForce = max(inForce, time.Since(sent))
		poll.WaitOn(b, members[0].noteAccepted(fmt.Sprintf("n%d", changes)), fast, poll.WithTimeout(30*time.Second))
		accepted = max(accepted, time.Since(sent))
	}
	minutes := time.Since(start).Minutes()
	// There are three hubs, one in each data centre.
	b.ReportMetric(float64(sys.service.Calls()-calls)/minutes/3, "calls/hub/min")
	b.ReportMetric(float64(sys.totalBytes()-bytes)/time.Since(start).Seconds()/float64(len(members)), "B/host/s")
	b.ReportMetric(inForce.Seconds(), "s-in-force-max")
	b.ReportMetric(accepted.Seconds(), "s-accepted-max")
}
