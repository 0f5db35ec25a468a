package peer

import (
	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/usage"
)

// cell is a counter as this host knows it.
type counterState struct {
	counts usage.Counts
	// stored is what the key-value service has of it, as far as is known.
	stored usage.Counts
	// changed is the sequence number of the last change.
	changed uint64
	// reported says that this host has it from the report of the host that counted it.
	reported bool
}

// table is the counters that a host knows. It does no I/O.
type table struct {
	incarnation winch.Incarnation
	counters    map[usage.CounterKey]*counterState
	sequence    uint64
}

func newTable(incarnation winch.Incarnation) table {
	return table{incarnation: incarnation, counters: map[usage.CounterKey]*counterState{}}
}

// at returns the counter, which is created when it is new.
func (t *table) getOrCreate(key usage.CounterKey) *counterState {
	state := t.counters[key]
	if state == nil {
		state = &counterState{}
		t.counters[key] = state
	}
	return state
}

// add counts use of this process.
func (t *table) add(window usage.Window, organisation winch.OrganisationID, counts usage.Counts) {
	state := t.getOrCreate(usage.CounterKey{Window: window, Incarnation: t.incarnation, Organisation: organisation})
	state.counts = state.counts.Plus(counts)
	state.changed = t.sequence + 1
}

// merge takes counters of other processes in.
func (t *table) merge(counters []usage.Counter, reported bool) {
	for _, counter := range counters {
		if counter.Key.Incarnation == t.incarnation {
			continue
		}
		state := t.getOrCreate(counter.Key)
		merged := state.counts.Max(counter.Counts)
		if merged != state.counts {
			state.counts = merged
			state.changed = t.sequence + 1
		}
		state.reported = state.reported || reported
	}
}

// next closes the current sequence number: later changes have a higher one.
func (t *table) nextSequence() uint64 {
	t.sequence++
	return t.sequence
}

// since returns the counters that changed after the sequence number and are not
// stored; only those of this process when own is set.
func (t *table) changedSince(sequence uint64, ownOnly bool) []usage.Counter {
	counters := []usage.Counter{}
	for key, state := range t.counters {
		if state.changed <= sequence || state.counts == state.stored || ownOnly && key.Incarnation != t.incarnation {
			continue
		}
		counters = append(counters, usage.Counter{Key: key, Counts: state.counts})
	}
	return counters
}

// storedUpTo notes that the hub stored this process's counters up to the sequence number.
func (t *table) markOwnStored(sequence uint64) {
	for key, state := range t.counters {
		if key.Incarnation == t.incarnation && state.changed <= sequence {
			state.stored = state.counts
		}
	}
}

// isCopy reports whether it is for another host to store the counter.
func (t *table) isCopy(key usage.CounterKey, state *counterState) bool {
	return key.Incarnation != t.incarnation && !state.reported
}

// adoptCopies makes it this host's duty to store the copies that it has.
func (t *table) adoptCopies() {
	for key, state := range t.counters {
		state.reported = state.reported || key.Incarnation != t.incarnation
	}
}

// dropCopies forgets copies of windows before the given one: the hub has stored them. It
// reports whether there were any.
func (t *table) dropCopies(olderThan usage.Window) bool {
	before := len(t.counters)
	for key, state := range t.counters {
		if key.Window < olderThan && t.isCopy(key, state) {
			delete(t.counters, key)
		}
	}
	return len(t.counters) < before
}

// earliestUnstored returns the earliest window with a counter that is not stored.
func (t *table) earliestUnstored(now usage.Window) usage.Window {
	earliest := now
	for key, state := range t.counters {
		if state.counts != state.stored {
			earliest = min(earliest, key.Window)
		}
	}
	return earliest
}

// part names the counters that are stored in one entry.
type part struct {
	shard  winch.Shard
	window usage.Window
}

// scope says which counters a host stores.
type scope int

const (
	// scopeReported is what other hosts reported: it is left to a host that was hub before.
	scopeReported scope = iota
	// scopeOwn is what this process counted as well: it is left when the process stops.
	scopeOwn
	// scopeAll is the hub's: copies are stored too, as their hub may be gone.
	scopeAll
)

// unstored returns the parts with counters to store.
func (t *table) unstored(shards int, included scope) map[part]bool {
	parts := map[part]bool{}
	for key, state := range t.counters {
		own := key.Incarnation == t.incarnation
		inScope := included == scopeAll || state.reported || own && included == scopeOwn
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

// of returns all counters of the part.
func (t *table) countersOf(wanted part, shards int) []usage.Counter {
	counters := []usage.Counter{}
	for key, state := range t.counters {
		if key.Window == wanted.window && usage.ShardOf(key.Organisation, shards) == wanted.shard {
			counters = append(counters, usage.Counter{Key: key, Counts: state.counts})
		}
	}
	return counters
}

// markStored notes what the key-value service has.
func (t *table) markStored(counters []usage.Counter) {
	for _, counter := range counters {
		if state := t.counters[counter.Key]; state != nil {
			state.stored = state.stored.Max(counter.Counts)
		}
	}
}

// prune forgets stored counters of windows before keep, and all before limit. It
// returns the counts of the latter that were not stored.
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
