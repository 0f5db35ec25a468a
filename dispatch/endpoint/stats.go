package endpoint

import (
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
)

// endpointStats holds a host's statistics of an endpoint, or the sums over several hosts.
type endpointStats struct {
	Running int
	Limit   float64
	// PendingPrefill is the number of prompt tokens that the endpoint has yet to process.
	PendingPrefill winch.Tokens
	// Demand is the rate of the requests that prefer the endpoint, in requests a second; see coldDemand.
	Demand float64
	// Held are the tokens of the running requests; zero where the capacity is not known.
	Held winch.Tokens
	// Pace is the usual pace that the endpoint has stated, or its mean over the hosts; zero if it has stated none.
	Pace winch.Pace
}

// sharedStats holds the statistics that hosts exchange: those of one host, or sums over several.
type sharedStats struct {
	endpoints map[winch.EndpointID]endpointStats
	lanes     map[laneKey]laneStats
	// charged is the total service charged to each account, in weighted tokens. It never decreases.
	charged map[accountKey]int64
	remotes map[winch.DataCentreID]remoteStats
	// aperture is the host's largest aperture if that exceeds the default, else zero.
	aperture int
	// prefillAware is set if PendingPrefill is to be encoded.
	prefillAware bool
	// group is set if the statistics are a report for a group of hosts.
	group bool
}

// remoteStats holds the statistics of another data centre.
type remoteStats struct {
	Age       time.Duration
	freeSlots map[group]int
	lanes     map[laneKey]laneStats
}

func newStats() sharedStats {
	return sharedStats{
		endpoints: map[winch.EndpointID]endpointStats{}, lanes: map[laneKey]laneStats{},
		charged: map[accountKey]int64{}, remotes: map[winch.DataCentreID]remoteStats{},
	}
}

// ownStats returns this host's statistics. If onlyChanged is set, it includes only accounts that
// changed since the last such call.
func (c *core) ownStats(now time.Time, onlyChanged bool) sharedStats {
	own := newStats()
	own.prefillAware = c.features.prefillAware
	for _, e := range c.sortedEndpoints {
		if demand := e.cold.ownDemand(now); e.running > 0 || demand > minReportedDemand {
			own.endpoints[e.spec.ID] = endpointStats{Running: e.running, Limit: e.limit.Value, PendingPrefill: e.prefill.pending, Demand: demand, Pace: e.pace.Tell(now), Held: e.tokens.Own}
		}
	}
	for _, l := range c.sortedLanes {
		if l.aperture > c.settings.Aperture {
			own.aperture = max(own.aperture, l.aperture)
		}
		if l.queued == 0 && l.running == 0 && l.promptRate.PerSecond(now) < 1 {
			continue
		}
		own.lanes[l.key] = laneStats{
			Queued: l.queued, Running: l.holding(), Movable: c.movableRunning(l), Urgent: c.urgent(now, l), OldestWait: l.oldestWait(now),
			PromptRate: int(l.promptRate.PerSecond(now)),
		}
	}
	for key, a := range c.accounts {
		if a.charged > 0 && (!onlyChanged || a.charged != a.reported) {
			own.charged[key] = int64(a.charged)
		}
		if onlyChanged {
			a.reported = a.charged
		}
	}
	return own
}

// urgent returns the number of queued requests for which other hosts should preempt lower
// tiers and leave slots free. If one is at risk, all of the lane's requests count, since the other hosts learn of them late. None count
// while this host reaches no endpoint of the lane: it could not use a slot.
func (c *core) urgent(now time.Time, l *lane) int {
	if l.unreachable() || c.atRisk(now, l) == 0 {
		return 0
	}
	return l.queued
}

// hub holds the statistics reported by the hosts of the data centre. The hub is the one host of the
// data centre to which the others send their statistics; it sends each of them the sums of the
// others. On a host that has never been the hub, reports is empty.
type hub struct {
	reports map[winch.HostID]hostReport
	charged map[accountKey]*hubAccount
}

type hostReport struct {
	at    time.Time
	stats sharedStats
}

// hubAccount sums an account's charges over all hosts, including those that have since left or restarted.
type hubAccount struct {
	total     int64
	ofGroups  int64                  // part of total that heads reported for their groups
	byHost    map[winch.HostID]int64 // part of total charged by each host, or reported for its group
	last      map[winch.HostID]int64 // value last reported by each host
	changedAt time.Time
}

