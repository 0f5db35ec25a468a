package usage_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/keyvalue/memory"
	"github.com/arbutuswinch/winch/usage/billing"
	"github.com/arbutuswinch/winch/usage/peer"
)

const (
	measuredHosts  = 7
	measuredShards = 4
	// measuredTicks is the length of a run, a tenth of a second each.
	measuredTicks  = 10 * 60 * 10
	ticksPerSecond = 10
	tick           = time.Second / ticksPerSecond
	window         = time.Minute
	// requestsPerTick is what each host counts in a tick.
	requestsPerTick = 2
)

// bench runs hosts of one data centre, with default settings, in simulated time.
type bench struct {
	t      *testing.T
	random *rand.Rand
	store  *memory.Store
	now    time.Time
	hosts  []*benchHost
	next   int

	reporters []*billing.Reporter
	billed    map[string][]benchFigure
	lateness  []time.Duration
	counted   int64
}

type benchHost struct {
	winch.Membership
	bench    *bench
	id       winch.HostID
	counters *peer.Counters
	// unsent is what it counted since its last exchange.
	unsent int64
}

type benchFigure struct {
	Organisation string
	Requests     int64
	Adjustment   bool
}

func (h *benchHost) Self() winch.Host { return winch.Host{ID: h.id, DataCentre: "yard-1"} }

func (h *benchHost) Hub(time.Time, winch.DataCentreID) (winch.Host, bool) {
	return h.bench.hosts[0].Self(), true
}

func (h *benchHost) Hosts(time.Time, winch.DataCentreID) []winch.Host {
	hosts := []winch.Host{}
	for _, other := range h.bench.hosts {
		hosts = append(hosts, other.Self())
	}
	return hosts
}

func (b *bench) Now() time.Time { return b.now }

func (b *bench) Term(now time.Time) (winch.Term, bool) {
	return winch.Term{Number: 1, ValidUntil: now.Add(time.Second)}, true
}

func (b *bench) Begin(now time.Time) (winch.Term, func(), error) {
	term, _ := b.Term(now)
	return term, func() {}, nil
}

// Send is the platform.
func (b *bench) Send(_ context.Context, _ winch.TermGuard, call winch.FencedCall) ([]byte, error) {
	report := struct {
		Shard   int
		Window  time.Time
		Figures []benchFigure
	}{}
	assert.NilError(b.t, json.Unmarshal(call.Body, &report))
	key := fmt.Sprintf("%d %s", report.Shard, report.Window)
	if first, found := b.billed[key]; found {
		assert.Assert(b.t, reflect.DeepEqual(first, report.Figures), "window %s reported twice with different figures", key)
		return nil, nil
	}
	b.billed[key] = report.Figures
	b.lateness = append(b.lateness, b.now.Sub(report.Window.Add(window)))
	return nil, nil
}

func newBench(t *testing.T, seed uint64) *bench {
	t.Helper()
	b := &bench{
		t: t, random: rand.New(rand.NewPCG(seed, seed)), store: memory.New(),
		now: time.Unix(6000, 0).UTC(), billed: map[string][]benchFigure{},
	}
	for range measuredHosts {
		b.startHost()
	}
	for shard := range winch.Shard(measuredShards) {
		reporter, err := billing.New(billing.Options{
			Protocol: billing.Own{Address: "127.0.0.1:1"}, Shard: shard, Host: "host", Charge: b, Sender: b, Store: b.store, Clock: b,
		})
		assert.NilError(t, err)
		b.reporters = append(b.reporters, reporter)
	}
	return b
}

func (b *bench) startHost() {
	b.next++
	h := &benchHost{bench: b, id: winch.HostID(fmt.Sprintf("host-%03d", b.next))}
	counters, err := peer.New(peer.Options{Store: b.store, Membership: h, Clock: b, Shards: measuredShards})
	assert.NilError(b.t, err)
	h.counters = counters
	b.hosts = append(b.hosts, h)
}

// advance lets a tenth of a second pass; each host exchanges once a second, at a time of its own.
func (b *bench) advance(ctx context.Context, at int, recording bool) {
	b.now = b.now.Add(tick)
	for i, h := range b.hosts {
		if recording {
			organisation := winch.OrganisationID(fmt.Sprintf("dealer-%d", b.random.IntN(10)))
			h.counters.Record(b.now, winch.UsageRecord{Organisation: organisation, Requests: requestsPerTick})
			h.unsent += requestsPerTick
			b.counted += requestsPerTick
		}
		if (at+i)%ticksPerSecond == 0 {
			b.exchange(h)
			h.counters.Step(ctx, b.now)
		}
	}
	if at%ticksPerSecond == 0 {
		for _, reporter := range b.reporters {
			reporter.Step(ctx, b.now)
		}
	}
}

func (b *bench) exchange(h *benchHost) {
	hub := b.hosts[0]
	if h == hub {
		return
	}
	assert.NilError(b.t, hub.counters.Collect(b.now, h.id, h.counters.Report(b.now)))
	h.unsent = 0
	assert.NilError(b.t, h.counters.Apply(b.now, b.now, hub.id, hub.counters.Summary(b.now, h.id)))
	if h == b.hosts[1] {
		hub.unsent = 0
	}
}

// kill ends a host without a word and starts another. It returns what may be lost.
func (b *bench) kill(at int) int64 {
	unsent := b.hosts[at].unsent
	b.hosts = slices.Delete(b.hosts, at, at+1)
	b.startHost()
	return unsent
}

func (b *bench) sum() (billed, adjusted int64) {
	for _, figures := range b.billed {
		for _, figure := range figures {
			billed += figure.Requests
			if figure.Adjustment {
				adjusted += figure.Requests
			}
		}
	}
	return billed, adjusted
}

// TestLatenessAndLoss measures how late windows are reported and how much of the
// counts is lost, when a host is killed every two minutes, and with an outage of
// the key-value service as well.
func TestLatenessAndLoss(t *testing.T) {
	for _, outage := range []time.Duration{0, 3 * time.Minute} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("outage %s, seed %d", outage, seed), func(t *testing.T) { measure(t, seed, outage) })
		}
	}
}

func measure(t *testing.T, seed uint64, outage time.Duration) {
	b := newBench(t, seed)
	start, mayLose := b.now, int64(0)
	for at := range measuredTicks {
		elapsed := b.now.Sub(start)
		b.store.SetOutage(elapsed >= 4*time.Minute && elapsed < 4*time.Minute+outage)
		b.advance(t.Context(), at, true)
		if at%1200 == 1200/2 {
			mayLose += b.kill(b.random.IntN(measuredHosts))
		}
	}
	b.store.SetOutage(false)
	for at := range 3 * 60 * ticksPerSecond {
		b.advance(t.Context(), at, false)
	}
	billed, adjusted := b.sum()
	slices.Sort(b.lateness)
	latest := b.lateness[len(b.lateness)-1]
	t.Logf("counted %d, billed %d, lost %d (%.4f%%), adjusted %d, windows %d, lateness median %s, most %s",
		b.counted, billed, b.counted-billed, 100*float64(b.counted-billed)/float64(b.counted), adjusted,
		len(b.lateness), b.lateness[len(b.lateness)/2], latest)
	assert.Assert(t, billed <= b.counted)
	assert.Assert(t, b.counted-billed <= mayLose, "lost %d, stated %d", b.counted-billed, mayLose)
	assert.Assert(t, latest <= outage+12*time.Second, "%s late", latest)
}
