package endpoint

import (
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/dispatch/ratelimit"
)

// rateChanged shares out the rate that an endpoint has named, and emits an effect. The cause is the request whose answer named it, or the
// host that told.
func (c *core) rateChanged(now time.Time, e *endpoint, cause string) {
	c.assignRate(e)
	kind := effectRateNamed
	if !e.named.Limited() {
		kind = effectRateEnded
		// The requests of all hosts come back gradually.
		e.rampSince = now
	}
	all, own := e.named.Rate()
	c.emit(effect{kind: kind, at: now, endpoint: e, cause: cause, rate: all, ownRate: own})
}

func (c *core) assignRate(e *endpoint) {
	hosts := c.hostIDs
	if len(hosts) == 0 {
		hosts = []winch.HostID{c.self.ID}
	}
	e.named.Assign(e.spec.ID, c.self.ID, hosts)
}

// assignRates shares out the rates anew after a change of the hosts.
func (c *core) assignRates() {
	for _, e := range c.sortedEndpoints {
		if e.named.Limited() {
			c.assignRate(e)
		}
	}
}

// toldRate is the rate of one run of an endpoint, as hosts tell each other.
type toldRate struct {
	endpoint  winch.EndpointID
	startedAt time.Time
	told      ratelimit.Told
}

// toldRates returns what other hosts should know of the rates.
func (c *core) toldRates(now time.Time) []toldRate {
	var rates []toldRate
	for _, e := range c.sortedEndpoints {
		if told, found := e.named.Tell(now); found {
			rates = append(rates, toldRate{endpoint: e.spec.ID, startedAt: e.startedAt, told: told})
		}
	}
	return rates
}

// mergeRates applies what another host tells.
func (c *core) mergeRates(now time.Time, from winch.HostID, rates []toldRate) {
	for _, rate := range rates {
		e, found := c.endpoints[rate.endpoint]
		if found && e.startedAt.Equal(rate.startedAt) && e.named.Merge(rate.told) {
			c.rateChanged(now, e, string(from))
		}
	}
}
