package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// fleet is a large data centre whose hosts exchange in simulated time, without a network.
type fleet struct {
	t         *testing.T
	now       time.Time
	hosts     []*fleetHost
	byAddress map[string]*fleetHost
	// cutOff is the home that is partitioned from the others, empty if there is none.
	cutOff winch.DataCentreID
}

// fleetHost is one host, and the transport of its calls.
type fleetHost struct {
	fleet    *fleet
	self     winch.Host
	table    *Table
	exchange *Exchange
	section  *unionSection
	// nextAt is when the host exchanges next, and nextRefresh when it refreshes its host list.
	nextAt, nextRefresh time.Time
	down                bool
	// answered counts the calls that the host answered, and failed those of its own calls in a row that were not.
	answered, failed int
}

// unionSection reports the ids of its host and of the hosts that report to it, and collects those that it receives.
type unionSection struct {
	echoSection
	table *Table
}

func (s *unionSection) Report(now time.Time) []byte {
	if s.table.RelaysReports(now) {
		return s.Summary(now, "")
	}
	return s.echoSection.Report(now)
}

var errUnreachable = errors.New("unreachable")

const (
	fleetStep         = 250 * time.Millisecond
	fleetSuspectAfter = 1500 * time.Millisecond
)

func newFleet(t *testing.T, count int, homes ...winch.DataCentreID) *fleet {
	t.Helper()
	f := &fleet{t: t, now: time.Unix(5000, 0), byAddress: map[string]*fleetHost{}}
	list := fixedList{}
	for i := range count {
		self := winch.Host{
			ID: winch.HostID(fmt.Sprintf("host-%03d", i)), DataCentre: "all", Home: homes[i%len(homes)],
			PeerAddress: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200+1), Capacity: 0.2,
		}
		if i < 3*len(homes) {
			self.Capacity = 0.8
		}
		list = append(list, self)
	}
	for i, self := range list {
		f.add(self, &list, i)
	}
	return f
}

func (f *fleet) add(self winch.Host, list *fixedList, index int) {
	h := &fleetHost{fleet: f, self: self, nextAt: f.now.Add(time.Duration(index%16) * fleetStep / 16)}
	h.nextRefresh = h.nextAt.Add(defaultListEvery)
	h.table = NewTable(self, nil, fleetSuspectAfter, time.Minute)
	h.table.EnableGroups()
	h.section = &unionSection{table: h.table, echoSection: echoSection{self: self.ID, heard: map[string]bool{string(self.ID): true}}}
	built, err := New(Options{
		Table: h.table, Hosts: list, Sections: []winch.Section{h.section}, Clock: f, Logger: hclog.NewNullLogger(), Transport: h, ExchangeEvery: fleetStep,
	})
	assert.NilError(f.t, err)
	h.exchange = built
	h.exchange.readHosts(context.Background())
	f.hosts = append(f.hosts, h)
	f.byAddress[self.PeerAddress] = h
}

// Now implements winch.Clock.
func (f *fleet) Now() time.Time { return f.now }

