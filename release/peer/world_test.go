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

// simulated is a host of a simulated system, with a clock of its own.
type simulated struct {
	host        winch.Host
	offset      time.Duration
	rate        float64
	group       int
	leavesAt    time.Duration
	incarnation int
	distributor *Distributor
	world       *world
}

// Now returns the host's own time.
func (s *simulated) Now() time.Time {
	return start.Add(s.offset + time.Duration(float64(s.world.now)*s.rate))
}

func (s *simulated) id() winch.HostID { return s.host.ID }

// world is a simulated system. Hosts of a group reach each other; the platform is
// reached by some groups.
type world struct {
	t        assert.TestingT
	now      time.Duration
	centres  []winch.DataCentreID
	hosts    []*simulated
	platform map[int]bool
	log      *fakeLog
	limits   limits
	flying   []func()
	notes    int
	replaced int
	// hubless is a data centre that does not reach the platform.
	hubless winch.DataCentreID
}

func newWorld(t assert.TestingT, limits limits, centres, hosts int) *world {
	w := &world{t: t, log: newFakeLog(), limits: limits, platform: map[int]bool{0: true}}
	for c := range centres {
		w.centres = append(w.centres, winch.DataCentreID(fmt.Sprintf("dc%d", c)))
	}
	for c := range centres {
		for h := range hosts {
			w.add(w.centres[c], fmt.Sprintf("%d-%d", c, h))
		}
	}
	return w
}

func (w *world) add(centre winch.DataCentreID, id string) *simulated {
	s := &simulated{host: winch.Host{ID: winch.HostID(id), DataCentre: centre}, rate: 1, world: w}
	w.hosts = append(w.hosts, s)
	slices.SortFunc(w.hosts, func(a, b *simulated) int { return cmp.Compare(a.id(), b.id()) })
	w.boot(s)
	return s
}

// boot starts the host's process anew, with nothing learnt.
func (w *world) boot(s *simulated) {
	s.incarnation++
	distributor, err := New(Options{
		Membership: &fakeMembership{self: s.host, centres: w.centres,
			hosts: func(centre winch.DataCentreID) []winch.Host { return w.reachable(s, centre) }},
		Log: w.log, Clock: s, Incarnation: winch.Incarnation(fmt.Sprintf("%s/%d", s.id(), s.incarnation)),
	})
	assert.NilError(w.t, err)
	distributor.state.limits, distributor.acceptance.limits = w.limits, w.limits
	s.distributor = distributor
}

func (w *world) reachable(from *simulated, centre winch.DataCentreID) []winch.Host {
	hosts := []winch.Host{}
	for _, s := range w.hosts {
		if s.host.DataCentre == centre && s.group == from.group {
			hosts = append(hosts, s.host)
		}
	}
	return hosts
}

func (w *world) hub(from *simulated, centre winch.DataCentreID) *simulated {
	for _, s := range w.hosts {
		if s.host.DataCentre == centre && s.group == from.group {
			return s
		}
	}
	return nil
}

// flight is a message on its way: at once, or when it is delivered.
func (w *world) flight(delayed bool, arrive func()) {
	if delayed {
		w.flying = append(w.flying, arrive)
		return
	}
	arrive()
}

// exchange lets the host report to its hub, and the answer come back.
func (w *world) exchange(s *simulated, delayed bool) {
	hub := w.hub(s, s.host.DataCentre)
	sender, receiver, sent := s.distributor, hub.distributor, s.Now()
	report := sender.Section().Report(sent)
	if hub == s {
		assert.NilError(w.t, sender.Section().Collect(sent, s.id(), report))
		assert.NilError(w.t, sender.Section().Apply(sent, sent, s.id(), sender.Section().Summary(sent, s.id())))
		return
	}
	w.flight(delayed, func() {
		now := hub.Now()
		assert.NilError(w.t, receiver.Section().Collect(now, s.id(), report))
		summary := receiver.Section().Summary(now, s.id())
		w.flight(delayed, func() { assert.NilError(w.t, sender.Section().Apply(s.Now(), sent, hub.id(), summary)) })
	})
}

