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

// core decides when to order what. It does no I/O.
type core struct {
	incarnation winch.Incarnation
	// repeatEvery is the time after which an order is given anew while the endpoints don't match it.
	repeatEvery time.Duration
	// inFlight is the longest time that an order may be on its way.
	inFlight time.Duration

	number  winch.FencingNumber
	fenced  bool
	last    order
	outcome outcome
	sent    time.Time
	count   int
}

// next returns the order to send now, if there is one, and whether it is a new one.
func (c *core) next(now time.Time, term winch.Term, plan []winch.PoolOrder, running []winch.OrderedEndpoint) (order, bool, bool) {
	if c.number != term.Number {
		c.number, c.fenced = term.Number, false
		c.last, c.outcome = order{}, ""
	}
	if c.fenced || len(plan) == 0 {
		return order{}, false, false
	}
	// An order whose outcome is unknown may still arrive: another one could be overtaken by it.
	if c.outcome == outcomeUnknown && now.Sub(c.sent) < c.inFlight {
		return c.last, false, true
	}
	done := (c.outcome == outcomeDone || c.outcome == outcomeShort) && slices.Equal(c.last.pools, plan)
	if done && (matches(plan, running) || now.Sub(c.sent) < c.repeatEvery) {
		return order{}, false, false
	}
	return c.create(plan), true, true
}

func (c *core) create(plan []winch.PoolOrder) order {
	c.count++
	id := string(c.incarnation) + "-" + strconv.FormatInt(int64(c.number), 10) + "-" + strconv.Itoa(c.count)
	return order{id: winch.OrderID(id), number: c.number, pools: slices.Clone(plan)}
}

// ended takes in how the sending ended that began at sent.
func (c *core) ended(sent time.Time, order order, outcome outcome) {
	repeated := c.last.id == order.id && c.outcome == outcomeUnknown
	// A repeat that did not arrive tells nothing about the first.
	if repeated && outcome == outcomeFailed {
		return
	}
	c.last, c.outcome, c.sent = order, outcome, sent
	c.fenced = c.fenced || outcome == outcomeFenced
}

// matches reports whether each pool has as many endpoints as planned.
func matches(plan []winch.PoolOrder, running []winch.OrderedEndpoint) bool {
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