func newHub() hub {
	return hub{reports: map[winch.HostID]hostReport{}, charged: map[accountKey]*hubAccount{}}
}

// collect stores a host's report and adds its charges.
func (h *hub) collect(now time.Time, from winch.HostID, report sharedStats) {
	h.reports[from] = hostReport{at: now, stats: report}
	reporter := from
	if report.group {
		reporter = groupReporter(from)
	}
	for key, charged := range report.charged {
		added := h.addCharge(now, reporter, key, charged)
		if report.group {
			h.charged[key].ofGroups += added
		}
	}
}

// addCharge adds what the host has charged to the account since its last report. The argument charged is
// the host's total, as reported. It returns what it has added.
func (h *hub) addCharge(now time.Time, from winch.HostID, key accountKey, charged int64) int64 {
	a, found := h.charged[key]
	if !found {
		a = &hubAccount{byHost: map[winch.HostID]int64{}, last: map[winch.HostID]int64{}}
		h.charged[key] = a
	}
	last, known := a.last[from]
	a.last[from] = charged
	delta := charged - last
	if !known && len(a.last) > 1 && charged > firstChargeMax {
		// The host's earlier charges are unknown to this hub, so they only serve as a baseline. The first
		// host that reports the account is exempt.
		return 0
	}
	if delta < 0 {
		// The host was restarted and counts from zero.
		delta = charged
	}
	a.total += delta
	a.byHost[from] += delta
	a.changedAt = now
	return delta
}

// firstChargeMax is the largest charge in a host's first report that is still added to the
// account. A larger charge is taken to date from before this hub collected reports.
const firstChargeMax = 100_000

// drop removes hosts that have not reported within the horizon.
func (h *hub) drop(now time.Time, horizon time.Duration) {
	for id, report := range h.reports {
		if now.Sub(report.at) > horizon {
			delete(h.reports, id)
		}
	}
}

