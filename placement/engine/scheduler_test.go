package engine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/httpjson"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func plan(ids ...winch.EndpointID) []winch.EngineOrder {
	orders := []winch.EngineOrder{}
	for _, id := range ids {
		orders = append(orders, winch.EngineOrder{Endpoint: id, Load: []winch.EngineLoad{{Model: "m", Version: "2"}}})
	}
	return orders
}

func assertNext(t *testing.T, s *scheduler, now time.Time, term winch.Term, plan []winch.EngineOrder, want winch.EndpointID) {
	t.Helper()
	order, due := s.next(now, term, plan)
	assert.Equal(t, due, want != "")
	assert.Equal(t, order.Endpoint, want)
}

func TestCore(t *testing.T) {
	term := winch.Term{Number: 3}
	t.Run("sends each engine one order until it is repeated", func(t *testing.T) {
		s := newScheduler(time.Minute, 2*time.Second)
		assertNext(t, &s, epoch, term, plan("e1", "e2"), "e1")
		assertNext(t, &s, epoch, term, plan("e1", "e2"), "e2")
		assertNext(t, &s, epoch, term, plan("e1", "e2"), "")
		assertNext(t, &s, epoch.Add(time.Minute), term, plan("e1"), "e1")
	})
	t.Run("sends the order again in a new term", func(t *testing.T) {
		s := newScheduler(time.Minute, 2*time.Second)
		assertNext(t, &s, epoch, term, plan("e1"), "e1")
		assertNext(t, &s, epoch, winch.Term{Number: 4}, plan("e1"), "e1")
	})
	t.Run("pauses while the weight store limits the rate", func(t *testing.T) {
		s := newScheduler(time.Minute, 2*time.Second)
		assertNext(t, &s, epoch, term, plan("e1", "e2"), "e1")
		limited := fmt.Errorf("send: %w: %w", winch.ErrRateLimited, &httpjson.Error{RetryAfter: 2 * time.Second})
		s.recordOutcome(epoch, term, plan("e1")[0], limited)
		assertNext(t, &s, epoch.Add(time.Second), term, plan("e1", "e2"), "")
		assertNext(t, &s, epoch.Add(2*time.Second), term, plan("e1", "e2"), "e1")
	})
	t.Run("waits before it sends a different order after one of unknown outcome", func(t *testing.T) {
		s := newScheduler(time.Minute, 2*time.Second)
		assertNext(t, &s, epoch, term, plan("e1"), "e1")
		s.recordOutcome(epoch, term, plan("e1")[0], winch.ErrOutcomeUnknown)
		other := []winch.EngineOrder{{Endpoint: "e1", Load: []winch.EngineLoad{{Model: "m", Version: "3"}}}}
		assertNext(t, &s, epoch.Add(time.Second), term, other, "")
		assertNext(t, &s, epoch.Add(2*time.Second), term, other, "e1")
	})
	t.Run("sends nothing more in a term that was fenced", func(t *testing.T) {
		s := newScheduler(time.Minute, 2*time.Second)
		s.recordOutcome(epoch, term, plan("e1")[0], winch.ErrFenced)
		assertNext(t, &s, epoch, term, plan("e1"), "")
		assertNext(t, &s, epoch, winch.Term{Number: 4}, plan("e1"), "e1")
	})
}
