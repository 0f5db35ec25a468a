package endpoint

import (
	"sort"
	"time"

	"github.com/arbutuswinch/winch"
)

// Queues returns the queues of this host and those known of other hosts from the
// exchange: on the hub the queues of each host, elsewhere their sums.
func (d *Dispatcher) Queues(now time.Time) []winch.QueueStatus {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.core.queues(now)
}

func (c *core) queues(now time.Time) []winch.QueueStatus {
	statuses := make([]winch.QueueStatus, 0, len(c.sortedLanes))
	for _, l := range c.sortedLanes {
		status := c.queueStatus(l.key, laneStats{Queued: l.queued + len(l.bound), Running: l.running, OldestWait: l.oldestWait(now), PromptRate: int(l.promptRate.PerSecond(now))})
		status.DataCentre, status.Host, status.PredictedDrain = c.self.DataCentre, c.self.ID, c.drainTime(now, l)
		status.Slots = int(l.slots)
		statuses = append(statuses, status)
	}
	if c.isHub() {
		statuses = c.appendReports(now, statuses)
	} else {
		statuses = c.appendSums(now, statuses)
	}
	for centre, other := range c.remotes {
		for key, stats := range other.lanes {
			status := c.queueStatus(key, stats)
			status.DataCentre, status.Age = centre, now.Sub(other.at)
			statuses = append(statuses, status)
		}
	}
	sort.SliceStable(statuses, func(i, j int) bool { return statusLess(statuses[i], statuses[j]) })
	return statuses
}

// isHub reports whether this host is the hub, which applies its own summaries.
func (c *core) isHub() bool { return c.summaryFrom == c.self.ID }

// appendReports appends the queues that the other hosts have reported to this hub.
func (c *core) appendReports(now time.Time, statuses []winch.QueueStatus) []winch.QueueStatus {
	for id, report := range c.hub.reports {
		if id == c.self.ID || !c.fresh(now, report.at) {
			continue
		}
		for key, stats := range report.stats.lanes {
			status := c.queueStatus(key, stats)
			status.DataCentre, status.Host, status.Age = c.self.DataCentre, id, now.Sub(report.at)
			statuses = append(statuses, status)
		}
	}
	return statuses
}

// appendSums appends the sums over the other hosts of the data centre to the statuses.
func (c *core) appendSums(now time.Time, statuses []winch.QueueStatus) []winch.QueueStatus {
	for _, l := range c.sortedLanes {
		if !c.hostStatsFresh(now) || l.others.Queued+l.others.Running+l.others.PromptRate == 0 {
			continue
		}
		status := c.queueStatus(l.key, l.others)
		status.DataCentre, status.Age = c.self.DataCentre, now.Sub(c.summaryAsOf)
		statuses = append(statuses, status)
	}
	return statuses
}

func (c *core) queueStatus(key laneKey, stats laneStats) winch.QueueStatus {
	return winch.QueueStatus{
		Class: key.class, Model: key.group.model, Route: key.group.route, Tier: c.configuration.Classes[key.class].Tier,
		Queued: stats.Queued, Running: stats.Running, OldestWait: stats.OldestWait,
		PromptRate: float64(stats.PromptRate), PromptSpeed: c.prefillSpeeds[key.group].Value,
	}
}

func statusLess(a, b winch.QueueStatus) bool {
	if a.DataCentre != b.DataCentre {
		return a.DataCentre < b.DataCentre
	}
	if a.Tier != b.Tier {
		return a.Tier < b.Tier
	}
	if a.Class != b.Class {
		return a.Class < b.Class
	}
	return a.Host < b.Host
}