// RoundTrip implements http.RoundTripper.
func (h *fleetHost) RoundTrip(r *http.Request) (*http.Response, error) {
	to := h.fleet.byAddress[r.URL.Host]
	cut := h.fleet.cutOff
	if to == nil || to.down || cut != "" && (h.self.Home == cut) != (to.self.Home == cut) {
		h.failed++
		return nil, errUnreachable
	}
	h.failed = 0
	to.answered++
	recorder := httptest.NewRecorder()
	to.exchange.Handler().ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

// run advances the time. Each host exchanges at its own interval.
func (f *fleet) run(duration time.Duration) {
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(fleetStep / 16) {
		for _, h := range f.hosts {
			if h.down || f.now.Before(h.nextAt) {
				continue
			}
			h.exchange.exchange(context.Background())
			h.nextAt = f.now.Add(h.exchange.exchangePeriod())
			if !f.now.Before(h.nextRefresh) {
				h.exchange.refreshHosts(context.Background())
				h.nextRefresh = f.now.Add(defaultListEvery)
			}
		}
	}
}

// living returns the hosts that are not down and, if a home is given, stand in it.
func (f *fleet) living(home winch.DataCentreID) []*fleetHost {
	living := []*fleetHost{}
	for _, h := range f.hosts {
		if !h.down && (home == "" || h.self.Home == home) {
			living = append(living, h)
		}
	}
	return living
}

func (f *fleet) assertAllKnow(hosts []*fleetHost) {
	f.t.Helper()
	for _, h := range hosts {
		assert.Equal(f.t, len(h.table.Hosts(f.now, "all")), len(hosts), "hosts that %s knows", h.self.ID)
	}
}

func (f *fleet) host(id winch.HostID) *fleetHost {
	for _, h := range f.hosts {
		if h.self.ID == id {
			return h
		}
	}
	f.t.Fatalf("no host %s", id)
	return nil
}

// parent returns the host to which the given one reports.
func (f *fleet) parent(h *fleetHost) *fleetHost { return f.host(h.table.Parent(f.now).ID) }

// plainHost returns a host that reports to the head of a group.
func (f *fleet) plainHost() *fleetHost {
	for _, h := range f.living("") {
		if !h.table.RelaysReports(f.now) {
			return h
		}
	}
	f.t.Fatal("no host reports to a head")
	return nil
}

func forSizes(t *testing.T, sizes []int, test func(t *testing.T, f *fleet)) {
	t.Helper()
	for _, count := range sizes {
		if count > 60 && testing.Short() {
			continue
		}
		t.Run(fmt.Sprint(count, " hosts"), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, count, "a", "b", "c", "d", "e")
			f.run(3 * time.Second)
			test(t, f)
		})
	}
}

func TestGroupsShareTheWorkOfTheHub(t *testing.T) {
	// maxAnswered is the calls a second at which answers of 1 ms take a tenth of a processor.
	const maxAnswered = 100
	forSizes(t, []int{60, 300}, func(t *testing.T, f *fleet) {
		f.assertAllKnow(f.living(""))
		for _, h := range f.hosts {
			h.answered = 0
		}
		f.run(4 * time.Second)
		for _, h := range f.hosts {
			assert.Assert(t, h.answered <= 4*maxAnswered, "%s answered %d calls in 4 s", h.self.ID, h.answered)
		}
	})
}

func TestGroupsReportToHeadsOfTheirHome(t *testing.T) {
	forSizes(t, []int{60, 300}, func(t *testing.T, f *fleet) {
		hub, _ := f.hosts[0].table.Hub(f.now, "all")
		for _, h := range f.living("") {
			parent := f.parent(h)
			if parent.self.ID == hub.ID {
				assert.Assert(t, h.table.RelaysReports(f.now), "%s reports to the hub", h.self.ID)
				continue
			}
			assert.Equal(t, parent.self.Home, h.self.Home)
			assert.Equal(t, f.parent(parent).self.ID, hub.ID)
		}
	})
}

func TestGroupsReportsReachEachHost(t *testing.T) {
	forSizes(t, []int{60, 300}, func(t *testing.T, f *fleet) {
		for _, h := range f.living("") {
			heard, _ := h.section.counts()
			assert.Equal(t, heard, len(f.hosts), "hosts whose report reached %s", h.self.ID)
		}
	})
}

func TestGroupsLoseHosts(t *testing.T) {
	small, both := []int{60}, []int{60, 300}
	cases := map[string]struct {
		sizes []int
		lost  func(f *fleet) []*fleetHost
	}{
		"the hub":             {small, func(f *fleet) []*fleetHost { return []*fleetHost{f.parent(f.parent(f.plainHost()))} }},
		"the head of a group": {small, func(f *fleet) []*fleetHost { return []*fleetHost{f.parent(f.plainHost())} }},
		"the hub and a head":  {both, func(f *fleet) []*fleetHost { h := f.parent(f.plainHost()); return []*fleetHost{h, f.parent(h)} }},
		"a host of a group":   {small, func(f *fleet) []*fleetHost { return []*fleetHost{f.plainHost()} }},
		"a home":              {small, func(f *fleet) []*fleetHost { return f.living("c") }},
		// The third contains all large hosts, which would be the hub and the heads.
		"a third": {both, func(f *fleet) []*fleetHost { return f.hosts[:len(f.hosts)/3] }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			forSizes(t, c.sizes, func(t *testing.T, f *fleet) {
				for _, h := range c.lost(f) {
					h.down = true
				}
				// After the suspect timeout of 3 s no host waits for one that is lost.
				f.run(4 * time.Second)
				for _, h := range f.living("") {
					if f.parent(h) != h {
						assert.Equal(t, h.failed, 0, "calls of %s that failed in a row", h.self.ID)
					}
				}
				f.run(4 * time.Second)
				f.assertAllKnow(f.living(""))
			})
		})
	}
}

