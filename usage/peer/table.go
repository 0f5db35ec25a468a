package peer

import (
	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/usage"
)

// cell is a counter as this host knows it.
type cell struct {
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
	cells       map[usage.Slot]*cell
	sequence    uint64
}

func newTable(incarnation winch.Incarnation) table {
	return table{incarnation: incarnation, cells: map[usage.Slot]*cell{}}
}

// at returns the counter, which is created when it is new.
func (t *table) at(slot usage.Slot) *cell {
	found := t.cells[slot]
	if found == nil {
		found = &cell{}
		t.cells[slot] = found
	}
	return found
}

// add counts use of this process.
func (t *table) add(window usage.Window, organisation winch.OrganisationID, counts usage.Counts) {
	found := t.at(usage.Slot{Window: window, Incarnation: t.incarnation, Organisation: organisation})
	found.counts = found.counts.Plus(counts)
	found.changed = t.sequence + 1
}

// merge takes counters of other processes in.
func (t *table) merge(cells []usage.Cell, reported bool) {
	for _, other := range cells {
		if other.Slot.Incarnation == t.incarnation {
			continue
		}
		found := t.at(other.Slot)
		merged := found.counts.Max(other.Counts)
		if merged != found.counts {
			found.counts = merged
			found.changed = t.sequence + 1
		}
		found.reported = found.reported || reported
	}
}

// next closes the current sequence number: later changes have a higher one.
func (t *table) next() uint64 {
	t.sequence++
	return t.sequence
}

// since returns the counters that changed after the sequence number and are not
// stored; only those of this process when own is set.
func (t *table) since(sequence uint64, own bool) []usage.Cell {
	cells := []usage.Cell{}
	for slot, found := range t.cells {
		if found.changed <= sequence || found.counts == found.stored || own && slot.Incarnation != t.incarnation {
			continue
		}
		cells = append(cells, usage.Cell{Slot: slot, Counts: found.counts})
	}
	return cells
}

// storedUpTo notes that the hub stored this process's counters up to the sequence number.
func (t *table) storedUpTo(sequence uint64) {
	for slot, found := range t.cells {
		if slot.Incarnation == t.incarnation && found.changed <= sequence {
			found.stored = found.counts
		}
	}
}

// isCopy reports whether it is for another host to store the counter.
func (t *table) isCopy(slot usage.Slot, found *cell) bool {
	return slot.Incarnation != t.incarnation && !found.reported
}

// adoptCopies makes it this host's duty to store the copies that it has.
func (t *table) adoptCopies() {
	for slot, found := range t.cells {
		found.reported = found.reported || slot.Incarnation != t.incarnation
	}
}

// dropCopies forgets copies of windows before the given one: the hub has stored them. It
// reports whether there were any.
func (t *table) dropCopies(before usage.Window) bool {
	known := len(t.cells)
	for slot, found := range t.cells {
		if slot.Window < before && t.isCopy(slot, found) {
			delete(t.cells, slot)
		}
	}
	return len(t.cells) < known
}

// earliestUnstored returns the earliest window with a counter that is not stored.
func (t *table) earliestUnstored(now usage.Window) usage.Window {
	earliest := now
	for slot, found := range t.cells {
		if found.counts != found.stored {
			earliest = min(earliest, slot.Window)
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
func (t *table) unstored(shards int, wanted scope) map[part]bool {
	parts := map[part]bool{}
	for slot, found := range t.cells {
		isOwn := slot.Incarnation == t.incarnation
		included := wanted == scopeAll || found.reported || isOwn && wanted == scopeOwn
		if found.counts != found.stored && included {
			parts[part{shard: usage.ShardOf(slot.Organisation, shards), window: slot.Window}] = true
		}
	}
	return parts
}

// parts returns the parts of all counters.
func (t *table) parts(shards int) map[part]bool {
	parts := map[part]bool{}
	for slot := range t.cells {
		parts[part{shard: usage.ShardOf(slot.Organisation, shards), window: slot.Window}] = true
	}
	return parts
}

// of returns all counters of the part.
func (t *table) of(wanted part, shards int) []usage.Cell {
	cells := []usage.Cell{}
	for slot, found := range t.cells {
		if slot.Window == wanted.window && usage.ShardOf(slot.Organisation, shards) == wanted.shard {
			cells = append(cells, usage.Cell{Slot: slot, Counts: found.counts})
		}
	}
	return cells
}

// markStored notes what the key-value service has.
func (t *table) markStored(cells []usage.Cell) {
	for _, stored := range cells {
		if found := t.cells[stored.Slot]; found != nil {
			found.stored = found.stored.Max(stored.Counts)
		}
	}
}

// prune forgets stored counters of windows before keep, and all before limit. It
// returns the counts of the latter that were not stored.
func (t *table) prune(keep, limit usage.Window) usage.Counts {
	lost := usage.Counts{}
	for slot, found := range t.cells {
		isStored := found.counts == found.stored
		switch {
		case slot.Window < limit:
			if !isStored && !t.isCopy(slot, found) {
				lost = lost.Plus(found.counts.Beyond(found.stored))
			}
			delete(t.cells, slot)
		case slot.Window < keep && isStored:
			delete(t.cells, slot)
		}
	}
	return lost
}
