package peer

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// simulatedHost is a host of a simulation, with its own clock.
type simulatedHost struct {
	host winch.Host
	// offset and rate define its clock: it shows start, plus offset, plus rate times the
	// simulated time.
	offset time.Duration
	rate   float64
	// group is the network partition of the host.
	group       int
	leavesAt    time.Duration
	incarnation int
	distributor *Distributor
	simulation  *simulation
}

// Now returns the time of the host's clock.
func (s *simulatedHost) Now() time.Time {
	return start.Add(s.offset + time.Duration(float64(s.simulation.now)*s.rate))
}

func (s *simulatedHost) id() winch.HostID { return s.host.ID }

// simulation simulates the hosts of several data centres. Hosts of the same group can
// reach each other. Some of the groups can reach the platform.
type simulation struct {
	t                 assert.TestingT
	now               time.Duration
	centres           []winch.DataCentreID
	hosts             []*simulatedHost
	platformReachable map[int]bool
	log               *fakeLog
	limits            limits
	inFlight          []func()
	noteCount         int
	replacedCount     int
	// withoutPlatform is a data centre that cannot reach the platform.
	withoutPlatform winch.DataCentreID
}

func newSimulation(t assert.TestingT, limits limits, centres, hosts int) *simulation {
	sim := &simulation{t: t, log: newFakeLog(), limits: limits, platformReachable: map[int]bool{0: true}}
	for c := range centres {
		sim.centres = append(sim.centres, winch.DataCentreID(fmt.Sprintf("dc%d", c)))
	}
	for c := range centres {
		for h := range hosts {
			sim.add(sim.centres[c], fmt.Sprintf("%d-%d", c, h))
		}
	}
	return sim
}

func (sim *simulation) add(centre winch.DataCentreID, id string) *simulatedHost {
	s := &simulatedHost{host: winch.Host{ID: winch.HostID(id), DataCentre: centre}, rate: 1, simulation: sim}
	sim.hosts = append(sim.hosts, s)
	slices.SortFunc(sim.hosts, func(a, b *simulatedHost) int { return cmp.Compare(a.id(), b.id()) })
	sim.restart(s)
	return s
}

// restart replaces the host's process by a new incarnation without any state.
func (sim *simulation) restart(s *simulatedHost) {
	s.incarnation++
	distributor, err := New(Options{
		Membership: &fakeMembership{self: s.host, centres: sim.centres,
			hosts: func(centre winch.DataCentreID) []winch.Host { return sim.reachable(s, centre) }},
		Log: sim.log, Clock: s, Incarnation: winch.Incarnation(fmt.Sprintf("%s/%d", s.id(), s.incarnation)),
	})
	assert.NilError(sim.t, err)
	distributor.state.limits, distributor.acceptance.limits = sim.limits, sim.limits
	s.distributor = distributor
}

func (sim *simulation) reachable(from *simulatedHost, centre winch.DataCentreID) []winch.Host {
	hosts := []winch.Host{}
	for _, s := range sim.hosts {
		if s.host.DataCentre == centre && s.group == from.group {
			hosts = append(hosts, s.host)
		}
	}
	return hosts
}

func (sim *simulation) hub(from *simulatedHost, centre winch.DataCentreID) *simulatedHost {
	for _, s := range sim.hosts {
		if s.host.DataCentre == centre && s.group == from.group {
			return s
		}
	}
	return nil
}

// send delivers a message at once, or queues it in inFlight if it is delayed.
func (sim *simulation) send(delayed bool, arrive func()) {
	if delayed {
		sim.inFlight = append(sim.inFlight, arrive)
		return
	}
	arrive()
}

// exchange sends the host's report to its hub, and the summary back.
func (sim *simulation) exchange(s *simulatedHost, delayed bool) {
	hub := sim.hub(s, s.host.DataCentre)
	sender, receiver, sent := s.distributor, hub.distributor, s.Now()
	report := sender.Section().Report(sent)
	if hub == s {
		assert.NilError(sim.t, sender.Section().Collect(sent, s.id(), report))
		assert.NilError(sim.t, sender.Section().Apply(sent, sent, s.id(), sender.Section().Summary(sent, s.id())))
		return
	}
	sim.send(delayed, func() {
		now := hub.Now()
		assert.NilError(sim.t, receiver.Section().Collect(now, s.id(), report))
		summary := receiver.Section().Summary(now, s.id())
		sim.send(delayed, func() { assert.NilError(sim.t, sender.Section().Apply(s.Now(), sent, hub.id(), summary)) })
	})
}

