package peer

import (
	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/usage"
)

// counterState is the state of one counter on this host.
type counterState struct {
	counts usage.Counts
	// stored holds the counts that are known to be in the key-value service.
	stored usage.Counts
	// changed is the number of the first message that can contain the last change.
	changed uint64
	// responsible is set if this host is responsible for storing the counter of another process:
	// it received the counter in a report, or as a copy from a hub that was replaced.
	responsible bool
	// forwarded is set if this host reports the counter to its parent, which stores it. This host does so only if that is late.
	forwarded bool
}

// table holds the counters that a host knows. It does no I/O.
type table struct {
	incarnation winch.Incarnation
	counters    map[usage.CounterKey]*counterState
	// sequence is the number of the last message, a report or a summary, for which counters were
	// read from the table.
	sequence uint64
}

func newTable(incarnation winch.Incarnation) table {
	return table{incarnation: incarnation, counters: map[usage.CounterKey]*counterState{}}
}

// getOrCreate returns the state of the counter, which is created if it does not exist.
func (t *table) getOrCreate(key usage.CounterKey) *counterState {
	state := t.counters[key]
	if state == nil {
		state = &counterState{}
		t.counters[key] = state
	}
	return state
}

// add adds counts to a counter of this process.
func (t *table) add(window usage.Window, organisation winch.OrganisationID, counts usage.Counts) {
	state := t.getOrCreate(usage.CounterKey{Window: window, Incarnation: t.incarnation, Organisation: organisation})
	state.counts = state.counts.Plus(counts)
	state.changed = t.sequence + 1
}

// merge merges counters of other processes. Set responsible if they come from the report of the
// host that counted them; this host then has to store them.
func (t *table) merge(counters []usage.Counter, responsible bool) {
	for _, counter := range counters {
		if counter.Key.Incarnation == t.incarnation {
			// The table itself has the newest counts of this process.
			continue
		}
		state := t.getOrCreate(counter.Key)
		merged := state.counts.Max(counter.Counts)
		if merged != state.counts {
			state.counts = merged
			state.changed = t.sequence + 1
		}
		state.responsible = state.responsible || responsible
	}
}

// nextSequence returns the number of a new message. Later changes get a higher one.
func (t *table) nextSequence() uint64 {
	t.sequence++
	return t.sequence
}

// forward marks counters from the reports of other hosts as reported to this host's parent.
func (t *table) forward(counters []usage.Counter) {
	for _, counter := range counters {
		if state := t.counters[counter.Key]; state != nil && counter.Key.Incarnation != t.incarnation {
			state.forwarded = true
		}
	}
}

// reported reports whether this host reports the counter to its parent.
func (t *table) reported(key usage.CounterKey, state *counterState) bool {
	return key.Incarnation == t.incarnation || state.forwarded
}

// changedSince returns the counters that changed after the sequence number and are not stored.
// If reportedOnly is set, it returns only those that this host reports to its parent.
func (t *table) changedSince(sequence uint64, reportedOnly bool) []usage.Counter {
	counters := []usage.Counter{}
	for key, state := range t.counters {
		if state.changed <= sequence || state.counts == state.stored || reportedOnly && !t.reported(key, state) {
			continue
		}
		counters = append(counters, usage.Counter{Key: key, Counts: state.counts})
	}
	return counters
}

// markReportedStored records that the hub has stored what this host has reported up to the sequence number.
func (t *table) markReportedStored(sequence uint64) {
	for key, state := range t.counters {
		if t.reported(key, state) && state.changed <= sequence {
			state.stored = state.counts
		}
	}
}

// isCopy reports whether the counter is only a copy that another host is responsible for
// storing.
func (t *table) isCopy(key usage.CounterKey, state *counterState) bool {
	return key.Incarnation != t.incarnation && !state.responsible
}

