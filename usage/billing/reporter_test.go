package billing

import (
	"context"
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/keyvalue/memory"
	"github.com/arbutuswinch/winch/usage"
	"github.com/arbutuswinch/winch/usage/keyvalue"
	"github.com/arbutuswinch/winch/usage/peer"
)

const (
	maxGrace = 40 * time.Second
	catchUp  = 4 * time.Second
)

var start = time.Unix(6000, 0).UTC()

// simulation runs several reporters of one shard against one platform. Only the newest reporter
// holds the lease, but the replaced ones still believe they are.
type simulation struct {
	t     assert.TestingT
	store *memory.Store
	// service is what the reporters use, which is store unless a test replaces it.
	service          winch.KeyValue
	now              time.Time
	currentTerm      winch.FencingNumber
	reported         map[time.Time][]wireFigure
	reporters        map[winch.FencingNumber]*Reporter
	counted          map[usage.Source]usage.Counts
	loseNextResponse bool
	reports          int
	// writesUntilTakeOver counts down with each write. At zero a successor takes over and runs
	// a step before that write takes effect, which simulates a write that arrives late.
	writesUntilTakeOver int
	// alive are the hosts that the reporters see. complete are the hosts whose counts are all
	// stored.
	alive    []winch.HostID
	complete usage.HostSet
	// onTimeFrom is Options.OnTimeFrom of new reporters.
	onTimeFrom winch.DataCentreID
	// listed holds the prefixes that the reporters have listed.
	listed []string
	// sealed is what the hosts of the reporters tell each other.
	sealed toldAtOnce
}

// toldAtOnce is what hosts know that tell each other at once.
type toldAtOnce struct{ *peer.SealedWindows }

func (toldAtOnce) Told() bool { return true }

// visibleMembership is the membership that the reporters see.
type visibleMembership struct {
	winch.Membership
	simulation *simulation
}

func (m visibleMembership) DataCentres() []winch.DataCentreID { return []winch.DataCentreID{"yard-1"} }

func (m visibleMembership) Hosts(time.Time, winch.DataCentreID) []winch.Host {
	hosts := []winch.Host{}
	for _, id := range m.simulation.alive {
		hosts = append(hosts, winch.Host{ID: id})
	}
	return hosts
}

// interceptedStore is the store that the reporters use.
type interceptedStore struct {
	winch.KeyValue
	simulation *simulation
}

// Put lets a successor act first when writesUntilTakeOver reaches zero.
func (i interceptedStore) Put(ctx context.Context, key string, value []byte, expect winch.Version) (winch.Version, error) {
	if i.simulation.writesUntilTakeOver--; i.simulation.writesUntilTakeOver == 0 {
		i.simulation.takeOver().Step(ctx, i.simulation.now)
	}
	return i.KeyValue.Put(ctx, key, value, expect)
}

// List records the prefix.
func (i interceptedStore) List(ctx context.Context, prefix string) ([]winch.Entry, winch.Version, error) {
	i.simulation.listed = append(i.simulation.listed, prefix)
	return i.KeyValue.List(ctx, prefix)
}

func newSimulation(t assert.TestingT) *simulation {
	store := memory.New()
	return &simulation{
		t: t, store: store, service: store, now: start, reported: map[time.Time][]wireFigure{},
		reporters: map[winch.FencingNumber]*Reporter{}, counted: map[usage.Source]usage.Counts{},
		sealed: toldAtOnce{peer.NewSealedWindows("host")},
	}
}

// Now implements winch.Clock.
func (s *simulation) Now() time.Time { return s.now }

// staleLeaseGuard is a winch.LeaseGuard whose term never ends, although a successor has taken over.
type staleLeaseGuard struct{ number winch.FencingNumber }

func (c staleLeaseGuard) Term(now time.Time) (winch.Term, bool) {
	return winch.Term{Number: c.number, ValidUntil: now.Add(time.Second)}, true
}

func (c staleLeaseGuard) Begin(now time.Time) (winch.Term, func(), error) {
	term, _ := c.Term(now)
	return term, func() {}, nil
}

