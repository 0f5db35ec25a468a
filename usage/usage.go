// Package usage counts what organisations used, window by window, and decides
// which figures are reported for a window.
//
// Counters only grow, and there is one for each process start, window and
// organisation, so that copies are merged by taking the maximum. A seal fixes the
// figures of one window. It accounts for everything that was counted and is not
// accounted for by an earlier seal: the window's own counts, and as adjustment
// those of earlier windows that came too late for their seal.
//
// # Usage
//
//	totals := usage.Totals{}
//	totals.Add(usage.Source{Window: window, DataCentre: "yard-1"}, "dealer-7", counts)
//	figures, increments := usage.Seal(window, totals, accounted)
//
// Package usage/peer counts and copies, usage/billing seals and reports, and
// usage/keyvalue holds the format of what both keep in the key-value service.
package usage

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutuswinch/winch"
)

// Window is the start of a reporting window, in Unix seconds.
type Window int64

// WindowOf returns the window of the given length that the instant is in.
func WindowOf(now time.Time, length time.Duration) Window {
	seconds := int64(length / time.Second)
	return Window(now.Unix() / seconds * seconds)
}

// Start returns the window's start.
func (w Window) Start() time.Time { return time.Unix(int64(w), 0).UTC() }

// End returns the window's end.
func (w Window) End(length time.Duration) time.Time { return w.Start().Add(length) }

// ShardOf returns the shard of the organisation.
func ShardOf(organisation winch.OrganisationID, shards int) winch.Shard {
	return winch.Shard(xxhash.Sum64String(string(organisation)) % uint64(shards))
}

// Counts are amounts that were used.
type Counts struct {
	Requests     int64
	InputTokens  winch.Tokens
	OutputTokens winch.Tokens
}

// Plus returns the sum.
func (c Counts) Plus(other Counts) Counts {
	return Counts{
		Requests:     c.Requests + other.Requests,
		InputTokens:  c.InputTokens + other.InputTokens,
		OutputTokens: c.OutputTokens + other.OutputTokens,
	}
}

// ExcessOver returns by how much the counts exceed the others; a count that does not is zero.
func (c Counts) ExcessOver(other Counts) Counts {
	return Counts{
		Requests:     max(c.Requests-other.Requests, 0),
		InputTokens:  max(c.InputTokens-other.InputTokens, 0),
		OutputTokens: max(c.OutputTokens-other.OutputTokens, 0),
	}
}

// Max returns the larger of each count.
func (c Counts) Max(other Counts) Counts {
	return Counts{
		Requests:     max(c.Requests, other.Requests),
		InputTokens:  max(c.InputTokens, other.InputTokens),
		OutputTokens: max(c.OutputTokens, other.OutputTokens),
	}
}

// IsZero reports whether nothing was used.
func (c Counts) IsZero() bool { return c == Counts{} }

// CounterKey names one counter.
type CounterKey struct {
	Window       Window
	Incarnation  winch.Incarnation
	Organisation winch.OrganisationID
}

// Counter is one counter with its counts.
type Counter struct {
	Key    CounterKey
	Counts Counts
}

// HostSet is a set of hosts.
type HostSet map[winch.HostID]bool

// Source is where counts of a window come from.
type Source struct {
	Window     Window
	DataCentre winch.DataCentreID
}

// Totals are counts by source and organisation.
type Totals map[Source]map[winch.OrganisationID]Counts

// Add adds counts.
func (t Totals) Add(source Source, organisation winch.OrganisationID, counts Counts) {
	if t[source] == nil {
		t[source] = map[winch.OrganisationID]Counts{}
	}
	t[source][organisation] = t[source][organisation].Plus(counts)
}

// AddAll adds all counts of the other totals.
func (t Totals) AddAll(other Totals) {
	for source, organisations := range other {
		for organisation, counts := range organisations {
			t.Add(source, organisation, counts)
		}
	}
}
