package platform

import (
	"slices"
	"strconv"
	"time"

	"github.com/arbutuswinch/winch"
)

// order is one order to the platform. It may be sent again under its id.
type order struct {
	id     winch.OrderID
	number winch.FencingNumber
	pools  []winch.PoolOrder
}

// outcome is how the sending of an order ended.
type outcome string

const (
	outcomeDone outcome = "Done"
	// outcomeShort: the platform took the order, and has not enough endpoints at the moment.
	outcomeShort   outcome = "Short"
	outcomeFailed  outcome = "Failed"
	outcomeUnknown outcome = "Unknown"
	outcomeFenced  outcome = "Fenced"
)

// worse tells whether the outcome is to be reported rather than the other, for an order
// that takes several calls: what is unknown stays unknown, whatever the others say.
func (o outcome) worse(other outcome) bool { return o.severity() > other.severity() }

func (o outcome) severity() int {
	switch o {
	case outcomeShort:
		return 1
	case outcomeFailed:
		return 2
	case outcomeFenced:
		return 3
	case outcomeUnknown:
		return 4
	}
	return 0
}

// scheduler decides when to order what. It does no I/O.
type scheduler struct {
	incarnation winch.Incarnation
	// repeatEvery is the time after which an order is given anew while the endpoints don't match it.
	repeatEvery time.Duration
	// inFlight is the longest time that an order may be on its way.
	inFlight time.Duration

	number      winch.FencingNumber
	fenced      bool
	lastOrder   order
	lastOutcome outcome
	lastSent    time.Time
	orderCount  int
}

// next returns the order to send now, if there is one, and whether it is a new one.
func (s *scheduler) next(now time.Time, term winch.Term, plan []winch.PoolOrder, running []winch.OrderedEndpoint) (order, bool, bool) {
	if s.number != term.Number {
		s.number, s.fenced = term.Number, false
		s.lastOrder, s.lastOutcome = order{}, ""
	}
	if s.fenced || len(plan) == 0 {
		return order{}, false, false
	}
	// An order whose outcome is unknown may still arrive: another one could be overtaken by it.
	if s.lastOutcome == outcomeUnknown && now.Sub(s.lastSent) < s.inFlight {
		return s.lastOrder, false, true
	}
	done := (s.lastOutcome == outcomeDone || s.lastOutcome == outcomeShort) && slices.Equal(s.lastOrder.pools, plan)
	if done && (countsMatch(plan, running) || now.Sub(s.lastSent) < s.repeatEvery) {
		return order{}, false, false
	}
	return s.newOrder(plan), true, true
}

func (s *scheduler) newOrder(plan []winch.PoolOrder) order {
	s.orderCount++
	id := string(s.incarnation) + "-" + strconv.FormatInt(int64(s.number), 10) + "-" + strconv.Itoa(s.orderCount)
	return order{id: winch.OrderID(id), number: s.number, pools: slices.Clone(plan)}
}

// recordOutcome takes in how the sending ended that began at sent.
func (s *scheduler) recordOutcome(sent time.Time, order order, outcome outcome) {
	repeated := s.lastOrder.id == order.id && s.lastOutcome == outcomeUnknown
	// A repeat that did not arrive tells nothing about the first.
	if repeated && outcome == outcomeFailed {
		return
	}
	s.lastOrder, s.lastOutcome, s.lastSent = order, outcome, sent
	s.fenced = s.fenced || outcome == outcomeFenced
}

// countsMatch reports whether each pool has as many endpoints as planned.
func countsMatch(plan []winch.PoolOrder, running []winch.OrderedEndpoint) bool {
	counts := map[winch.PoolID]int{}
	for _, endpoint := range running {
		if endpoint.State == winch.EndpointStarting || endpoint.State == winch.EndpointReady {
			counts[endpoint.Pool]++
		}
	}
	for _, pool := range plan {
		if counts[pool.Pool] != pool.Count {
			return false
		}
	}
	return true
}