// Send acts as the fenced sender and the platform. It fails the test when a window is reported
// again with different figures.
func (s *simulation) Send(_ context.Context, _ winch.LeaseGuard, call winch.FencedCall) ([]byte, error) {
	if call.Number != s.currentTerm {
		return nil, winch.ErrNotLeaseHolder
	}
	report := reportCall{}
	assert.NilError(s.t, json.Unmarshal(call.Body, &report))
	s.reports++
	previous, found := s.reported[report.Window]
	if found && !reflect.DeepEqual(previous, report.Figures) {
		assert.Assert(s.t, false, "window %s reported as %v and as %v", report.Window, previous, report.Figures)
	}
	s.reported[report.Window] = report.Figures
	if s.loseNextResponse {
		s.loseNextResponse = false
		return nil, winch.ErrOutcomeUnknown
	}
	return nil, nil
}

// takeOver gives the lease to a new reporter. The earlier ones still believe they hold their terms.
func (s *simulation) takeOver() *Reporter {
	s.currentTerm++
	reporter, err := New(Options{
		Protocol: NativeProtocol{Address: "127.0.0.1:1"}, Shard: 0, Host: "host", Incarnation: winch.Incarnation(fmt.Sprintf("i%d", s.currentTerm)),
		Lease: staleLeaseGuard{number: s.currentTerm}, Sender: s, Store: interceptedStore{KeyValue: s.service, simulation: s}, Clock: s,
		MaxGrace: maxGrace, CatchUpDelay: catchUp, Membership: visibleMembership{simulation: s}, OnTimeFrom: s.onTimeFrom,
		Sealed: s.sealed,
	})
	assert.NilError(s.t, err)
	s.reporters[s.currentTerm] = reporter
	return reporter
}

// count adds requests to the stored counts of the window, as the hub of a data centre does.
func (s *simulation) count(ctx context.Context, window usage.Window, dataCentre winch.DataCentreID, requests int64) {
	source := usage.Source{Window: window, DataCentre: dataCentre}
	s.counted[source] = s.counted[source].Plus(usage.Counts{Requests: requests})
	key := usage.CounterKey{Window: window, Incarnation: "i", Organisation: "dealer"}
	value, err := keyvalue.EncodeCollected(keyvalue.Collected{
		Cells: []usage.Counter{{Key: key, Counts: s.counted[source]}}, Complete: s.complete,
	})
	assert.NilError(s.t, err)
	_, err = s.service.Put(ctx, keyvalue.CollectedKey(0, source), value, winch.VersionAny)
	assert.NilError(s.t, err)
}

// assertReported checks that each counted request was reported exactly once.
func (s *simulation) assertReported() {
	counted, reported := int64(0), int64(0)
	for _, counts := range s.counted {
		counted += counts.Requests
	}
	for _, figures := range s.reported {
		for _, figure := range figures {
			reported += figure.Requests
		}
	}
	assert.Equal(s.t, reported, counted)
}

func TestReporterThatReadsUnsealedWindowsOnly(t *testing.T) {
	const length = usage.Window(defaultWindow / time.Second)
	s := newSimulation(t)
	s.onTimeFrom = "yard-1"
	reporter := s.takeOver()
	run := func(windows int) {
		for range windows {
			s.count(t.Context(), usage.WindowOf(s.now, defaultWindow), "yard-1", 3)
			for range int(length) {
				s.now = s.now.Add(time.Second)
				reporter.Step(t.Context(), s.now)
			}
		}
	}
	run(4)
	s.listed = nil
	run(20)
	t.Run("each read is that of one window", func(t *testing.T) {
		assert.Assert(t, len(s.listed) > 0)
		for _, prefix := range s.listed {
			assert.Assert(t, prefix != keyvalue.CollectedPrefix(0), "all windows were read")
		}
	})
	t.Run("a successor goes on", func(t *testing.T) {
		reporter = s.takeOver()
		run(3)
		s.now = s.now.Add(2 * defaultWindow)
		reporter.Step(t.Context(), s.now)
		s.assertReported()
	})
	t.Run("late counts are left out", func(t *testing.T) {
		reports := s.reports
		s.count(t.Context(), usage.WindowOf(s.now, defaultWindow)-5*length, "yard-1", 7)
		s.now = s.now.Add(2 * defaultWindow)
		reporter.Step(t.Context(), s.now)
		assert.Equal(t, s.reports, reports)
	})
	t.Run("old counts are deleted", func(t *testing.T) {
		s.counted = map[usage.Source]usage.Counts{}
		run(90)
		entries, _, err := s.store.List(t.Context(), keyvalue.CollectedPrefix(0))
		assert.NilError(t, err)
		assert.Assert(t, len(entries) < 80, "%d windows are kept", len(entries))
	})
}

