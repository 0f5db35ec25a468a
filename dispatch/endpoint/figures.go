package endpoint

import (
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
)

// endpointFigures are what hosts tell of an endpoint.
type endpointFigures struct {
	Running int
	Limit   float64
	// Unread are the tokens of prompts that the endpoint has still to read.
	Unread winch.Tokens
}

// figures are what a host, or several together, tell the others.
type figures struct {
	endpoints map[winch.EndpointID]endpointFigures
	lanes     map[laneKey]laneFigures
	// charged are sums of weighted tokens that never fall.
	charged map[accountKey]int64
	remotes map[winch.DataCentreID]remoteFigures
	// aperture is the number of endpoints of a lane that the host uses, when it is widened.
	aperture int
	// prompts says that the unread tokens count.
	prompts bool
}

// remoteFigures are what is known of another data centre.
type remoteFigures struct {
	Age   time.Duration
	rooms map[group]int
	lanes map[laneKey]laneFigures
}

func newFigures() figures {
	return figures{
		endpoints: map[winch.EndpointID]endpointFigures{}, lanes: map[laneKey]laneFigures{},
		charged: map[accountKey]int64{}, remotes: map[winch.DataCentreID]remoteFigures{},
	}
}

// ownFigures returns what this host tells. Accounts are told when they changed
// since the last report, when onlyChanged is set.
func (c *core) ownFigures(now time.Time, onlyChanged bool) figures {
	own := newFigures()
	own.prompts = c.features.prompts
	for _, e := range c.ordered {
		if e.running > 0 {
			own.endpoints[e.spec.ID] = endpointFigures{Running: e.running, Limit: e.limit.value, Unread: e.prompts.unread}
		}
	}
	for _, l := range c.sorted {
		if l.aperture > c.settings.Aperture {
			own.aperture = max(own.aperture, l.aperture)
		}
		if l.queued == 0 && l.running == 0 && l.asked.per(now) < 1 {
			continue
		}
		own.lanes[l.key] = laneFigures{
			Queued: l.queued, Running: l.running, Movable: c.movableRunning(l), Urgent: c.urgent(now, l), OldestWait: l.oldestWait(now),
			Asked: int(l.asked.per(now)),
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

// urgent counts the queued requests for which other hosts should give way. All of
// the lane's count when one is at risk, since the figures are late.
func (c *core) urgent(now time.Time, l *lane) int {
	if c.atRisk(now, l) == 0 {
		return 0
	}
	return l.queued
}

// hub collects the figures of the data centre's hosts.
type hub struct {
	reports map[winch.HostID]hostFigures
	charged map[accountKey]*hubAccount
}

type hostFigures struct {
	at      time.Time
	figures figures
}

// hubAccount sums an account's charges over hosts that come and go.
type hubAccount struct {
	total     int64
	byHost    map[winch.HostID]int64
	last      map[winch.HostID]int64
	changedAt time.Time
}

func newHub() hub {
	return hub{reports: map[winch.HostID]hostFigures{}, charged: map[accountKey]*hubAccount{}}
}

func (h *hub) collect(now time.Time, from winch.HostID, report figures) {
	h.reports[from] = hostFigures{at: now, figures: report}
	for key, charged := range report.charged {
		h.charge(now, from, key, charged)
	}
}

func (h *hub) charge(now time.Time, from winch.HostID, key accountKey, charged int64) {
	a, found := h.charged[key]
	if !found {
		a = &hubAccount{byHost: map[winch.HostID]int64{}, last: map[winch.HostID]int64{}}
		h.charged[key] = a
	}
	last, known := a.last[from]
	a.last[from] = charged
	delta := charged - last
	if !known && len(a.last) > 1 && charged > firstChargeMax {
		// A host whose past this hub does not know.
		return
	}
	if delta < 0 {
		// The host started anew.
		delta = charged
	}
	a.total += delta
	a.byHost[from] += delta
	a.changedAt = now
}

// firstChargeMax is the most that a host's first report may add to an account.
const firstChargeMax = 100_000

// drop forgets hosts that have not reported for the horizon.
func (h *hub) drop(now time.Time, horizon time.Duration) {
	for id, report := range h.reports {
		if now.Sub(report.at) > horizon {
			delete(h.reports, id)
		}
	}
}

// hosts returns the hosts that report, sorted, so that sums come out the same each time.
func (h *hub) hosts() []winch.HostID {
	ids := make([]winch.HostID, 0, len(h.reports))
	for id := range h.reports {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// summary adds up what all hosts but one told, the hub's own state included.
func (c *core) summary(now time.Time, to winch.HostID) figures {
	c.hub.drop(now, c.settings.DigestHorizon)
	sum := newFigures()
	sum.prompts = c.features.prompts
	if to != c.self.ID {
		sum.add(c.ownFigures(now, false))
	}
	for _, id := range c.hub.hosts() {
		if id != to && id != c.self.ID {
			sum.add(c.hub.reports[id].figures)
		}
	}
	c.restrict(&sum, to)
	clear(sum.charged)
	c.chargeSelf(now)
	for key, a := range c.hub.charged {
		if now.Sub(a.changedAt) <= c.settings.DigestHorizon && len(sum.charged) < accountsTold {
			sum.charged[key] = a.total - a.byHost[to]
		}
	}
	for centre, m := range c.remotes {
		if c.fresh(now, m.at) {
			sum.remotes[centre] = remoteFigures{Age: now.Sub(m.at), rooms: m.rooms, lanes: m.lanes}
		}
	}
	return sum
}

const accountsTold = 64

// chargeSelf counts the hub's own charges as those of any host.
func (c *core) chargeSelf(now time.Time) {
	for key, a := range c.accounts {
		known, found := c.hub.charged[key]
		if !found || known.last[c.self.ID] != int64(a.charged) {
			c.hub.charge(now, c.self.ID, key, int64(a.charged))
		}
	}
}

func (f *figures) add(other figures) {
	for id, e := range other.endpoints {
		sum := f.endpoints[id]
		// The limit is the mean over the hosts, weighted by what they run.
		weight := float64(sum.Running + e.Running)
		sum.Limit = (sum.Limit*float64(sum.Running) + e.Limit*float64(e.Running)) / max(1, weight)
		sum.Running += e.Running
		sum.Unread += e.Unread
		f.endpoints[id] = sum
	}
	for key, l := range other.lanes {
		sum := f.lanes[key]
		sum.Queued += l.Queued
		sum.Running += l.Running
		sum.Movable += l.Movable
		sum.Urgent += l.Urgent
		sum.OldestWait = max(sum.OldestWait, l.OldestWait)
		sum.Asked += l.Asked
		f.lanes[key] = sum
	}
}

// applySummary takes the sums of the other hosts in; they were true at the instant as of.
func (c *core) applySummary(now, asOf time.Time, from winch.HostID, sum figures) {
	if !asOf.After(c.appliedAt) {
		return
	}
	rebase := from != c.appliedFrom
	c.appliedAt, c.appliedFrom = asOf, from
	for _, e := range c.ordered {
		told := sum.endpoints[e.spec.ID]
		e.others = told.Running
		e.prompts.others = told.Unread
		e.history.add(now, float64(e.running+e.others))
		if c.features.adaptiveLimit && told.Running > 0 {
			e.limit.merge(told.Limit)
		}
	}
	for _, l := range c.sorted {
		l.others = sum.lanes[l.key]
	}
	for key, charged := range sum.charged {
		c.applyCharge(key, float64(charged), rebase)
	}
	for centre, told := range sum.remotes {
		c.applyRemote(now, centre, told)
	}
	c.refresh(now)
	for _, l := range c.sorted {
		c.preemptForOthers(now, l)
	}
	c.pump(now)
}

func (c *core) applyCharge(key accountKey, charged float64, rebase bool) {
	a := c.account(key.tier, key.organisation)
	if a.othersKnown && !rebase && charged > a.others {
		a.charge(charged - a.others)
	}
	a.others, a.othersKnown = charged, true
}

func (c *core) applyRemote(now time.Time, centre winch.DataCentreID, told remoteFigures) {
	m := c.remoteOf(centre)
	at := now.Add(-told.Age)
	if !at.After(m.at) {
		return
	}
	m.at, m.rooms, m.lanes = at, told.rooms, told.lanes
	clear(m.given)
}

// rooms returns the free slots of this data centre for each model and route.
func (c *core) rooms(now time.Time) map[group]int {
	rooms := map[group]int{}
	waiting := map[group]int{}
	for _, l := range c.sorted {
		waiting[l.key.group] += l.queued
		if c.informed(now) {
			waiting[l.key.group] += l.others.Queued
		}
	}
	for _, e := range c.ordered {
		if e.state != winch.EndpointReady || now.Before(e.health.ejectedUntil) {
			continue
		}
		free := e.cap - e.running
		if c.informed(now) {
			free -= e.others
		}
		for _, model := range e.spec.Models {
			rooms[group{model: model}] += max(0, free)
		}
		for _, route := range e.spec.Routes {
			rooms[group{route: route}] += max(0, free)
		}
	}
	for g := range rooms {
		if waiting[g] > 0 {
			rooms[g] = 0
		}
	}
	return rooms
}