// hosts returns the reporting hosts in sorted order, so that sums are computed in the same order each time.
func (h *hub) hosts() []winch.HostID {
	ids := make([]winch.HostID, 0, len(h.reports))
	for id := range h.reports {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// summary sums the statistics of all hosts except the receiver, including the hub's own; an empty
// receiver excludes none. It first removes hosts that have stopped reporting, and adds the charges of
// the hub's own host.
func (c *core) summary(now time.Time, to winch.HostID) sharedStats {
	c.hub.drop(now, c.settings.StatsMaxAge)
	sum := newStats()
	sum.prefillAware = c.features.prefillAware
	if to != c.self.ID {
		sum.add(c.ownStats(now, false))
	}
	for _, id := range c.hub.hosts() {
		if id != to && id != c.self.ID {
			sum.add(c.hub.reports[id].stats)
		}
	}
	// A host that reports for a group is not told what this host's parent says, which may come from that host.
	toGroup := c.hub.reports[to].stats.group
	if !toGroup {
		c.upstream.addTo(now, &sum)
	}
	if !toGroup && to != c.self.ID {
		c.restrictEndpoints(&sum, to)
	}
	clear(sum.charged)
	c.addOwnCharges(now)
	for key, a := range c.hub.charged {
		if now.Sub(a.changedAt) <= c.settings.StatsMaxAge && len(sum.charged) < maxReportedAccounts {
			sum.charged[key] = a.total - a.byHost[to] - a.byHost[groupReporter(to)]
		}
	}
	if !toGroup {
		c.addUpstreamCharges(now, to, &sum)
	}
	for centre, other := range c.remotes {
		if c.fresh(now, other.at) {
			sum.remotes[centre] = remoteStats{Age: now.Sub(other.at), freeSlots: other.freeSlots, lanes: other.lanes}
		}
	}
	return sum
}

// maxReportedAccounts bounds the accounts in a summary. If more have changed, the map's order
// determines which are left out. Charges are cumulative, so a later summary that includes the account
// makes up for it.
const maxReportedAccounts = 64

// addOwnCharges adds the charges of the hub's host like those of any other.
func (c *core) addOwnCharges(now time.Time) {
	for key, a := range c.accounts {
		known, found := c.hub.charged[key]
		if !found || known.last[c.self.ID] != int64(a.charged) {
			c.hub.addCharge(now, c.self.ID, key, int64(a.charged))
		}
	}
}

func (s *sharedStats) add(other sharedStats) {
	for id, e := range other.endpoints {
		sum := s.endpoints[id]
		// The limit is the mean over the hosts, weighted by the requests that they run.
		weight := float64(sum.Running + e.Running)
		sum.Pace = meanPace(sum, e)
		sum.Limit = (sum.Limit*float64(sum.Running) + e.Limit*float64(e.Running)) / max(1, weight)
		sum.Running += e.Running
		sum.PendingPrefill += e.PendingPrefill
		sum.Demand += e.Demand
		sum.Held += e.Held
		s.endpoints[id] = sum
	}
	for key, l := range other.lanes {
		sum := s.lanes[key]
		sum.Queued += l.Queued
		sum.Running += l.Running
		sum.Movable += l.Movable
		sum.Urgent += l.Urgent
		sum.OldestWait = max(sum.OldestWait, l.OldestWait)
		sum.PromptRate += l.PromptRate
		s.lanes[key] = sum
	}
}

// applySummary applies the sums of the other hosts' statistics as of the given time. If other hosts report to this one, those of its
// group are missing in what its parent has sent.
func (c *core) applySummary(now, asOf time.Time, from winch.HostID, sum sharedStats) {
	if !asOf.After(c.summaryAsOf) {
		return
	}
	hubChanged := from != c.summaryFrom || c.relays != c.summaryRelayed
	c.summaryAsOf, c.summaryFrom, c.summaryRelayed = asOf, from, c.relays
	if from == c.self.ID {
		c.upstream.stats = newStats()
	} else if c.relays {
		c.upstream.apply(now, from, sum)
		sum = c.summary(now, c.self.ID)
	}
	for _, e := range c.sortedEndpoints {
		reported := sum.endpoints[e.spec.ID]
		e.others = reported.Running
		e.prefill.others = reported.PendingPrefill
		e.cold.demand.others = reported.Demand
		e.pace.Hear(now, reported.Pace)
		e.tokens.Others = e.othersTokens(reported)
		e.history.Add(now, float64(e.running+e.others))
		if c.features.adaptiveLimit && reported.Running > 0 {
			e.limit.Merge(reported.Limit)
		}
	}
	for _, l := range c.sortedLanes {
		l.others = sum.lanes[l.key]
	}
	for key, charged := range sum.charged {
		c.applyCharge(key, float64(charged), hubChanged)
	}
	for centre, reported := range sum.remotes {
		c.applyRemote(now, centre, reported)
	}
	c.refresh(now)
	for _, l := range c.sortedLanes {
		c.preemptForOthers(now, l)
	}
	c.fillAll(now)
}

// applyCharge applies the sum of the other hosts' charges to the account. The first sum, the first one
// from another hub (hubChanged) and a sum below the last only serve as a baseline, because hubs count from
// different times.
func (c *core) applyCharge(key accountKey, charged float64, hubChanged bool) {
	a := c.account(key.tier, key.organisation)
	if a.othersKnown && !hubChanged && charged > a.others {
		a.addServed(charged - a.others)
	}
	a.others, a.othersKnown = charged, true
}

// applyRemote stores the statistics of another data centre, unless newer ones are known.
func (c *core) applyRemote(now time.Time, centre winch.DataCentreID, received remoteStats) {
	other := c.remoteOf(centre)
	at := now.Add(-received.Age)
	if !at.After(other.at) {
		return
	}
	other.at, other.freeSlots, other.lanes = at, received.freeSlots, received.lanes
	clear(other.handedOver)
}

// freeSlots returns the number of free slots of this data centre for each model and route. It is
// zero where requests are queued.
func (c *core) freeSlots(now time.Time) map[group]int {
	free := map[group]int{}
	waiting := map[group]int{}
	for _, l := range c.sortedLanes {
		waiting[l.key.group] += l.queued
		if c.hostStatsFresh(now) {
			waiting[l.key.group] += l.others.Queued
		}
	}
	for _, e := range c.sortedEndpoints {
		if e.state != winch.EndpointReady || e.evacuated || e.paused(now) {
			continue
		}
		spare := e.cap - e.running
		if c.hostStatsFresh(now) {
			spare -= e.others
		}
		for _, model := range e.spec.Models {
			free[group{model: model}] += max(0, spare)
		}
		for _, route := range e.spec.Routes {
			free[group{route: route}] += max(0, spare)
		}
	}
	for g := range free {
		if waiting[g] > 0 {
			free[g] = 0
		}
	}
	return free
}
