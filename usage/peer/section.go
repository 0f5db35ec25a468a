package peer

import (
	"encoding/json"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/usage"
)

const sectionName winch.SectionName = "Usage"

// Name returns the name of the section in the exchange.
func (c *Counters) Name() winch.SectionName { return sectionName }

// Report returns the counters of this process that the hub may not have yet.
func (c *Counters) Report(time.Time) []byte {
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
	return encode(report)
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
	}
	state.copied = 0
	if wire.Copied == string(c.options.Incarnation) {
		state.copied = wire.CopiedSequence
	}
	c.hosts[from] = state
	c.table.merge(c.withinRetention(now, decodeBatches(wire.Batches)), true)
	return nil
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
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.hosts[to]
	summary := wireSummary{
		Hub:      string(c.options.Incarnation),
		Of:       string(state.incarnation),
		Received: state.received,
		Stored:   state.stored,
	}
	if toBackup {
		summary.Sequence = c.table.nextSequence()
		summary.Copies = encodeBatches(c.table.changedSince(state.copied, false))
		summary.StoredBefore = int64(c.table.earliestUnstored(usage.WindowOf(now, c.options.Window)))
	}
	return encode(summary)
}

// isBackup reports whether the host is the backup host of this hub: the first other host of the
// data centre.
func (c *Counters) isBackup(now time.Time, host winch.HostID) bool {
	self := c.options.Membership.Self()
	for _, other := range c.options.Membership.Hosts(now, self.DataCentre) {
		if other.ID != self.ID {
			return other.ID == host
		}
	}
	return false
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
	if wire.Of == string(c.options.Incarnation) {
		c.ackedSequence = wire.Received
		c.table.markOwnStored(wire.Stored)
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
