package peer

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/keyvalue/memory"
	"github.com/arbutuswinch/winch/usage"
	"github.com/arbutuswinch/winch/usage/keyvalue"
)

// yard is a data centre of hosts that exchange once a second.
type yard struct {
	t     assert.TestingT
	store *memory.Store
	now   time.Time
	hosts []*host
	next  int
	// sinceExchange is what each living host counted since its last exchange.
	counted, lost, sinceExchange map[winch.HostID]int64
}

type host struct {
	winch.Membership
	winch.KeyValue
	// turnedAway says that the key-value service answers this host no more.
	turnedAway bool
	id         winch.HostID
	yard       *yard
	counters   *Counters
}

func (h *host) Self() winch.Host { return winch.Host{ID: h.id, DataCentre: "yard-1"} }

func (h *host) Get(ctx context.Context, key string) (winch.Entry, error) {
	if h.turnedAway {
		return winch.Entry{}, winch.ErrUnavailable
	}
	return h.KeyValue.Get(ctx, key)
}

func (h *host) Put(ctx context.Context, key string, value []byte, expect winch.Version) (winch.Version, error) {
	if h.turnedAway {
		return 0, winch.ErrUnavailable
	}
	return h.KeyValue.Put(ctx, key, value, expect)
}

func (h *host) Hub(time.Time, winch.DataCentreID) (winch.Host, bool) {
	return h.yard.hosts[0].Self(), true
}

func (h *host) Hosts(time.Time, winch.DataCentreID) []winch.Host {
	hosts := []winch.Host{}
	for _, other := range h.yard.hosts {
		hosts = append(hosts, other.Self())
	}
	return hosts
}

// Now makes the yard the hosts' clock.
func (y *yard) Now() time.Time { return y.now }

func newYard(t assert.TestingT, count int) *yard {
	y := &yard{
		t: t, store: memory.New(), now: time.Unix(6000, 0).UTC(),
		counted: map[winch.HostID]int64{}, lost: map[winch.HostID]int64{}, sinceExchange: map[winch.HostID]int64{},
	}
	for range count {
		y.start()
	}
	return y
}

func (y *yard) start() {
	y.next++
	h := &host{id: winch.HostID(fmt.Sprintf("host-%02d", y.next)), yard: y}
	h.KeyValue = y.store
	counters, err := New(Options{Store: h, Membership: h, Incarnation: winch.Incarnation(h.id), Clock: y})
	assert.NilError(y.t, err)
	h.counters = counters
	y.hosts = append(y.hosts, h)
}

func (y *yard) record(at int, requests int64) {
	h := y.hosts[at]
	organisation := winch.OrganisationID(fmt.Sprintf("dealer-%d", requests%5))
	h.counters.Record(y.now, winch.UsageRecord{Organisation: organisation, Requests: requests})
	y.counted[h.id] += requests
	y.sinceExchange[h.id] += requests
}

// exchange carries the host's report to the hub and the summary back, which may be lost.
func (y *yard) exchange(at int, loseSummary bool) {
	h, hub := y.hosts[at], y.hosts[0]
	if h == hub {
		return
	}
	assert.NilError(y.t, hub.counters.Collect(y.now, h.id, h.counters.Report(y.now)))
	y.sinceExchange[h.id] = 0
	summary := hub.counters.Summary(y.now, h.id)
	if loseSummary {
		return
	}
	assert.NilError(y.t, h.counters.Apply(y.now, y.now, hub.id, summary))
	if h == y.hosts[1] {
		y.sinceExchange[hub.id] = 0
	}
}

func (y *yard) exchangeAll() {
	for at := range y.hosts {
		y.exchange(at, false)
	}
}

// second lets a second pass.
func (y *yard) second(ctx context.Context) {
	y.now = y.now.Add(time.Second)
	for _, h := range y.hosts {
		h.counters.Step(ctx, y.now)
	}
}

func (y *yard) kill(at int) {
	id := y.hosts[at].id
	y.lost[id] = y.sinceExchange[id]
	y.hosts = append(y.hosts[:at:at], y.hosts[at+1:]...)
}