func TestReporter(t *testing.T) {
	t.Run("reports a window once", func(t *testing.T) {
		s := newSimulation(t)
		s.count(t.Context(), 6000, "yard-1", 3)
		reporter := s.takeOver()
		s.now = start.Add(69 * time.Second)
		reporter.Step(t.Context(), s.now)
		assert.Equal(t, s.reports, 0)
		for range 5 {
			s.now = s.now.Add(time.Second)
			reporter.Step(t.Context(), s.now)
		}
		assert.Equal(t, s.reports, 1)
		s.assertReported()
	})
	t.Run("late counts become an adjustment", func(t *testing.T) {
		s := newSimulation(t)
		s.count(t.Context(), 6000, "yard-1", 3)
		reporter := s.takeOver()
		s.now = start.Add(70 * time.Second)
		reporter.Step(t.Context(), s.now)
		s.count(t.Context(), 6000, "yard-2", 2)
		s.count(t.Context(), 6060, "yard-2", 1)
		s.now = start.Add(130 * time.Second)
		reporter.Step(t.Context(), s.now)
		assert.DeepEqual(t, s.reported[start.Add(time.Minute)], []wireFigure{
			{Organisation: "dealer", Requests: 1},
			{Organisation: "dealer", Requests: 2, Adjustment: true},
		})
	})
	t.Run("a successor sends the same figures", func(t *testing.T) {
		s := newSimulation(t)
		s.count(t.Context(), 6000, "yard-1", 3)
		reporter := s.takeOver()
		s.loseNextResponse = true
		s.now = start.Add(70 * time.Second)
		reporter.Step(t.Context(), s.now)
		s.count(t.Context(), 6000, "yard-1", 4)
		s.takeOver().Step(t.Context(), s.now)
		assert.Equal(t, s.reports, 2)
		s.now = start.Add(130 * time.Second)
		s.reporters[s.currentTerm].Step(t.Context(), s.now)
		s.assertReported()
	})
	t.Run("old entries are removed", func(t *testing.T) {
		s := newSimulation(t)
		s.count(t.Context(), 6000, "yard-1", 3)
		reporter := s.takeOver()
		// 130 minutes exceed twice the retention of one hour, after which seals are deleted.
		for range 130 {
			s.now = s.now.Add(time.Minute)
			reporter.Step(t.Context(), s.now)
		}
		entries, _, err := s.store.List(t.Context(), "usage/collected/")
		assert.NilError(t, err)
		assert.Equal(t, len(entries), 0)
		entries, _, err = s.store.List(t.Context(), "usage/sealed/")
		assert.NilError(t, err)
		assert.Equal(t, len(entries), 0)
		s.assertReported()
	})
}