// digest lets the hub of a data centre ask the hub of another one.
func (w *world) digest(s *simulated, to winch.DataCentreID, delayed bool) {
	other := w.hub(s, to)
	if w.hub(s, s.host.DataCentre) != s || other == nil || to == s.host.DataCentre {
		return
	}
	asker, asked, sent := s.distributor, other.distributor, s.Now()
	question := asker.Section().Digest(sent, to)
	w.flight(delayed, func() {
		now := other.Now()
		assert.NilError(w.t, asked.Section().ApplyDigest(now, time.Time{}, s.host.DataCentre, question))
		answer := asked.Section().Digest(now, s.host.DataCentre)
		w.flight(delayed, func() {
			assert.NilError(w.t, asker.Section().ApplyDigest(s.Now(), sent, to, answer))
		})
	})
}

// watch lets a hub read the platform.
func (w *world) watch(s *simulated, delayed bool) {
	if w.hub(s, s.host.DataCentre) != s || !w.platform[s.group] || s.host.DataCentre == w.hubless {
		return
	}
	reader, sent := s.distributor, s.Now()
	head, err := w.log.Head(context.Background())
	assert.NilError(w.t, err)
	configuration, records, err := w.log.Fetch(context.Background(), reader.Current(), head)
	assert.NilError(w.t, err)
	w.flight(delayed, func() { reader.takeHead(s.Now(), sent, head, configuration, records) })
	assert.NilError(w.t, reader.keepRoster(context.Background(), true))
}

// commit lets a host commit, and possibly forget to say so.
func (w *world) commit(s *simulated, learn bool) winch.Revision {
	if !w.platform[s.group] {
		return 0
	}
	w.notes++
	result, err := w.log.Commit(context.Background(), nil, keyNote(fmt.Sprint(w.notes)))
	assert.NilError(w.t, err)
	if learn {
		s.distributor.Learn(s.Now(), result)
	}
	return result.Revision
}

// accept lets a hub record what it finds accepted.
func (w *world) accept(s *simulated) {
	if w.hub(s, s.host.DataCentre) != s || !w.platform[s.group] {
		return
	}
	if revision, due := s.distributor.due(s.Now()); due {
		assert.NilError(w.t, w.log.MarkAccepted(context.Background(), revision))
		s.distributor.noteAccepted(revision)
	}
}

// reap ends the hosts whose planned stop is over.
func (w *world) reap() {
	w.hosts = slices.DeleteFunc(w.hosts, func(s *simulated) bool { return s.host.Leaving && w.now >= s.leavesAt })
}

// staying counts the hosts of a data centre that are not leaving.
func (w *world) staying(centre winch.DataCentreID) int {
	count := 0
	for _, s := range w.hosts {
		if s.host.DataCentre == centre && !s.host.Leaving {
			count++
		}
	}
	return count
}

// round lets everybody talk, as far as the partitions allow.
func (w *world) round() {
	w.reap()
	for _, s := range w.hosts {
		w.watch(s, false)
	}
	for _, s := range w.hosts {
		for _, centre := range w.centres {
			w.digest(s, centre, false)
		}
	}
	for _, s := range w.hosts {
		w.exchange(s, false)
	}
	for _, s := range w.hosts {
		s.distributor.review(s.Now())
		w.accept(s)
	}
}

func (w *world) rounds(duration time.Duration) {
	for end := w.now + duration; w.now < end; w.now += time.Second {
		w.round()
	}
}

// violation names a host that serves less than what was accepted, if there is one.
func (w *world) violation() string {
	w.reap()
	for _, s := range w.hosts {
		current := s.distributor.Current().Revision
		if s.distributor.Authority(s.Now()) == winch.AuthorityFull && current < w.log.accepted {
			return fmt.Sprintf("at %v host %s serves by revision %d, but %d was accepted", w.now, s.id(), current, w.log.accepted)
		}
	}
	return ""
}

func (w *world) at(id winch.HostID) *simulated {
	index := slices.IndexFunc(w.hosts, func(s *simulated) bool { return s.id() == id })
	return w.hosts[index]
}

// split puts the hosts into a group.
func (w *world) split(group int, ids ...winch.HostID) {
	for _, id := range ids {
		w.at(id).group = group
	}
}

func defaultLimits() limits {
	return limits{
		freshness: defaultFreshness, grace: defaultGrace, margin: defaultMargin,
		roster: defaultFreshness + defaultGrace,
	}
}
