package engine

import (
	"errors"
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
)

// scheduler decides which engine gets the next order. It does no I/O.
type scheduler struct {
	repeatEvery time.Duration
	// inFlight is the longest time that an order of unknown outcome may take to arrive.
	inFlight   time.Duration
	lastOrders map[winch.EndpointID]sentOrder
	// pausedUntil is the end of a pause that the weight store's rate limit asked for.
	pausedUntil time.Time
	// fencedTerm is the newest term in which an engine reported a higher fencing number.
	fencedTerm winch.FencingNumber
}

// sentOrder is the last order that an engine was sent.
type sentOrder struct {
	at     time.Time
	number winch.FencingNumber
	load   []winch.EngineLoad
	role   string
	// outcomeUnknown means that the order may still be in flight.
	outcomeUnknown bool
}

func newScheduler(repeatEvery, inFlight time.Duration) scheduler {
	return scheduler{repeatEvery: repeatEvery, inFlight: inFlight, lastOrders: map[winch.EndpointID]sentOrder{}}
}

// next chooses the first order of the plan that is due, and records it as sent.
func (s *scheduler) next(now time.Time, term winch.Term, plan []winch.EngineOrder) (winch.EngineOrder, bool) {
	s.prune(plan)
	if now.Before(s.pausedUntil) || term.Number <= s.fencedTerm {
		return winch.EngineOrder{}, false
	}
	for _, order := range plan {
		last, found := s.lastOrders[order.Endpoint]
		if found && s.mustWait(now, term, last, order) {
			continue
		}
		s.lastOrders[order.Endpoint] = sentOrder{at: now, number: term.Number, load: order.Load, role: order.Role}
		return order, true
	}
	return winch.EngineOrder{}, false
}

// mustWait reports whether the engine must not be sent the order yet, because it was
// recently sent the same order, or because a different one may still be in flight.
func (s *scheduler) mustWait(now time.Time, term winch.Term, last sentOrder, order winch.EngineOrder) bool {
	// In a new term each engine is sent its order again, with the new fencing number.
	if last.number != term.Number {
		return false
	}
	if last.matches(order) {
		return now.Sub(last.at) < s.repeatEvery
	}
	return last.outcomeUnknown && now.Sub(last.at) < s.inFlight
}

// recordOutcome records the outcome of an order. After an error without a case of its own,
// the order is sent again after repeatEvery.
func (s *scheduler) recordOutcome(now time.Time, term winch.Term, order winch.EngineOrder, err error) {
	switch {
	case errors.Is(err, winch.ErrRateLimited):
		s.pausedUntil = now.Add(retryAfter(err))
		// The order is sent again after the pause.
		delete(s.lastOrders, order.Endpoint)
	case errors.Is(err, winch.ErrOutcomeUnknown):
		last := s.lastOrders[order.Endpoint]
		last.at, last.outcomeUnknown = now, true
		s.lastOrders[order.Endpoint] = last
	case errors.Is(err, winch.ErrFenced):
		s.fencedTerm = term.Number
	}
}

// prune removes the engines that are no longer in the plan, also those whose last order may
// still be in flight. If such an engine returns to the plan, no wait applies to it.
func (s *scheduler) prune(plan []winch.EngineOrder) {
	for id := range s.lastOrders {
		if !slices.ContainsFunc(plan, func(order winch.EngineOrder) bool { return order.Endpoint == id }) {
			delete(s.lastOrders, id)
		}
	}
}

func (o sentOrder) matches(order winch.EngineOrder) bool {
	return o.role == order.Role && slices.Equal(o.load, order.Load)
}
