package peer

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/usage"
)

const sectionName winch.SectionName = "Usage"

// Name returns the name of the section in the exchange.
func (c *Counters) Name() winch.SectionName { return sectionName }

// Report returns the counters of this process, and those of its group if it is the head of one, that the hub may not have yet.
func (c *Counters) Report(now time.Time) []byte {
	relays := c.options.Membership.RelaysReports(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	report := wireReport{
		Incarnation:    string(c.options.Incarnation),
		AsOf:           c.options.Clock.Now(),
		Since:          c.ackedSequence,
		Sequence:       c.table.nextSequence(),
		Copied:         c.copiedFrom,
		CopiedSequence: c.copiedSequence,
	}
	report.Batches = encodeBatches(c.table.changedSince(c.ackedSequence, true))
	if relays {
		report.Members = c.members()
	}
	return encode(report)
}

// members returns up to when the counts of the hosts that report to this one are in its table, sorted by host.
func (c *Counters) members() []wireMember {
	members := []wireMember{}
	for id, state := range c.hosts {
		if state.forwarded && !state.asOf.IsZero() {
			members = append(members, wireMember{Host: string(id), AsOf: state.asOf})
		}
	}
	slices.SortFunc(members, func(a, b wireMember) int { return cmp.Compare(a.Host, b.Host) })
	return members
}

func encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		// Only a time outside the years 0 to 9999 cannot be encoded.
		return nil
	}
	return encoded
}

// Collect merges the counters in a host's report, except those of windows older than the
// retention, and records what the host has reported and which copies it has.
func (c *Counters) Collect(now time.Time, from winch.HostID, report []byte) error {
	wire, err := decodeReport(report)
	if err != nil {
		return err
	}
	forward := c.forwards(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.hosts[from]
	if state.incarnation != winch.Incarnation(wire.Incarnation) {
		state = hostState{incarnation: winch.Incarnation(wire.Incarnation)}
	}
	// The report contains only changes after Since. If this hub has not received everything up to
	// Since, the host reported the earlier changes to another hub. The counters are merged but not
	// acknowledged, so that the host reports everything again.
	if wire.Since <= state.received {
		state.received = max(state.received, wire.Sequence)
		state.asOf = wire.AsOf
		c.recordMembers(wire.Members)
	}
	state.forwarded, state.reportedAt = forward, now
	state.copied = 0
	if wire.Copied == string(c.options.Incarnation) {
		state.copied = wire.CopiedSequence
	}
	counters := c.withinRetention(now, decodeBatches(wire.Batches))
	c.table.merge(counters, true)
	if forward {
		c.table.forward(counters)
		state.awaitStored(c.table.sequence + 1)
	}
	c.hosts[from] = state
	return nil
}

// forwards reports whether this host is the head of a group, and reports the counters of its hosts to the hub.
func (c *Counters) forwards(now time.Time) bool {
	return c.options.Membership.RelaysReports(now) && !c.isHub(now)
}

// recordMembers records up to when the counts of the hosts of a group are in this table.
func (c *Counters) recordMembers(members []wireMember) {
	for _, member := range members {
		id := winch.HostID(member.Host)
		if member.AsOf.After(c.membersAsOf[id]) {
			c.membersAsOf[id] = member.AsOf
		}
	}
}

// awaitStored notes that everything received so far is in this host's report with the given number. While an earlier number is
// awaited, that stays.
func (s *hostState) awaitStored(report uint64) {
	if s.awaitedReport == 0 {
		s.awaitedReport, s.awaited = report, s.received
	}
}

// noteStored records that the hub has stored this host's report with the given number.
func (s *hostState) noteStored(report uint64) {
	if s.awaitedReport == 0 || report < s.awaitedReport {
		return
	}
	s.stored = max(s.stored, s.awaited)
	s.awaitedReport = 0
}

// withinRetention returns the counters of windows that are not older than the retention.
func (c *Counters) withinRetention(now time.Time, counters []usage.Counter) []usage.Counter {
	oldest := usage.WindowOf(now.Add(-c.options.Retention), c.options.Window)
	kept := counters[:0]
	for _, counter := range counters {
		if counter.Key.Window >= oldest {
			kept = append(kept, counter)
		}
	}
	return kept
}

// Summary returns the acknowledgement of the host's report. For the backup host it also
// contains copies of counters.
func (c *Counters) Summary(now time.Time, to winch.HostID) []byte {
	toBackup := c.isBackup(now, to)
	forwards := c.forwards(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.hosts[to]
	summary := wireSummary{
		Hub:      string(c.options.Incarnation),
		Of:       string(state.incarnation),
		Received: state.received,
		Stored:   state.stored,
		Forwards: forwards,
	}
	if toBackup {
		summary.Sequence = c.table.nextSequence()
		summary.Copies = encodeBatches(c.table.changedSince(state.copied, false))
		summary.StoredBefore = int64(c.table.earliestUnstored(usage.WindowOf(now, c.options.Window), 0))
	}
	return encode(summary)
}

// isBackup reports whether the host is the backup host of this hub: the first other host of the
// data centre that reports to it. The heads of groups have no backup, since their hosts report again to another.
func (c *Counters) isBackup(now time.Time, host winch.HostID) bool {
	self := c.options.Membership.Self()
	if c.options.Membership.RelaysReports(now) {
		return c.isHub(now) && host == c.firstReporter(now)
	}
	for _, other := range c.options.Membership.Hosts(now, self.DataCentre) {
		if other.ID != self.ID {
			return other.ID == host
		}
	}
	return false
}

// firstReporter returns the first live host that reports to this one itself.
func (c *Counters) firstReporter(now time.Time) winch.HostID {
	self := c.options.Membership.Self()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, other := range c.options.Membership.Hosts(now, self.DataCentre) {
		if now.Sub(c.hosts[other.ID].reportedAt) <= reporterMaxAge && other.ID != self.ID {
			return other.ID
		}
	}
	return ""
}

// noteMembersStored records what the hub has stored of the hosts that report to this one.
func (c *Counters) noteMembersStored(report uint64) {
	for id, state := range c.hosts {
		state.noteStored(report)
		c.hosts[id] = state
	}
}

// Apply processes the hub's acknowledgement and merges its copies.
func (c *Counters) Apply(now, _ time.Time, hub winch.HostID, summary []byte) error {
	if len(summary) == 0 || hub == c.options.Membership.Self().ID {
		return nil
	}
	wire, err := decodeSummary(summary)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hubIncarnation != wire.Hub {
		// The new hub may not have the copies that this host received from the former one.
		c.table.adoptCopies()
		c.hubIncarnation = wire.Hub
	}
	c.heldByHead = 0
	if wire.Of == string(c.options.Incarnation) {
		if wire.Forwards {
			c.heldByHead = wire.Received
		}
		c.ackedSequence = wire.Received
		c.table.markReportedStored(wire.Stored)
		c.noteMembersStored(wire.Stored)
	}
	if wire.Sequence == 0 {
		// The summary has no copies: this host is not the backup host.
		return nil
	}
	c.table.merge(c.withinRetention(now, decodeBatches(wire.Copies)), false)
	c.copiedFrom, c.copiedSequence = wire.Hub, wire.Sequence
	if c.table.removeCopies(usage.Window(wire.StoredBefore)) {
		c.removalCount++
	}
	return nil
}
