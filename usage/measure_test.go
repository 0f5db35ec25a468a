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
	hostCount  = 7
	shardCount = 4
	// runTicks is the length of a run in ticks of a tenth of a second: 10 minutes.
	runTicks       = 10 * 60 * 10
	ticksPerSecond = 10
	tick           = time.Second / ticksPerSecond
	window         = time.Minute
	// requestsPerTick is the number of requests that each host counts per tick.
	requestsPerTick = 2
)

// simulation runs the hosts of one data centre with default settings in simulated time. It is
// also their clock, term guard and fenced sender.
type simulation struct {
	t       *testing.T
	random  *rand.Rand
	store   *memory.Store
	now     time.Time
	hosts   []*simulatedHost
	started int

	reporters []*billing.Reporter
	reported  map[string][]reportedFigure
	lateness  []time.Duration
	counted   int64
}

type simulatedHost struct {
	winch.Membership
	simulation *simulation
	id         winch.HostID
	counters   *peer.Counters
	// sinceExchange is the number of requests counted since the last exchange.
	sinceExchange int64
}

type reportedFigure struct {
	Organisation string
	Requests     int64
	Adjustment   bool
}

func (h *simulatedHost) RelaysReports(time.Time) bool { return false }

func (h *simulatedHost) Self() winch.Host { return winch.Host{ID: h.id, DataCentre: "yard-1"} }

func (h *simulatedHost) Hub(time.Time, winch.DataCentreID) (winch.Host, bool) {
	return h.simulation.hosts[0].Self(), true
}

func (h *simulatedHost) Hosts(time.Time, winch.DataCentreID) []winch.Host {
	hosts := []winch.Host{}
	for _, other := range h.simulation.hosts {
		hosts = append(hosts, other.Self())
	}
	return hosts
}

func (s *simulation) Now() time.Time { return s.now }

func (s *simulation) Term(now time.Time) (winch.Term, bool) {
	return winch.Term{Number: 1, ValidUntil: now.Add(time.Second)}, true
}

func (s *simulation) Begin(now time.Time) (winch.Term, func(), error) {
	term, _ := s.Term(now)
	return term, func() {}, nil
}

// Send acts as the platform: it records each report and fails when a window is reported again
// with different figures.
func (s *simulation) Send(_ context.Context, _ winch.LeaseGuard, call winch.FencedCall) ([]byte, error) {
	report := struct {
		Shard   int
		Window  time.Time
		Figures []reportedFigure
	}{}
	assert.NilError(s.t, json.Unmarshal(call.Body, &report))
	key := fmt.Sprintf("%d %s", report.Shard, report.Window)
	if first, found := s.reported[key]; found {
		assert.Assert(s.t, reflect.DeepEqual(first, report.Figures), "window %s reported twice with different figures", key)
		return nil, nil
	}
	s.reported[key] = report.Figures
	s.lateness = append(s.lateness, s.now.Sub(report.Window.Add(window)))
	return nil, nil
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	t.Helper()
	s := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, seed)), store: memory.New(),
		now: time.Unix(6000, 0).UTC(), reported: map[string][]reportedFigure{},
	}
	for range hostCount {
		s.startHost()
	}
	for shard := range winch.Shard(shardCount) {
		reporter, err := billing.New(billing.Options{
			Protocol: billing.NativeProtocol{Address: "127.0.0.1:1"}, Shard: shard, Host: "host", Lease: s, Sender: s, Store: s.store, Clock: s,
		})
		assert.NilError(t, err)
		s.reporters = append(s.reporters, reporter)
	}
	return s
}

func (s *simulation) startHost() {
	s.started++
	h := &simulatedHost{simulation: s, id: winch.HostID(fmt.Sprintf("host-%03d", s.started))}
	counters, err := peer.New(peer.Options{Store: s.store, Membership: h, Clock: s, Shards: shardCount})
	assert.NilError(s.t, err)
	h.counters = counters
	s.hosts = append(s.hosts, h)
}