// TestSealWaits checks how long a seal waits for hosts whose counts are missing.
func TestSealWaits(t *testing.T) {
	cases := []struct {
		name     string
		alive    []winch.HostID
		complete usage.HostSet
		// leavesAt is when the incomplete hosts disappear from the membership, relative to the
		// start of the window.
		leavesAt time.Duration
		// checkedAt is when the test checks for a report, relative to the start of the window.
		checkedAt  time.Duration
		wantSealed bool
	}{
		{"all counts are complete", []winch.HostID{"a", "b"}, usage.HostSet{"a": true, "b": true}, time.Hour, 70 * time.Second, true},
		{"a host's counts are missing", []winch.HostID{"a", "b"}, usage.HostSet{"a": true}, time.Hour, 99 * time.Second, false},
		{"a host's counts are still missing at the deadline", []winch.HostID{"a", "b"}, usage.HostSet{"a": true}, time.Hour, 100 * time.Second, true},
		{"a host disappears during the window", []winch.HostID{"a", "b"}, usage.HostSet{"a": true}, 10 * time.Second, 99 * time.Second, false},
		{"a host disappeared before the window", []winch.HostID{"a", "b"}, usage.HostSet{"a": true}, -time.Second, 70 * time.Second, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(t)
			s.alive, s.complete = c.alive, c.complete
			reporter := s.takeOver()
			for s.now = start.Add(-70 * time.Second); s.now.Before(start.Add(c.checkedAt)); s.now = s.now.Add(time.Second) {
				if !s.now.Before(start.Add(c.leavesAt)) {
					s.alive = []winch.HostID{"a"}
				}
				reporter.Step(t.Context(), s.now)
			}
			s.count(t.Context(), 6000, "yard-1", 3)
			reporter.Step(t.Context(), s.now)
			assert.Equal(t, s.reports > 0, c.wantSealed)
		})
	}
	t.Run("catch-up time after an outage", func(t *testing.T) {
		s := newSimulation(t)
		s.alive = []winch.HostID{"a"}
		s.count(t.Context(), 6000, "yard-1", 3)
		reporter := s.takeOver()
		s.store.SetOutage(true)
		s.now = start.Add(110 * time.Second)
		reporter.Step(t.Context(), s.now)
		s.store.SetOutage(false)
		reporter.Step(t.Context(), s.now)
		s.now = s.now.Add(catchUp - time.Second)
		reporter.Step(t.Context(), s.now)
		assert.Equal(t, s.reports, 0)
		s.now = s.now.Add(time.Second)
		reporter.Step(t.Context(), s.now)
		assert.Equal(t, s.reports, 1)
	})
	t.Run("missing counts arrive", func(t *testing.T) {
		s := newSimulation(t)
		s.alive, s.complete = []winch.HostID{"a", "b"}, usage.HostSet{"a": true}
		s.count(t.Context(), 6000, "yard-1", 3)
		reporter := s.takeOver()
		s.now = start.Add(71 * time.Second)
		reporter.Step(t.Context(), s.now)
		s.complete = usage.HostSet{"a": true, "b": true}
		s.count(t.Context(), 6000, "yard-1", 4)
		s.now = start.Add(72 * time.Second)
		reporter.Step(t.Context(), s.now)
		assert.DeepEqual(t, s.reported[start], []wireFigure{{Organisation: "dealer", Requests: 7}})
	})
}

// TestWindowsAreReportedOnce checks that each count is reported exactly once, and each window
// with one set of figures, while replaced reporters keep running and responses are lost.
func TestWindowsAreReportedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		s := newSimulation(t)
		s.takeOver()
		for range 200 {
			s.randomStep(ctx, t)
		}
		s.store.LoseResponses(0)
		s.loseNextResponse, s.writesUntilTakeOver = false, 0
		last := s.takeOver()
		s.now = s.now.Add(3 * time.Minute)
		last.Step(ctx, s.now)
		s.assertReported()
	})
}

func (s *simulation) randomStep(ctx context.Context, t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "step") {
	case 0, 1:
		window := usage.WindowOf(s.now, time.Minute) - usage.Window(60*rapid.IntRange(0, 3).Draw(t, "age"))
		s.store.LoseResponses(0)
		s.count(ctx, window, winch.DataCentreID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "centre")), 1)
	case 2, 3:
		s.now = s.now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "seconds")) * time.Second)
	case 4:
		s.store.LoseResponses(rapid.IntRange(1, 3).Draw(t, "lost"))
	case 5:
		s.loseNextResponse = true
	case 6:
		s.takeOver()
	case 7:
		s.writesUntilTakeOver = rapid.IntRange(1, 4).Draw(t, "overtaken at")
	default:
		number := rapid.IntRange(1, int(s.currentTerm)).Draw(t, "reporter")
		s.reporters[winch.FencingNumber(number)].Step(ctx, s.now)
	}
}
