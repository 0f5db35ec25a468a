package peer

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/keyvalue/memory"
	"github.com/arbutuswinch/winch/usage"
	"github.com/arbutuswinch/winch/usage/keyvalue"
)

// simulation runs the hosts of one data centre, which exchange once a second.
type simulation struct {
	t       assert.TestingT
	store   *memory.Store
	eras    *testEras
	now     time.Time
	hosts   []*host
	started int
	// heads is the number of hosts after the hub that are the heads of groups; without any, all hosts report to the hub.
	heads int
	// counted holds the requests that each host counted, lost those that a killed host may have
	// lost, and sinceExchange those that each living host counted since its last exchange.
	counted, lost, sinceExchange map[winch.HostID]int64
}

type host struct {
	winch.Membership
	winch.KeyValue
	// storeUnavailable makes the key-value service unavailable to this host only.
	storeUnavailable bool
	// puts is the number of writes that it tried.
	puts       int
	id         winch.HostID
	simulation *simulation
	counters   *Counters
}

func (h *host) Self() winch.Host { return winch.Host{ID: h.id, DataCentre: "yard-1"} }

func (h *host) RelaysReports(time.Time) bool {
	s := h.simulation
	return s.heads > 0 && slices.Index(s.hosts, h) <= s.heads
}

// parent returns the host to which the one at the index reports.
func (s *simulation) parent(index int) *host {
	if index <= s.heads || s.heads == 0 {
		return s.hosts[0]
	}
	return s.hosts[1+index%min(s.heads, len(s.hosts)-1)]
}

func (h *host) Get(ctx context.Context, key string) (winch.Entry, error) {
	if h.storeUnavailable {
		return winch.Entry{}, winch.ErrUnavailable
	}
	return h.KeyValue.Get(ctx, key)
}

func (h *host) Put(ctx context.Context, key string, value []byte, expect winch.Version) (winch.Version, error) {
	h.puts++
	if h.storeUnavailable {
		return 0, winch.ErrUnavailable
	}
	return h.KeyValue.Put(ctx, key, value, expect)
}

func (h *host) Hub(time.Time, winch.DataCentreID) (winch.Host, bool) {
	return h.simulation.hosts[0].Self(), true
}

func (h *host) Hosts(time.Time, winch.DataCentreID) []winch.Host {
	hosts := []winch.Host{}
	for _, other := range h.simulation.hosts {
		hosts = append(hosts, other.Self())
	}
	return hosts
}

// Now implements winch.Clock.
func (s *simulation) Now() time.Time { return s.now }

func newSimulation(t assert.TestingT, count int) *simulation {
	s := &simulation{
		t: t, store: memory.New(), eras: &testEras{}, now: time.Unix(6000, 0).UTC(),
		counted: map[winch.HostID]int64{}, lost: map[winch.HostID]int64{}, sinceExchange: map[winch.HostID]int64{},
	}
	for range count {
		s.start()
	}
	return s
}

func (s *simulation) start() {
	s.started++
	h := &host{id: winch.HostID(fmt.Sprintf("host-%02d", s.started)), simulation: s}
	h.KeyValue = s.store
	counters, err := New(Options{Store: h, Eras: s.eras, Membership: h, Incarnation: winch.Incarnation(h.id), Clock: s})
	assert.NilError(s.t, err)
	h.counters = counters
	s.hosts = append(s.hosts, h)
}

func (s *simulation) record(index int, requests int64) {
	h := s.hosts[index]
	// Any organisation will do; the number of requests spreads them over the shards.
	organisation := winch.OrganisationID(fmt.Sprintf("dealer-%d", requests%5))
	h.counters.Record(s.now, winch.UsageRecord{Organisation: organisation, Requests: requests})
	s.counted[h.id] += requests
	s.sinceExchange[h.id] += requests
}

// exchange sends the host's report to the hub and the summary back, which may be lost.
func (s *simulation) exchange(index int, loseSummary bool) {
	h, hub := s.hosts[index], s.parent(index)
	if h == hub {
		return
	}
	assert.NilError(s.t, hub.counters.Collect(s.now, h.id, h.counters.Report(s.now)))
	s.sinceExchange[h.id] = 0
	summary := hub.counters.Summary(s.now, h.id)
	if loseSummary {
		return
	}
	assert.NilError(s.t, h.counters.Apply(s.now, s.now, hub.id, summary))
	if h == s.hosts[1] && hub == s.hosts[0] {
		// hosts[1] is the backup host: it now has copies of the hub's counters.
		s.sinceExchange[hub.id] = 0
	}
}

