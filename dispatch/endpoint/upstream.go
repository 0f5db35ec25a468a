package endpoint

import (
	"time"

	"github.com/arbutuswinch/winch"
)

// upstreamMaxAge is the age up to which a head passes on what the hub has told it. With the intervals of the exchange, it stays
// younger than StatsMaxAge for the hosts that receive it.
const upstreamMaxAge = 2 * time.Second

// upstream holds, on the head of a group, the statistics of the hosts outside the group, as the hub has summed them.
type upstream struct {
	at    time.Time
	from  winch.HostID
	stats sharedStats
	// charges holds the service that the hosts outside the group have charged since this host became a head.
	charges map[accountKey]*upstreamCharge
}

type upstreamCharge struct {
	last  int64 // value last received
	total int64
	at    time.Time // of the last change
}

func newUpstream() upstream {
	return upstream{stats: newStats(), charges: map[accountKey]*upstreamCharge{}}
}

// apply stores the hub's sums. The first charges from another hub, and charges below the last, only serve as a baseline, because
// hubs count from different times.
func (u *upstream) apply(now time.Time, from winch.HostID, stats sharedStats) {
	hubChanged := from != u.from
	u.at, u.from, u.stats = now, from, stats
	for key, charged := range stats.charged {
		known, found := u.charges[key]
		if !found {
			u.charges[key] = &upstreamCharge{last: charged, at: now}
			continue
		}
		if !hubChanged && charged > known.last {
			known.total += charged - known.last
			known.at = now
		}
		known.last = charged
	}
}

// addTo adds the statistics of the hosts outside the group to the sums, unless they are too old.
func (u *upstream) addTo(now time.Time, sum *sharedStats) {
	if now.Sub(u.at) <= upstreamMaxAge {
		sum.add(u.stats)
	}
}

// addUpstreamCharges adds what hosts outside the group have charged to the sums for a host of the group.
func (c *core) addUpstreamCharges(now time.Time, to winch.HostID, sum *sharedStats) {
	for key, outside := range c.upstream.charges {
		inside, included := sum.charged[key]
		recent := now.Sub(outside.at) <= c.settings.StatsMaxAge
		if !included && (!recent || len(sum.charged) >= maxReportedAccounts) {
			continue
		}
		if a := c.hub.charged[key]; !included && a != nil {
			inside = a.total - a.byHost[to]
		}
		sum.charged[key] = inside + outside.total
	}
}

// groupReporter is the name under which the charges of the host's group are counted, apart from those that it reported for
// itself alone.
func groupReporter(head winch.HostID) winch.HostID { return head + "/group" }

// report returns this host's statistics for the hub or, if other hosts report to it, the sums of its group. The reports of
// other groups are not included: two hosts that took each other for the hub would count them again and again.
func (c *core) report(now time.Time) sharedStats {
	own := c.ownStats(now, true)
	if !c.relays {
		return own
	}
	c.hub.drop(now, c.settings.StatsMaxAge)
	sum := newStats()
	sum.prefillAware, sum.group = own.prefillAware, true
	sum.add(own)
	for _, id := range c.hub.hosts() {
		if stats := c.hub.reports[id].stats; !stats.group {
			sum.add(stats)
		}
	}
	c.addOwnCharges(now)
	for key, a := range c.hub.charged {
		if now.Sub(a.changedAt) <= c.settings.StatsMaxAge && len(sum.charged) < maxReportedAccounts {
			sum.charged[key] = a.total - a.ofGroups
		}
	}
	return sum
}
