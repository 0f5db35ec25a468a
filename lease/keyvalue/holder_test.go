package keyvalue

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/clock/boottime"
	"github.com/arbutuswinch/winch/keyvalue/memory"
)

// member is a Membership of one host. The test sets whether that host is the candidate.
type member struct {
	winch.Membership
	host      winch.HostID
	candidate atomic.Bool
	rank      int
	leaving   bool
}

func (m *member) Self() winch.Host { return winch.Host{ID: m.host, Leaving: m.leaving} }

func (m *member) Candidate(time.Time, winch.Duty, winch.DataCentreID) bool { return m.candidate.Load() }

func (m *member) RelaysReports(time.Time) bool { return false }

func (m *member) Rank(time.Time, winch.Duty, winch.DataCentreID) int { return m.rank }

type fixture struct {
	holder *Holder
	member *member
	clock  winch.Clock
	stop   func()
}

func run(t *testing.T, store winch.KeyValue, host winch.HostID, candidate bool) *fixture {
	t.Helper()
	clock, err := boottime.New()
	assert.NilError(t, err)
	m := &member{host: host}
	m.candidate.Store(candidate)
	holder, err := New(Options{
		Store: store, Duty: "orders/a", Membership: m, Clock: clock,
		TTL: 600 * time.Millisecond, RenewEvery: 100 * time.Millisecond, InFlight: 100 * time.Millisecond, Drift: 20 * time.Millisecond,
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = holder.Run(ctx) }()
	stop := func() { cancel(); <-done }
	t.Cleanup(stop)
	return &fixture{holder: holder, member: m, clock: clock, stop: stop}
}

func (f *fixture) waitHeld(t *testing.T, want bool) winch.Term {
	t.Helper()
	term := winch.Term{}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		got, held := f.holder.Term(f.clock.Now())
		if held != want {
			return poll.Continue("held is %v", held)
		}
		term = got
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(10*time.Second))
	return term
}

func TestStandbys(t *testing.T) {
	const standbys = 8
	cases := map[string]struct {
		rank               int
		leaving            bool
		candidate, standby bool
	}{
		"the candidate":              {0, false, true, false},
		"the last standby":           {standbys, false, true, true},
		"a host that ranks after it": {standbys + 1, false, false, true},
		"a standby that is leaving":  {1, true, false, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := &member{rank: c.rank, leaving: c.leaving}
			m.candidate.Store(c.rank == 0)
			holder := &Holder{options: Options{Membership: m, Standbys: standbys}}
			candidate, standby := holder.candidate(time.Now())
			assert.Equal(t, candidate, c.candidate)
			assert.Equal(t, standby, c.standby)
		})
	}
}

func TestHolder(t *testing.T) {
	t.Run("releases the lease to a new candidate", func(t *testing.T) {
		store := memory.New()
		first := run(t, store, "a", true)
		second := run(t, store, "b", false)
		old := first.waitHeld(t, true)
		first.member.candidate.Store(false)
		second.member.candidate.Store(true)
		successor := second.waitHeld(t, true)
		assert.Assert(t, successor.Number > old.Number)
		first.waitHeld(t, false)
	})
	t.Run("releases the lease on a graceful stop", func(t *testing.T) {
		store := memory.New()
		first := run(t, store, "a", true)
		first.waitHeld(t, true)
		first.stop()
		entry, err := store.Get(t.Context(), "charge/orders/a")
		assert.NilError(t, err)
		found, err := decodeRecord(entry.Value)
		assert.NilError(t, err)
		assert.Assert(t, found.released)
	})
	t.Run("does not release the lease while work is in progress", func(t *testing.T) {
		store := memory.New()
		first := run(t, store, "a", true)
		first.waitHeld(t, true)
		_, done, err := first.holder.Begin(first.clock.Now())
		assert.NilError(t, err)
		defer done()
		first.stop()
		entry, err := store.Get(t.Context(), "charge/orders/a")
		assert.NilError(t, err)
		found, err := decodeRecord(entry.Value)
		assert.NilError(t, err)
		assert.Assert(t, !found.released)
		_, _, err = first.holder.Begin(first.clock.Now())
		assert.Assert(t, errors.Is(err, winch.ErrNotLeaseHolder))
	})
	t.Run("acquires the lease despite lost responses", func(t *testing.T) {
		store := memory.New()
		store.LoseResponses(3)
		run(t, store, "a", true).waitHeld(t, true)
	})
	t.Run("expires in an outage and continues with the same number afterwards", func(t *testing.T) {
		store := memory.New()
		first := run(t, store, "a", true)
		old := first.waitHeld(t, true)
		store.SetOutage(true)
		first.waitHeld(t, false)
		store.SetOutage(false)
		assert.Equal(t, first.waitHeld(t, true).Number, old.Number)
	})
}