// adoptCopies makes this host responsible for storing its copies.
func (t *table) adoptCopies() {
	for key, state := range t.counters {
		state.responsible = state.responsible || key.Incarnation != t.incarnation
	}
}

// removeCopies removes the copies of windows before olderThan, all counters of which the hub has
// stored. It reports whether there were any.
func (t *table) removeCopies(olderThan usage.Window) bool {
	before := len(t.counters)
	for key, state := range t.counters {
		if key.Window < olderThan && t.isCopy(key, state) {
			delete(t.counters, key)
		}
	}
	return len(t.counters) < before
}

// earliestUnstored returns the earliest window up to now with a counter that changed after the sequence number and is not stored, or
// now if there is none.
func (t *table) earliestUnstored(now usage.Window, sequence uint64) usage.Window {
	earliest := now
	for key, state := range t.counters {
		if state.counts != state.stored && state.changed > sequence {
			earliest = min(earliest, key.Window)
		}
	}
	return earliest
}

// part identifies the counters that are stored together in one entry.
type part struct {
	shard  winch.Shard
	window usage.Window
}

// scope selects the counters that a host stores.
type scope int

const (
	// scopeReported selects the counters of other processes that this host is responsible for and does not forward.
	// They can remain after the host has ceased to be the hub.
	scopeReported scope = iota
	// scopeReportedAndOwn also selects the counters of this process and those that it forwards. It is used when the process
	// stops.
	scopeReportedAndOwn
	// scopeAll selects all counters including copies, because the hub that sent the copies may
	// be gone. It is used by the hub, and by other hosts when the hub is late.
	scopeAll
)

// unstored returns the parts with counters in the scope that are not stored.
func (t *table) unstored(shards int, included scope) map[part]bool {
	parts := map[part]bool{}
	for key, state := range t.counters {
		own := key.Incarnation == t.incarnation
		inScope := included == scopeAll || state.responsible && !state.forwarded || (own || state.forwarded) && included == scopeReportedAndOwn
		if state.counts != state.stored && inScope {
			parts[part{shard: usage.ShardOf(key.Organisation, shards), window: key.Window}] = true
		}
	}
	return parts
}

// parts returns the parts of all counters.
func (t *table) parts(shards int) map[part]bool {
	parts := map[part]bool{}
	for key := range t.counters {
		parts[part{shard: usage.ShardOf(key.Organisation, shards), window: key.Window}] = true
	}
	return parts
}

// countersOf returns all counters of the part.
func (t *table) countersOf(wanted part, shards int) []usage.Counter {
	counters := []usage.Counter{}
	for key, state := range t.counters {
		if key.Window == wanted.window && usage.ShardOf(key.Organisation, shards) == wanted.shard {
			counters = append(counters, usage.Counter{Key: key, Counts: state.counts})
		}
	}
	return counters
}

// markStored records that the counters are in the key-value service.
func (t *table) markStored(counters []usage.Counter) {
	for _, counter := range counters {
		if state := t.counters[counter.Key]; state != nil {
			state.stored = state.stored.Max(counter.Counts)
		}
	}
}

// forgetStored makes all counters count as not stored, and as changed, so that this host reports its own ones again.
func (t *table) forgetStored() {
	for _, state := range t.counters {
		state.stored, state.changed = usage.Counts{}, t.sequence+1
	}
}

// prune removes stored counters of windows before keepFrom and all counters of windows before
// dropBefore. It returns the counts of the latter that were lost because they were never
// stored.
func (t *table) prune(keepFrom, dropBefore usage.Window) usage.Counts {
	lost := usage.Counts{}
	for key, state := range t.counters {
		stored := state.counts == state.stored
		switch {
		case key.Window < dropBefore:
			if !stored && !t.isCopy(key, state) {
				lost = lost.Plus(state.counts.ExcessOver(state.stored))
			}
			delete(t.counters, key)
		case key.Window < keepFrom && stored:
			delete(t.counters, key)
		}
	}
	return lost
}