// advance moves the time forward by one tick. Each host exchanges once a second, each at a
// different tick.
func (s *simulation) advance(ctx context.Context, tickNumber int, recording bool) {
	s.now = s.now.Add(tick)
	for i, h := range s.hosts {
		if recording {
			organisation := winch.OrganisationID(fmt.Sprintf("dealer-%d", s.random.IntN(10)))
			h.counters.Record(s.now, winch.UsageRecord{Organisation: organisation, Requests: requestsPerTick})
			h.sinceExchange += requestsPerTick
			s.counted += requestsPerTick
		}
		if (tickNumber+i)%ticksPerSecond == 0 {
			s.exchange(h)
			h.counters.Step(ctx, s.now)
		}
	}
	if tickNumber%ticksPerSecond == 0 {
		for _, reporter := range s.reporters {
			reporter.Step(ctx, s.now)
		}
	}
}

func (s *simulation) exchange(h *simulatedHost) {
	hub := s.hosts[0]
	if h == hub {
		return
	}
	assert.NilError(s.t, hub.counters.Collect(s.now, h.id, h.counters.Report(s.now)))
	h.sinceExchange = 0
	assert.NilError(s.t, h.counters.Apply(s.now, s.now, hub.id, hub.counters.Summary(s.now, h.id)))
	if h == s.hosts[1] {
		// hosts[1] is the backup host: it now has copies of the hub's counters.
		hub.sinceExchange = 0
	}
}

// kill removes a host without a shutdown and starts a new one. It returns the number of
// requests that may be lost with the host.
func (s *simulation) kill(index int) int64 {
	sinceExchange := s.hosts[index].sinceExchange
	s.hosts = slices.Delete(s.hosts, index, index+1)
	s.startHost()
	return sinceExchange
}

func (s *simulation) sum() (reported, adjusted int64) {
	for _, figures := range s.reported {
		for _, figure := range figures {
			reported += figure.Requests
			if figure.Adjustment {
				adjusted += figure.Requests
			}
		}
	}
	return reported, adjusted
}

// TestLatenessAndLoss measures the lateness of reports and the share of lost counts while a
// host is killed every two minutes, with and without an outage of the key-value service. Lost
// counts must not exceed what the killed hosts had counted since their last exchange, and no
// report may be later than the outage plus 12 s: the default grace of 10 s, and 2 s for the
// steps of the hosts and reporters.
func TestLatenessAndLoss(t *testing.T) {
	for _, outage := range []time.Duration{0, 3 * time.Minute} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("outage %s, seed %d", outage, seed), func(t *testing.T) { runSimulation(t, seed, outage) })
		}
	}
}

func runSimulation(t *testing.T, seed uint64, outage time.Duration) {
	s := newSimulation(t, seed)
	start, maxLost := s.now, int64(0)
	for tickNumber := range runTicks {
		elapsed := s.now.Sub(start)
		s.store.SetOutage(elapsed >= 4*time.Minute && elapsed < 4*time.Minute+outage)
		s.advance(t.Context(), tickNumber, true)
		// 1200 ticks are two minutes.
		if tickNumber%1200 == 1200/2 {
			maxLost += s.kill(s.random.IntN(hostCount))
		}
	}
	s.store.SetOutage(false)
	for tickNumber := range 3 * 60 * ticksPerSecond {
		s.advance(t.Context(), tickNumber, false)
	}
	reported, adjusted := s.sum()
	slices.Sort(s.lateness)
	maxLateness := s.lateness[len(s.lateness)-1]
	t.Logf("counted %d, reported %d, lost %d (%.4f%%), adjusted %d, windows %d, lateness median %s, most %s",
		s.counted, reported, s.counted-reported, 100*float64(s.counted-reported)/float64(s.counted), adjusted,
		len(s.lateness), s.lateness[len(s.lateness)/2], maxLateness)
	assert.Assert(t, reported <= s.counted)
	assert.Assert(t, s.counted-reported <= maxLost, "lost %d, at most %d may be lost", s.counted-reported, maxLost)
	assert.Assert(t, maxLateness <= outage+12*time.Second, "%s late", maxLateness)
}
