package platform

import (
	"slices"
	"strconv"
	"time"

	"github.com/arbutuswinch/winch"
)

// order is one order to the platform. It may be sent more than once with the same id.
type order struct {
	id     winch.OrderID
	number winch.FencingNumber
	pools  []winch.PoolOrder
}

// outcome is the result of sending an order.
type outcome string

const (
	outcomeDone outcome = "Done"
	// outcomeShort means that the platform accepted the order but does not have enough
	// endpoints at the moment.
	outcomeShort outcome = "Short"
	// outcomeFailed means that a call of the order was not accepted and had no effect.
	outcomeFailed outcome = "Failed"
	// outcomeUnknown means that the order may have been received, or may still arrive.
	outcomeUnknown outcome = "Unknown"
	// outcomeFenced means that the platform has seen a higher fencing number.
	outcomeFenced outcome = "Fenced"
)

// worse reports whether the outcome is worse than the other. The worst outcome of an order's
// calls is the outcome of the order. Unknown is the worst, since the order must then be
// repeated whatever the other calls returned.
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

// scheduler decides which order to send and when. It does no I/O.
type scheduler struct {
	incarnation winch.Incarnation
	// renewAfter is the time after which a new order is sent while the endpoints do not match the plan.
	renewAfter time.Duration
	// inFlight is the longest time that an order may take to arrive.
	inFlight time.Duration

	// number is the fencing number of the newest term, and fenced is set when the platform
	// has seen a higher one.
	number      winch.FencingNumber
	fenced      bool
	lastOrder   order
	lastOutcome outcome
	lastSent    time.Time
	// orderCount makes the ids of this process's orders unique.
	orderCount int
}

// next returns the order to send now, whether it is new rather than a repetition, and
// whether there is an order to send at all.
func (s *scheduler) next(now time.Time, term winch.Term, plan []winch.PoolOrder, running []winch.OrderedEndpoint) (order, bool, bool) {
	if s.number != term.Number {
		s.number, s.fenced = term.Number, false
		s.lastOrder, s.lastOutcome = order{}, ""
	}
	if s.fenced || len(plan) == 0 {
		return order{}, false, false
	}
	// An order of unknown outcome may still be in flight and arrive after a newer one, so
	// it is repeated until its outcome is known or it can no longer arrive.
	if s.lastOutcome == outcomeUnknown && now.Sub(s.lastSent) < s.inFlight {
		return s.lastOrder, false, true
	}
	// A failed order is not waited for: the next step replaces it.
	accepted := (s.lastOutcome == outcomeDone || s.lastOutcome == outcomeShort) && slices.Equal(s.lastOrder.pools, plan)
	if accepted && (countsMatch(plan, running) || now.Sub(s.lastSent) < s.renewAfter) {
		return order{}, false, false
	}
	return s.newOrder(plan), true, true
}

func (s *scheduler) newOrder(plan []winch.PoolOrder) order {
	s.orderCount++
	id := string(s.incarnation) + "-" + strconv.FormatInt(int64(s.number), 10) + "-" + strconv.Itoa(s.orderCount)
	return order{id: winch.OrderID(id), number: s.number, pools: slices.Clone(plan)}
}

// recordOutcome records the outcome of an order that was sent at the given time.
func (s *scheduler) recordOutcome(sent time.Time, order order, outcome outcome) {
	repeated := s.lastOrder.id == order.id && s.lastOutcome == outcomeUnknown
	// The first call may still have been received although the repetition failed, so the
	// outcome of the order remains unknown.
	if repeated && outcome == outcomeFailed {
		return
	}
	s.lastOrder, s.lastOutcome, s.lastSent = order, outcome, sent
	s.fenced = s.fenced || outcome == outcomeFenced
}

// countsMatch reports whether each pool of the plan has the planned number of starting
// and ready endpoints.
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