func (s *simulation) exchangeAll() {
	for index := range s.hosts {
		s.exchange(index, false)
	}
}

// tick moves the time forward by one second and runs a step of each host.
func (s *simulation) tick(ctx context.Context) {
	s.now = s.now.Add(time.Second)
	for _, h := range s.hosts {
		h.counters.Step(ctx, s.now)
	}
}

func (s *simulation) kill(index int) {
	id := s.hosts[index].id
	s.lost[id] = s.sinceExchange[id]
	s.hosts = append(s.hosts[:index:index], s.hosts[index+1:]...)
}

// stored returns the number of requests in the key-value service.
func (s *simulation) stored(ctx context.Context) int64 {
	sum := int64(0)
	for shard := range winch.Shard(defaultShards) {
		entries, _, err := s.store.List(ctx, keyvalue.CollectedPrefix(shard))
		assert.NilError(s.t, err)
		for _, entry := range entries {
			source, err := keyvalue.ParseCollectedKey(shard, entry.Key)
			assert.NilError(s.t, err)
			collected, err := keyvalue.DecodeCollected(source.Window, entry.Value)
			assert.NilError(s.t, err)
			for _, counter := range collected.Cells {
				sum += counter.Counts.Requests
			}
		}
	}
	return sum
}

// advance runs ticks for the given duration.
func (s *simulation) advance(ctx context.Context, duration time.Duration) {
	for until := s.now.Add(duration); s.now.Before(until); {
		s.tick(ctx)
	}
}

// exchangeFor runs exchanges and ticks for the number of seconds.
func (s *simulation) exchangeFor(ctx context.Context, seconds int) {
	for range seconds {
		s.exchangeAll()
		s.tick(ctx)
	}
}

// complete returns the hosts that the stored entry lists as complete. The test must have
// recorded one organisation in one window only, so that there is a single entry.
func (s *simulation) complete(ctx context.Context) usage.HostSet {
	complete := usage.HostSet{}
	for shard := range winch.Shard(defaultShards) {
		entries, _, err := s.store.List(ctx, keyvalue.CollectedPrefix(shard))
		assert.NilError(s.t, err)
		for _, entry := range entries {
			collected, err := keyvalue.DecodeCollected(0, entry.Value)
			assert.NilError(s.t, err)
			maps.Copy(complete, collected.Complete)
		}
	}
	return complete
}

// drainAndCheck ends all faults, runs until everything is stored, and checks that nothing was
// counted twice and that no more was lost than what killed hosts had counted since their last
// exchange.
func (s *simulation) drainAndCheck(ctx context.Context) {
	s.store.SetOutage(false)
	s.store.LoseResponses(0)
	s.exchangeFor(ctx, 40)
	counted, lost := int64(0), int64(0)
	for id, requests := range s.counted {
		counted += requests
		lost += s.lost[id]
	}
	stored := s.stored(ctx)
	assert.Assert(s.t, stored <= counted, "stored %d of %d", stored, counted)
	assert.Assert(s.t, stored >= counted-lost, "stored %d of %d, %d may be lost", stored, counted, lost)
}

func TestCounters(t *testing.T) {
	t.Run("stores what all hosts counted", func(t *testing.T) {
		s := newSimulation(t, 3)
		for index := range s.hosts {
			s.record(index, int64(index+1))
		}
		s.drainAndCheck(t.Context())
		assert.Equal(t, s.stored(t.Context()), int64(6))
	})
	t.Run("a killed host loses only what it counted since its last exchange", func(t *testing.T) {
		s := newSimulation(t, 3)
		s.record(2, 5)
		s.exchange(2, true)
		s.record(2, 7)
		s.kill(2)
		s.drainAndCheck(t.Context())
		assert.Equal(t, s.stored(t.Context()), int64(5))
	})
	t.Run("a killed hub loses nothing that the backup host has copied", func(t *testing.T) {
		s := newSimulation(t, 3)
		s.record(0, 3)
		s.record(2, 5)
		s.exchange(2, false)
		s.exchange(1, false)
		s.kill(2)
		s.kill(0)
		s.drainAndCheck(t.Context())
		assert.Equal(t, s.stored(t.Context()), int64(8))
	})
	t.Run("a stopped host stores its own counts", func(t *testing.T) {
		s := newSimulation(t, 3)
		s.record(2, 5)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		assert.NilError(t, s.hosts[2].counters.Run(ctx))
		assert.Equal(t, s.stored(t.Context()), int64(5))
	})
	t.Run("a host that is stopped during an outage stores its counts after the outage", func(t *testing.T) {
		s := newSimulation(t, 3)
		s.store.SetOutage(true)
		s.record(2, 5)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		time.AfterFunc(300*time.Millisecond, func() { s.store.SetOutage(false) })
		assert.NilError(t, s.hosts[2].counters.Run(ctx))
		assert.Equal(t, s.stored(t.Context()), int64(5))
	})
	t.Run("counts outlive an outage", func(t *testing.T) {
		s := newSimulation(t, 3)
		s.store.SetOutage(true)
		s.record(2, 5)
		for range 600 {
			s.exchangeAll()
			s.tick(t.Context())
		}
		s.drainAndCheck(t.Context())
		assert.Equal(t, s.stored(t.Context()), int64(5))
	})
	t.Run("nothing is sent twice when all is stored", func(t *testing.T) {
		s := newSimulation(t, 3)
		s.record(2, 5)
		s.drainAndCheck(t.Context())
		report, err := decodeReport(s.hosts[2].counters.Report(s.now))
		assert.NilError(t, err)
		assert.Equal(t, len(report.Batches), 0)
	})
}