func TestGroupsOfAPartitionedHome(t *testing.T) {
	forSizes(t, []int{60, 300}, func(t *testing.T, f *fleet) {
		f.cutOff = "b"
		f.run(8 * time.Second)
		f.assertAllKnow(f.living("b"))
		f.cutOff = ""
		f.run(10 * time.Second)
		f.assertAllKnow(f.living(""))
	})
}

func TestGroupsRollingRestart(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 60, "a", "b", "c")
	f.run(3 * time.Second)
	for _, h := range f.hosts {
		h.table.Leave()
		f.run(fleetStep)
		h.down = true
		f.run(fleetStep)
		h.down = false
		restarted := NewTable(h.self, nil, fleetSuspectAfter, time.Minute)
		restarted.EnableGroups()
		restarted.ApplyHostList(f.now, f.listed())
		h.table, h.exchange.table, h.exchange.options.Table, h.section.table = restarted, restarted, restarted, restarted
	}
	f.run(8 * time.Second)
	f.assertAllKnow(f.living(""))
}

func (f *fleet) listed() []winch.Host {
	listed := []winch.Host{}
	for _, h := range f.hosts {
		listed = append(listed, h.self)
	}
	return listed
}

func TestRank(t *testing.T) {
	f := newFleet(t, 60, "a", "b")
	ranks := map[int]bool{}
	for _, h := range f.hosts {
		rank := h.table.Rank(f.now, "duty", "")
		assert.Equal(t, rank == 0, h.table.Candidate(f.now, "duty", ""), "the candidate ranks first")
		ranks[rank] = true
	}
	assert.Equal(t, len(ranks), len(f.hosts), "all see the same order")
	f.hosts[0].table.Leave()
	assert.Equal(t, f.hosts[0].table.Rank(f.now, "duty", ""), len(f.hosts)-1, "a leaving host ranks last")
}

func TestExchangeRejectsTooManyHosts(t *testing.T) {
	f := newFleet(t, 2, "a")
	call := exchangeCall{From: encodeHost(f.hosts[1].self), MembersVersion: 1, Sections: sections{}}
	for i := range 10_000 {
		call.Members = append(call.Members, hostEntry{ID: fmt.Sprint(i), DataCentre: "all"})
	}
	body, err := json.Marshal(call)
	assert.NilError(t, err)
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "/peer/exchange", bytes.NewReader(body))
	f.hosts[0].exchange.Handler().ServeHTTP(recorder, request)
	assert.Equal(t, recorder.Code, http.StatusBadRequest)
	assert.Assert(t, bytes.Contains(recorder.Body.Bytes(), []byte("field Members")))
	assert.Equal(t, len(f.hosts[0].table.Hosts(f.now, "all")), 2)
}

func TestHostsOfAnotherVersionAreNotRecorded(t *testing.T) {
	f := newFleet(t, 60, "a")
	hub := f.hosts[0].exchange
	from := encodeHost(f.hosts[1].self)
	assert.Equal(t, hub.applyMembers(f.now, exchangeCall{From: from, MembersVersion: 7}), uint64(0))
	stranger := hostEntry{ID: "stranger", DataCentre: "all"}
	hub.applyMembers(f.now, exchangeCall{From: from, MembersVersion: 7, Members: []hostEntry{stranger}})
	assert.Equal(t, hub.applyMembers(f.now, exchangeCall{From: from, MembersVersion: 8}), uint64(7))
	f.now = f.now.Add(10 * time.Second)
	for _, known := range hub.table.Hosts(f.now, "all") {
		assert.Assert(t, known.ID != "stranger")
	}
}