// exchangeDigests exchanges digests with the hub of another data centre, if the host is a hub.
func (sim *simulation) exchangeDigests(s *simulatedHost, to winch.DataCentreID, delayed bool) {
	other := sim.hub(s, to)
	if sim.hub(s, s.host.DataCentre) != s || other == nil || to == s.host.DataCentre {
		return
	}
	sender, receiver, sent := s.distributor, other.distributor, s.Now()
	request := sender.Section().Digest(sent, to)
	sim.send(delayed, func() {
		now := other.Now()
		assert.NilError(sim.t, receiver.Section().ApplyDigest(now, time.Time{}, s.host.DataCentre, request))
		response := receiver.Section().Digest(now, s.host.DataCentre)
		sim.send(delayed, func() {
			assert.NilError(sim.t, sender.Section().ApplyDigest(s.Now(), sent, to, response))
		})
	})
}

// watch reads the release log, if the host is a hub that can reach the platform.
func (sim *simulation) watch(s *simulatedHost, delayed bool) {
	if sim.hub(s, s.host.DataCentre) != s || !sim.platformReachable[s.group] || s.host.DataCentre == sim.withoutPlatform {
		return
	}
	reader, sent := s.distributor, s.Now()
	head, err := sim.log.Head(context.Background())
	assert.NilError(sim.t, err)
	configuration, records, err := sim.log.Fetch(context.Background(), reader.Current(), head)
	assert.NilError(sim.t, err)
	sim.send(delayed, func() { reader.applyHead(s.Now(), sent, head, configuration, records) })
	assert.NilError(sim.t, reader.syncRoster(context.Background(), true))
}

// commit commits a note at the host. Unless learn is set, the host does not learn of
// its own commit.
func (sim *simulation) commit(s *simulatedHost, learn bool) winch.Revision {
	if !sim.platformReachable[s.group] {
		return 0
	}
	sim.noteCount++
	result, err := sim.log.Commit(context.Background(), nil, keyNote(fmt.Sprint(sim.noteCount)))
	assert.NilError(sim.t, err)
	if learn {
		s.distributor.ApplyCommit(s.Now(), result)
	}
	return result.Revision
}

// accept records the newest accepted revision, if the host is a hub that can reach the platform.
func (sim *simulation) accept(s *simulatedHost) {
	if sim.hub(s, s.host.DataCentre) != s || !sim.platformReachable[s.group] {
		return
	}
	if revision, due := s.distributor.dueAcceptance(s.Now()); due {
		assert.NilError(sim.t, sim.log.MarkAccepted(context.Background(), revision))
		s.distributor.recordAccepted(revision)
	}
}

// removeStopped removes the leaving hosts that have stopped.
func (sim *simulation) removeStopped() {
	sim.hosts = slices.DeleteFunc(sim.hosts, func(s *simulatedHost) bool { return s.host.Leaving && sim.now >= s.leavesAt })
}

// stayingHosts counts the hosts of a data centre that are not leaving.
func (sim *simulation) stayingHosts(centre winch.DataCentreID) int {
	count := 0
	for _, s := range sim.hosts {
		if s.host.DataCentre == centre && !s.host.Leaving {
			count++
		}
	}
	return count
}

// round runs one round of all reads and exchanges that the partitions allow.
func (sim *simulation) round() {
	sim.removeStopped()
	for _, s := range sim.hosts {
		sim.watch(s, false)
	}
	for _, s := range sim.hosts {
		for _, centre := range sim.centres {
			sim.exchangeDigests(s, centre, false)
		}
	}
	for _, s := range sim.hosts {
		sim.exchange(s, false)
	}
	for _, s := range sim.hosts {
		s.distributor.reevaluate(s.Now())
		sim.accept(s)
	}
}

// runFor runs one round per simulated second.
func (sim *simulation) runFor(duration time.Duration) {
	for end := sim.now + duration; sim.now < end; sim.now += time.Second {
		sim.round()
	}
}

// violation describes a host that accepts keys by a revision older than the accepted one. It
// returns an empty string if there is none.
func (sim *simulation) violation() string {
	sim.removeStopped()
	for _, s := range sim.hosts {
		current := s.distributor.Current().Revision
		if s.distributor.Authority(s.Now()) == winch.AuthorityFull && current < sim.log.accepted {
			return fmt.Sprintf("at %v host %s accepts keys by revision %d, but %d was accepted", sim.now, s.id(), current, sim.log.accepted)
		}
	}
	return ""
}

func (sim *simulation) host(id winch.HostID) *simulatedHost {
	index := slices.IndexFunc(sim.hosts, func(s *simulatedHost) bool { return s.id() == id })
	return sim.hosts[index]
}

// setGroup moves the hosts to a group.
func (sim *simulation) setGroup(group int, ids ...winch.HostID) {
	for _, id := range ids {
		sim.host(id).group = group
	}
}

func defaultLimits() limits {
	return limits{
		freshness: defaultFreshness, grace: defaultGrace, margin: defaultMargin,
		rosterMemory: defaultFreshness + defaultGrace,
	}
}
