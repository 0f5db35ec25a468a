package engine

import (
	"errors"
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
)

// core decides which engine is ordered next. It does no I/O.
type core struct {
	repeatEvery time.Duration
	// inFlight is the longest time that an order of unknown outcome may be on its way.
	inFlight time.Duration
	given    map[winch.EndpointID]given
	// pausedUntil is when the weight store takes loads again.
	pausedUntil time.Time
	// fenced is the term after which a higher one was seen.
	fenced winch.FencingNumber
}

// given is the last order of an engine.
type given struct {
	at     time.Time
	number winch.FencingNumber
	load   []winch.EngineLoad
	role   string
	// unknown says that the order may still be on its way.
	unknown bool
}

func newCore(repeatEvery, inFlight time.Duration) core {
	return core{repeatEvery: repeatEvery, inFlight: inFlight, given: map[winch.EndpointID]given{}}
}

// next returns the first order of the plan that is due.
func (c *core) next(now time.Time, term winch.Term, plan []winch.EngineOrder) (winch.EngineOrder, bool) {
	c.forget(plan)
	if now.Before(c.pausedUntil) || term.Number <= c.fenced {
		return winch.EngineOrder{}, false
	}
	for _, order := range plan {
		last, found := c.given[order.Endpoint]
		if found && c.wait(now, term, last, order) {
			continue
		}
		c.given[order.Endpoint] = given{at: now, number: term.Number, load: order.Load, role: order.Role}
		return order, true
	}
	return winch.EngineOrder{}, false
}

// wait tells whether the engine must not be ordered yet: it was just given the same
// order, or another one may still be on its way to it.
func (c *core) wait(now time.Time, term winch.Term, last given, order winch.EngineOrder) bool {
	if last.number != term.Number {
		return false
	}
	if last.same(order) {
		return now.Sub(last.at) < c.repeatEvery
	}
	return last.unknown && now.Sub(last.at) < c.inFlight
}

// ended takes the outcome of an order in.
func (c *core) ended(now time.Time, term winch.Term, order winch.EngineOrder, err error) {
	switch {
	case errors.Is(err, winch.ErrRateLimited):
		c.pausedUntil = now.Add(retryAfter(err))
		// The engine is ordered again after the pause.
		delete(c.given, order.Endpoint)
	case errors.Is(err, winch.ErrOutcomeUnknown):
		last := c.given[order.Endpoint]
		last.at, last.unknown = now, true
		c.given[order.Endpoint] = last
	case errors.Is(err, winch.ErrFenced):
		c.fenced = term.Number
	}
}

// forget drops engines that need no order any more.
func (c *core) forget(plan []winch.EngineOrder) {
	for id := range c.given {
		if !slices.ContainsFunc(plan, func(order winch.EngineOrder) bool { return order.Endpoint == id }) {
			delete(c.given, id)
		}
	}
}

func (g given) same(order winch.EngineOrder) bool {
	return g.role == order.Role && slices.Equal(g.load, order.Load)
}