// stored returns the requests in the key-value service.
func (y *yard) stored(ctx context.Context) int64 {
	sum := int64(0)
	for shard := range winch.Shard(defaultShards) {
		entries, _, err := y.store.List(ctx, keyvalue.CollectedPrefix(shard))
		assert.NilError(y.t, err)
		for _, entry := range entries {
			source, err := keyvalue.ParseCollectedKey(shard, entry.Key)
			assert.NilError(y.t, err)
			collected, err := keyvalue.DecodeCollected(source.Window, entry.Value)
			assert.NilError(y.t, err)
			for _, cell := range collected.Cells {
				sum += cell.Counts.Requests
			}
		}
	}
	return sum
}

// pass lets time pass.
func (y *yard) pass(ctx context.Context, time time.Duration) {
	for until := y.now.Add(time); y.now.Before(until); {
		y.second(ctx)
	}
}

// complete returns the hosts that the one stored entry calls complete.
func (y *yard) complete(ctx context.Context) usage.Hosts {
	found := usage.Hosts{}
	for shard := range winch.Shard(defaultShards) {
		entries, _, err := y.store.List(ctx, keyvalue.CollectedPrefix(shard))
		assert.NilError(y.t, err)
		for _, entry := range entries {
			collected, err := keyvalue.DecodeCollected(0, entry.Value)
			assert.NilError(y.t, err)
			maps.Copy(found, collected.Complete)
		}
	}
	return found
}

// settle lets everything be stored and checks that no more than stated was lost, and nothing counted twice.
func (y *yard) settle(ctx context.Context) {
	y.store.SetOutage(false)
	y.store.LoseAnswers(0)
	for range 40 {
		y.exchangeAll()
		y.second(ctx)
	}
	counted, lost := int64(0), int64(0)
	for id, requests := range y.counted {
		counted += requests
		lost += y.lost[id]
	}
	stored := y.stored(ctx)
	assert.Assert(y.t, stored <= counted, "stored %d of %d", stored, counted)
	assert.Assert(y.t, stored >= counted-lost, "stored %d of %d, %d may be lost", stored, counted, lost)
}

func TestCounters(t *testing.T) {
	t.Run("stores what all hosts counted", func(t *testing.T) {
		y := newYard(t, 3)
		for at := range y.hosts {
			y.record(at, int64(at+1))
		}
		y.settle(t.Context())
		assert.Equal(t, y.stored(t.Context()), int64(6))
	})
	t.Run("a killed host loses what it counted since its exchange", func(t *testing.T) {
		y := newYard(t, 3)
		y.record(2, 5)
		y.exchange(2, true)
		y.record(2, 7)
		y.kill(2)
		y.settle(t.Context())
		assert.Equal(t, y.stored(t.Context()), int64(5))
	})
	t.Run("a killed hub loses nothing that the second host copied", func(t *testing.T) {
		y := newYard(t, 3)
		y.record(0, 3)
		y.record(2, 5)
		y.exchange(2, false)
		y.exchange(1, false)
		y.kill(2)
		y.kill(0)
		y.settle(t.Context())
		assert.Equal(t, y.stored(t.Context()), int64(8))
	})
	t.Run("a stopped host stores its own counts", func(t *testing.T) {
		y := newYard(t, 3)
		y.record(2, 5)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		assert.NilError(t, y.hosts[2].counters.Run(ctx))
		assert.Equal(t, y.stored(t.Context()), int64(5))
	})
	t.Run("a host that is stopped during an outage stores them when it is over", func(t *testing.T) {
		y := newYard(t, 3)
		y.store.SetOutage(true)
		y.record(2, 5)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		time.AfterFunc(300*time.Millisecond, func() { y.store.SetOutage(false) })
		assert.NilError(t, y.hosts[2].counters.Run(ctx))
		assert.Equal(t, y.stored(t.Context()), int64(5))
	})
	t.Run("counts outlive an outage", func(t *testing.T) {
		y := newYard(t, 3)
		y.store.SetOutage(true)
		y.record(2, 5)
		for range 600 {
			y.exchangeAll()
			y.second(t.Context())
		}
		y.settle(t.Context())
		assert.Equal(t, y.stored(t.Context()), int64(5))
	})
	t.Run("nothing is sent twice when all is stored", func(t *testing.T) {
		y := newYard(t, 3)
		y.record(2, 5)
		y.settle(t.Context())
		report, err := decodeReport(y.hosts[2].counters.Report(y.now))
		assert.NilError(t, err)
		assert.Equal(t, len(report.Batches), 0)
	})
}

