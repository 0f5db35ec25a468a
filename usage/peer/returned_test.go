package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/keyvalue/memory"
)

// testEras is a winch.EraSource that a test sets.
type testEras struct{ newest winch.Era }

func (e *testEras) Newest() winch.Era { return e.newest }

// comeBack replaces the store by one that has none of the counts, in a new era that the hosts learn of at their next step.
func (s *simulation) comeBack() {
	s.store = memory.New()
	for _, h := range s.hosts {
		h.KeyValue = s.store
	}
	s.eras.newest++
}

func TestCountsThatTheStoreLostAreStoredAgain(t *testing.T) {
	stored := func(t *testing.T) *simulation {
		t.Helper()
		s := newSimulation(t, 3)
		for index := range s.hosts {
			s.record(index, int64(index+1))
		}
		s.drainAndCheck(t.Context())
		for _, h := range s.hosts {
			h.puts = 0
		}
		return s
	}
	t.Run("by the hub, at once", func(t *testing.T) {
		s := stored(t)
		s.comeBack()
		s.tick(t.Context())
		assert.Equal(t, s.stored(t.Context()), int64(6))
		s.drainAndCheck(t.Context())
		assert.Equal(t, s.stored(t.Context()), int64(6), "nothing is counted twice")
		for _, h := range s.hosts[1:] {
			assert.Equal(t, h.puts, 0, "only the hub writes")
		}
	})
	t.Run("by a new hub, to which the hosts report them again", func(t *testing.T) {
		s := stored(t)
		s.comeBack()
		s.tick(t.Context())
		s.comeBack()
		s.kill(0)
		s.drainAndCheck(t.Context())
		assert.Assert(t, s.stored(t.Context()) >= 5, "the counts of the hosts that live")
	})
	t.Run("but not before the windows that are kept", func(t *testing.T) {
		s := stored(t)
		s.advance(t.Context(), (keptWindows+2)*time.Minute)
		s.comeBack()
		s.exchangeFor(t.Context(), 40)
		assert.Equal(t, s.stored(t.Context()), int64(0))
	})
}
