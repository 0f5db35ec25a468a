package endpoint

import (
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/dispatch/measure"
)

// A warm endpoint may turn cold, and hosts learn of it only after coldKnownAfter. Until then it gets as many requests as before, which
// should therefore not exceed the rate of a cold one while others have room. Only the preference of prompts for endpoints that hold their
// parts gives one endpoint far more requests than others. Hosts therefore tell each other how many requests prefer each endpoint that may
// turn cold. If there are too many, each host diverts the surplus to other endpoints. Diverted requests still count as preferring the
// endpoint, so that the share that is kept does not oscillate.

const (
	// minReportedDemand is the rate up to which a host does not report an endpoint on which it runs nothing.
	minReportedDemand = 0.2
	// crowdedShare is the share of a cold endpoint's rate up to which requests may prefer it. The rest is for requests without a preference
	// and for variation between seconds.
	crowdedShare = 0.8
	// crowdedRatio is how many times the mean of its lane an endpoint may be preferred in any case. Without it, a high load on all
	// endpoints would end the preference.
	crowdedRatio = 1.5
	// crowdedCost is the cost, in prompt tokens, of the endpoint from which a request is diverted. It is higher than that of the parts
	// which the other endpoints lack, and lower than noSlotCost.
	crowdedCost = 50_000
)

// coldDemand is the rate of the requests that prefer an endpoint, or go there without preferring any. It is zero if the
// endpoint is never cold.
type coldDemand struct {
	own measure.Rate
	// others is that of the other hosts as they have told, and all the sum.
	others, all float64
	// kept is the share of the requests that may go where they prefer.
	kept float64
}

// ownDemand returns the requests a second of this host.
func (s *coldState) ownDemand(now time.Time) float64 {
	if s.start.Rate <= 0 {
		return 0
	}
	return s.demand.own.PerSecond(now)
}

// recordSend records that this host sends the request to the endpoint.
func (c *core) recordSend(now time.Time, r *request, e *endpoint) {
	e.cold.share.Sent(now)
	if r.preferred != nil {
		e = r.preferred
	}
	if e.cold.start.Rate > 0 {
		e.cold.demand.own.Add(now, 1)
	}
}

// updateDemand recomputes the demand of all hosts, as far as it is known.
func (c *core) updateDemand(now time.Time, e *endpoint) {
	e.cold.demand.all = e.cold.ownDemand(now)
	if c.hostStatsFresh(now) {
		e.cold.demand.all += e.cold.demand.others
	}
}

// updateKept recomputes the share of the requests that may go to the endpoint that they prefer.
func (e *endpoint) updateKept() {
	s := &e.cold
	s.demand.kept = 1
	if s.start.Rate <= 0 || len(e.lanes) == 0 {
		return
	}
	if limit := max(crowdedShare*float64(s.start.Rate), crowdedRatio*e.lanes[0].meanDemand); s.demand.all > limit {
		s.demand.kept = limit / s.demand.all
	}
}

// diverts reports whether a request that prefers the endpoint, which may be nil, goes to any other. The decision is random.
func (c *core) diverts(preferred *endpoint) bool {
	return preferred != nil && preferred.cold.start.Rate > 0 && preferred.cold.demand.kept < 1 && c.random.Float64() >= preferred.cold.demand.kept
}

// encodeDemand returns the column of the demand, or nil if there is none.
func encodeDemand(ids []string, endpoints map[winch.EndpointID]endpointStats) []int {
	column, found := make([]int, 0, len(ids)), false
	for _, id := range ids {
		demand := endpoints[winch.EndpointID(id)].Demand
		column = append(column, int(10*demand))
		found = found || demand > 0
	}
	if !found {
		return nil
	}
	return column
}

// demand returns the demand of a row. Hosts of earlier versions do not send it.
func (w *statsWire) demand(row int) float64 {
	if row >= len(w.Demand) {
		return 0
	}
	return float64(max(0, w.Demand[row])) / 10
}
