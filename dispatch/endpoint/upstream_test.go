package endpoint

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// groupMember is a host that exchanges with its parent, and its own membership.
type groupMember struct {
	winch.Membership
	*Dispatcher
	id     winch.HostID
	parent *groupMember
	relays bool
}

func (m *groupMember) RelaysReports(time.Time) bool { return m.relays }

func newGroupMember(t *testing.T, configuration *winch.Configuration, id winch.HostID, parent *groupMember, relays bool) *groupMember {
	t.Helper()
	m := &groupMember{Dispatcher: newDispatcher(t, configuration, nil), id: id, parent: parent, relays: relays}
	m.core.self = winch.Host{ID: id, DataCentre: "all"}
	m.options.Membership = m
	if parent == nil {
		m.parent = m
	}
	return m
}

// exchange sends the host's report to its parent, and the summary back.
func (m *groupMember) exchange(t *testing.T, now time.Time) {
	t.Helper()
	assert.NilError(t, m.parent.Section().Collect(now, m.id, m.Section().Report(now)))
	assert.NilError(t, m.Section().Apply(now, now, m.parent.id, m.parent.Section().Summary(now, m.id)))
}

// groups is a hub, two heads and three hosts for each head.
type groups struct {
	t     *testing.T
	now   time.Time
	hosts []*groupMember
}

func newGroups(t *testing.T, slots int) *groups {
	t.Helper()
	configuration := twoClasses(1, slots)
	hub := newGroupMember(t, configuration, "hub", nil, true)
	g := &groups{t: t, now: time.Now(), hosts: []*groupMember{hub}}
	for i := range 2 {
		head := newGroupMember(t, configuration, winch.HostID(fmt.Sprint("head-", i)), hub, true)
		g.hosts = append(g.hosts, head)
		for j := range 3 {
			g.hosts = append(g.hosts, newGroupMember(t, configuration, winch.HostID(fmt.Sprint("host-", i, "-", j)), head, false))
		}
	}
	return g
}

// exchange runs the given number of exchanges of all hosts, 250 ms apart.
func (g *groups) exchange(rounds int) {
	for range rounds {
		g.now = g.now.Add(250 * time.Millisecond)
		for _, host := range g.hosts {
			host.exchange(g.t, g.now)
		}
	}
}

// assertOthers checks that each host counts the running requests of all others, once.
func (g *groups) assertOthers() {
	g.t.Helper()
	total := 0
	for _, host := range g.hosts {
		total += host.core.sortedEndpoints[0].running
	}
	for _, host := range g.hosts {
		e := host.core.sortedEndpoints[0]
		assert.Equal(g.t, e.others, total-e.running, "requests of other hosts that %s counts", host.id)
	}
}

func TestGroupsCountEachHostOnce(t *testing.T) {
	g := newGroups(t, 100)
	for i, host := range g.hosts {
		for range i + 1 {
			mustAcquire(t, host.Dispatcher, workOf(interactive, i))
		}
	}
	// A report takes two exchanges to the hub, and its sums two more to the hosts of a group.
	g.exchange(4)
	t.Run("while all report", func(*testing.T) { g.assertOthers() })
	t.Run("after a host has gone to the other head", func(*testing.T) {
		g.hosts[2].parent = g.hosts[5]
		g.exchange(4 * 4)
		g.assertOthers()
	})
	t.Run("after a head has become a host", func(t *testing.T) {
		g.hosts[1].relays, g.hosts[1].parent = false, g.hosts[5]
		for _, host := range g.hosts[2:5] {
			host.parent = g.hosts[5]
		}
		g.exchange(4 * 5)
		g.assertOthers()
	})
}

func TestTwoHostsThatTakeEachOtherForTheHub(t *testing.T) {
	g := newGroups(t, 1000)
	for i, host := range g.hosts {
		for range i + 1 {
			mustAcquire(t, host.Dispatcher, workOf(interactive, i))
		}
	}
	g.hosts[0].parent, g.hosts[1].parent = g.hosts[1], g.hosts[0]
	g.exchange(40)
	// While they do, figures of a group may be missing, but none is counted more than twice.
	total := len(g.hosts) * (len(g.hosts) + 1) / 2
	for _, host := range g.hosts {
		assert.Assert(t, host.core.sortedEndpoints[0].others <= 2*total, "%s counts %d requests of other hosts", host.id, host.core.sortedEndpoints[0].others)
	}
	g.hosts[0].parent, g.hosts[1].parent = g.hosts[0], g.hosts[0]
	g.exchange(4 * 4)
	g.assertOthers()
}

func TestGroupsChargeEachHostOnce(t *testing.T) {
	g := newGroups(t, 100)
	key := accountKey{tier: 1, organisation: "large"}
	for _, host := range g.hosts {
		host.core.account(key.tier, key.organisation)
	}
	charge := func(amount float64) {
		for _, host := range g.hosts {
			host.core.account(key.tier, key.organisation).charged += amount
			host.core.account(key.tier, key.organisation).addServed(amount)
		}
	}
	// The first sums only serve as a baseline.
	charge(10)
	g.exchange(8)
	before := map[winch.HostID]float64{}
	for _, host := range g.hosts {
		before[host.id] = host.core.accounts[key].served
	}
	for range 5 {
		charge(100)
		g.exchange(1)
	}
	g.exchange(8)
	for _, host := range g.hosts {
		got := host.core.accounts[key].served - before[host.id]
		assert.Equal(t, got, float64(len(g.hosts)*500), "service that %s counts", host.id)
	}
}

func TestOldFiguresOfOtherGroupsAreDropped(t *testing.T) {
	g := newGroups(t, 100)
	mustAcquire(t, g.hosts[8].Dispatcher, workOf(interactive, 1))
	g.exchange(4)
	host, head := g.hosts[2], g.hosts[1]
	assert.Equal(t, host.core.sortedEndpoints[0].others, 1)
	// The head does not reach the hub any more.
	for range 10 {
		g.now = g.now.Add(250 * time.Millisecond)
		head.Section().Report(g.now)
		host.exchange(t, g.now)
	}
	assert.Equal(t, host.core.sortedEndpoints[0].others, 0)
}
