package peer

import (
	"context"
	"time"
)

// listPeriod returns the period for reading the host list. It is shorter while this host knows
// no other host of its data centre, because the list may lag when all hosts start together.
func (e *Exchange) listPeriod() time.Duration {
	if e.table.knowsNoPeer() {
		return min(noPeerListEvery, e.options.ListEvery)
	}
	return e.options.ListEvery
}

// refreshHosts reads the host list if this host is the hub; a host that knows no other is its
// own hub. It then probes one host of the data centre that is not considered alive.
func (e *Exchange) refreshHosts(ctx context.Context) {
	now := e.options.Clock.Now()
	centre := e.table.Self().DataCentre
	if hub, _ := e.table.Hub(now, centre); hub.ID == e.table.Self().ID {
		e.readHosts(ctx)
	}
	e.pruneMembers(now)
	host, found := e.table.Probe(now, centre)
	if !found {
		return
	}
	if err := e.exchangeWith(ctx, host, e.probeSections()); err != nil {
		// Not logged, because a host that is down would be logged with each probe.
		e.table.RecordFailure(e.options.Clock.Now(), host.ID)
	}
}

func (e *Exchange) readHosts(ctx context.Context) {
	if e.options.Hosts == nil {
		return
	}
	hosts, err := e.options.Hosts.List(ctx)
	if err != nil {
		e.options.Logger.Warn("could not read host list", "Event", EventHostListFailed, "Error", err)
		return
	}
	e.table.ApplyHostList(e.options.Clock.Now(), hosts)
}