func TestEntries(t *testing.T) {
	t.Run("other hosts store their counters when only the hub cannot use the store", func(t *testing.T) {
		s := newSimulation(t, 3)
		s.hosts[0].storeUnavailable = true
		for index := range s.hosts {
			s.record(index, int64(index+1))
		}
		for s.now.Before(time.Unix(6000, 0).Add(defaultWindow + defaultSettle + 3*defaultStoreEvery)) {
			s.exchangeAll()
			s.tick(t.Context())
		}
		assert.Equal(t, s.stored(t.Context()), int64(6))
	})
	t.Run("an entry lists the hosts whose counts are complete", func(t *testing.T) {
		s := newSimulation(t, 3)
		s.record(2, 5)
		s.exchangeAll()
		s.tick(t.Context())
		assert.DeepEqual(t, s.complete(t.Context()), usage.HostSet{})
		s.advance(t.Context(), time.Minute)
		s.exchange(1, false)
		s.advance(t.Context(), 2*defaultStoreEvery)
		assert.DeepEqual(t, s.complete(t.Context()), usage.HostSet{"host-01": true, "host-02": true})
		s.exchange(2, false)
		s.advance(t.Context(), 2*defaultStoreEvery)
		assert.DeepEqual(t, s.complete(t.Context()), usage.HostSet{"host-01": true, "host-02": true, "host-03": true})
	})
	t.Run("a new hub lists a host as complete only when it has all its counts", func(t *testing.T) {
		s := newSimulation(t, 3)
		s.record(2, 5)
		s.exchange(2, false)
		s.record(2, 5)
		s.advance(t.Context(), defaultWindow)
		s.kill(0)
		s.exchange(1, true)
		s.advance(t.Context(), 2*defaultStoreEvery)
		assert.DeepEqual(t, s.complete(t.Context()), usage.HostSet{"host-02": true})
		// The first summary tells the host that the new hub has none of its counters; the second
		// report contains them.
		s.exchange(1, false)
		s.exchange(1, false)
		s.advance(t.Context(), 2*defaultStoreEvery)
		assert.DeepEqual(t, s.complete(t.Context()), usage.HostSet{"host-02": true, "host-03": true})
	})
}

// TestNothingIsLostBeyondTheStatedAmount checks that only counts since a killed host's last
// exchange are lost. Hosts are killed one at a time with full exchanges between, while
// responses are lost and the key-value service has outages.
func TestNothingIsLostBeyondTheStatedAmount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		s := newSimulation(t, 4)
		for range 100 {
			s.randomStep(ctx, t)
		}
		s.drainAndCheck(ctx)
	})
}

func (s *simulation) randomStep(ctx context.Context, t *rapid.T) {
	index := rapid.IntRange(0, len(s.hosts)-1).Draw(t, "host")
	switch rapid.IntRange(0, 9).Draw(t, "step") {
	case 0, 1, 2:
		s.record(index, int64(rapid.IntRange(1, 9).Draw(t, "requests")))
	case 3, 4:
		s.exchange(index, rapid.Bool().Draw(t, "lost"))
	case 5:
		for range rapid.IntRange(1, 30).Draw(t, "seconds") {
			s.tick(ctx)
		}
	case 6:
		s.store.LoseResponses(rapid.IntRange(0, 2).Draw(t, "answers"))
	case 7:
		s.store.SetOutage(rapid.Bool().Draw(t, "outage"))
	case 8:
		s.start()
	case 9:
		if len(s.hosts) > 2 {
			s.kill(index)
			// The first round brings all counters to the new hub, the second from there to the
			// backup host.
			s.exchangeAll()
			s.exchangeAll()
		}
	}
}
