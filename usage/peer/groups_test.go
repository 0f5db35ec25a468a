package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/usage"
)

func newGroups(t assert.TestingT, hosts, heads int) *simulation {
	s := newSimulation(t, hosts)
	s.heads = heads
	return s
}

func TestGroupsCount(t *testing.T) {
	t.Run("the hub stores what all hosts counted", func(t *testing.T) {
		s := newGroups(t, 9, 2)
		for index := range s.hosts {
			s.record(index, int64(index+1))
		}
		s.drainAndCheck(t.Context())
		assert.Equal(t, s.stored(t.Context()), int64(45))
	})
	t.Run("no other host writes", func(t *testing.T) {
		s := newGroups(t, 9, 2)
		for _, h := range s.hosts[1:] {
			h.storeUnavailable = true
		}
		for index := range s.hosts {
			s.record(index, int64(index+1))
		}
		s.drainAndCheck(t.Context())
		assert.Equal(t, s.stored(t.Context()), int64(45))
		// The first head is the hub's backup host and keeps copies for a while.
		for _, h := range s.hosts[2:] {
			assert.Equal(t, len(h.counters.table.unstored(defaultShards, scopeAll)), 0)
		}
	})
	t.Run("the entry lists the hosts of the groups as complete", func(t *testing.T) {
		s := newGroups(t, 5, 2)
		s.record(4, 5)
		s.exchangeAll()
		s.advance(t.Context(), time.Minute+time.Second)
		for range 3 {
			s.exchangeAll()
			s.tick(t.Context())
		}
		s.advance(t.Context(), 2*defaultStoreEvery)
		all := usage.HostSet{}
		for _, h := range s.hosts {
			all[h.id] = true
		}
		assert.DeepEqual(t, s.complete(t.Context()), all)
	})
	t.Run("a host is complete only when its head has reported for it", func(t *testing.T) {
		s := newGroups(t, 4, 2)
		s.record(3, 5)
		s.exchangeAll()
		s.exchangeAll()
		s.advance(t.Context(), time.Minute+time.Second)
		s.exchange(3, false)
		s.advance(t.Context(), 2*defaultStoreEvery)
		assert.Assert(t, !s.complete(t.Context())["host-04"])
	})
}

func TestGroupsLoseNothingWithAHead(t *testing.T) {
	t.Run("what the head has not reported is reported again", func(t *testing.T) {
		s := newGroups(t, 6, 2)
		s.record(4, 7)
		s.exchange(4, false)
		s.kill(1)
		s.drainAndCheck(t.Context())
		assert.Equal(t, s.stored(t.Context()), int64(7))
	})
	t.Run("what the hub has not stored is reported again", func(t *testing.T) {
		s := newGroups(t, 6, 2)
		s.record(4, 7)
		s.exchangeAll()
		s.exchangeAll()
		s.kill(0)
		s.drainAndCheck(t.Context())
		assert.Equal(t, s.stored(t.Context()), int64(7))
	})
	t.Run("the head that becomes the hub", func(t *testing.T) {
		s := newGroups(t, 6, 2)
		s.record(4, 7)
		s.exchange(4, false)
		s.kill(0)
		s.drainAndCheck(t.Context())
		assert.Equal(t, s.stored(t.Context()), int64(7))
	})
	t.Run("only the heads write for a hub that cannot use the store", func(t *testing.T) {
		s := newGroups(t, 40, 3)
		s.hosts[0].storeUnavailable = true
		for index := range s.hosts {
			s.record(index, int64(index+1))
		}
		for range 150 {
			s.exchangeAll()
			s.tick(t.Context())
		}
		assert.Equal(t, s.stored(t.Context()), int64(40*41/2))
		for _, h := range s.hosts[4:] {
			assert.Equal(t, h.puts, 0, "writes of %s", h.id)
		}
	})
	t.Run("the hub that cannot use the store is late for the heads too", func(t *testing.T) {
		s := newGroups(t, 6, 2)
		s.hosts[0].storeUnavailable = true
		s.record(4, 7)
		for range 150 {
			s.exchangeAll()
			s.tick(t.Context())
		}
		assert.Equal(t, s.stored(t.Context()), int64(7))
	})
}

// TestGroupsLoseNothingBeyondTheStatedAmount is TestNothingIsLostBeyondTheStatedAmount with the heads of groups, which are
// killed as well.
func TestGroupsLoseNothingBeyondTheStatedAmount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		s := newGroups(t, 8, 2)
		for range 100 {
			s.randomStep(ctx, t)
		}
		s.drainAndCheck(ctx)
	})
}

func TestReportWithTooManyMembersIsRejected(t *testing.T) {
	s := newGroups(t, 4, 2)
	report := wireReport{Incarnation: "x", AsOf: s.now}
	for i := range 10_000 {
		report.Members = append(report.Members, wireMember{Host: fmt.Sprint(i), AsOf: s.now})
	}
	encoded, err := json.Marshal(report)
	assert.NilError(t, err)
	assert.ErrorIs(t, s.hosts[0].counters.Collect(s.now, "host-02", encoded), winch.ErrInvalid)
	assert.Equal(t, len(s.hosts[0].counters.membersAsOf), 0)
}