func TestEntries(t *testing.T) {
	t.Run("the other hosts store when the hub alone is turned away", func(t *testing.T) {
		y := newYard(t, 3)
		y.hosts[0].turnedAway = true
		for at := range y.hosts {
			y.record(at, int64(at+1))
		}
		for y.now.Before(time.Unix(6000, 0).Add(defaultWindow + defaultSettle + 3*defaultStoreEvery)) {
			y.exchangeAll()
			y.second(t.Context())
		}
		assert.Equal(t, y.stored(t.Context()), int64(6))
	})
	t.Run("an entry names the hosts whose counts it has in full", func(t *testing.T) {
		y := newYard(t, 3)
		y.record(2, 5)
		y.exchangeAll()
		y.second(t.Context())
		assert.DeepEqual(t, y.complete(t.Context()), usage.Hosts{})
		y.pass(t.Context(), time.Minute)
		y.exchange(1, false)
		y.pass(t.Context(), 2*defaultStoreEvery)
		assert.DeepEqual(t, y.complete(t.Context()), usage.Hosts{"host-01": true, "host-02": true})
		y.exchange(2, false)
		y.pass(t.Context(), 2*defaultStoreEvery)
		assert.DeepEqual(t, y.complete(t.Context()), usage.Hosts{"host-01": true, "host-02": true, "host-03": true})
	})
	t.Run("a host is not complete at a new hub before all its counts are there", func(t *testing.T) {
		y := newYard(t, 3)
		y.record(2, 5)
		y.exchange(2, false)
		y.record(2, 5)
		y.pass(t.Context(), defaultWindow)
		y.kill(0)
		y.exchange(1, true)
		y.pass(t.Context(), 2*defaultStoreEvery)
		assert.DeepEqual(t, y.complete(t.Context()), usage.Hosts{"host-02": true})
		y.exchange(1, false)
		y.exchange(1, false)
		y.pass(t.Context(), 2*defaultStoreEvery)
		assert.DeepEqual(t, y.complete(t.Context()), usage.Hosts{"host-02": true, "host-03": true})
	})
}

// TestNothingIsLostBeyondTheStatedAmount kills hosts one at a time, with full
// exchanges between, while answers are lost and the key-value service is down.
func TestNothingIsLostBeyondTheStatedAmount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		y := newYard(t, 4)
		for range 100 {
			y.randomStep(ctx, t)
		}
		y.settle(ctx)
	})
}

func (y *yard) randomStep(ctx context.Context, t *rapid.T) {
	at := rapid.IntRange(0, len(y.hosts)-1).Draw(t, "host")
	switch rapid.IntRange(0, 9).Draw(t, "step") {
	case 0, 1, 2:
		y.record(at, int64(rapid.IntRange(1, 9).Draw(t, "requests")))
	case 3, 4:
		y.exchange(at, rapid.Bool().Draw(t, "lost"))
	case 5:
		for range rapid.IntRange(1, 30).Draw(t, "seconds") {
			y.second(ctx)
		}
	case 6:
		y.store.LoseAnswers(rapid.IntRange(0, 2).Draw(t, "answers"))
	case 7:
		y.store.SetOutage(rapid.Bool().Draw(t, "outage"))
	case 8:
		y.start()
	case 9:
		if len(y.hosts) > 2 {
			y.kill(at)
			// Two rounds bring all to the new hub and from there to the second host.
			y.exchangeAll()
			y.exchangeAll()
		}
	}
}
