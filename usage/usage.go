// Package usage counts what organisations use in each reporting window and computes the
// figures that are reported for a window.
//
// Each counter belongs to one run of a process (its incarnation), one window and one
// organisation. Counters only grow, so copies of a counter are merged by taking the maximum.
// Sealing a window fixes its figures. A seal covers all counts that no earlier seal covers:
// the window's own counts and, marked as adjustments, counts of earlier windows that arrived
// after those windows were sealed. Counts that a seal covers are called accounted.
//
// # Usage
//
//	totals := usage.Totals{}
//	totals.Add(usage.Source{Window: window, DataCentre: "yard-1"}, "dealer-7", counts)
//	figures, increments := usage.Seal(window, totals, accounted)
//
// Package usage/peer counts usage and copies the counters between hosts. Package
// usage/billing seals windows and reports them. Package usage/keyvalue defines how both
// are stored in the key-value service.
package usage

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutuswinch/winch"
)

// Window identifies a reporting window by its start, in Unix seconds.
type Window int64

// WindowOf returns the window of the given length that contains now.
func WindowOf(now time.Time, length time.Duration) Window {
	seconds := int64(length / time.Second)
	return Window(now.Unix() / seconds * seconds)
}

// Start returns the start of the window.
func (w Window) Start() time.Time { return time.Unix(int64(w), 0).UTC() }

// End returns the end of the window, which is its start plus the length.
func (w Window) End(length time.Duration) time.Time { return w.Start().Add(length) }

// ShardOf returns the shard that the organisation is assigned to, by a hash of its id.
func ShardOf(organisation winch.OrganisationID, shards int) winch.Shard {
	return winch.Shard(xxhash.Sum64String(string(organisation)) % uint64(shards))
}

// Counts holds the number of requests and the numbers of tokens that they used.
type Counts struct {
	Requests     int64
	InputTokens  winch.Tokens
	OutputTokens winch.Tokens
}

// Plus returns the sum of both counts, field by field.
func (c Counts) Plus(other Counts) Counts {
	return Counts{
		Requests:     c.Requests + other.Requests,
		InputTokens:  c.InputTokens + other.InputTokens,
		OutputTokens: c.OutputTokens + other.OutputTokens,
	}
}

// ExcessOver returns c minus other, field by field; a negative difference becomes zero.
func (c Counts) ExcessOver(other Counts) Counts {
	return Counts{
		Requests:     max(c.Requests-other.Requests, 0),
		InputTokens:  max(c.InputTokens-other.InputTokens, 0),
		OutputTokens: max(c.OutputTokens-other.OutputTokens, 0),
	}
}

// Max returns the maximum of both counts, field by field.
func (c Counts) Max(other Counts) Counts {
	return Counts{
		Requests:     max(c.Requests, other.Requests),
		InputTokens:  max(c.InputTokens, other.InputTokens),
		OutputTokens: max(c.OutputTokens, other.OutputTokens),
	}
}

// IsZero reports whether all counts are zero.
func (c Counts) IsZero() bool { return c == Counts{} }

// CounterKey identifies a counter.
type CounterKey struct {
	Window       Window
	Incarnation  winch.Incarnation
	Organisation winch.OrganisationID
}

// Counter is a counter at one point in time: its key and its counts.
type Counter struct {
	Key    CounterKey
	Counts Counts
}

// HostSet is a set of host ids.
type HostSet map[winch.HostID]bool

// Source identifies the window and the data centre in which usage was counted. The counters of
// all processes of the data centre are summed.
type Source struct {
	Window     Window
	DataCentre winch.DataCentreID
}

// Totals holds counts by source and organisation.
type Totals map[Source]map[winch.OrganisationID]Counts

// Add adds counts to those of the source and the organisation.
func (t Totals) Add(source Source, organisation winch.OrganisationID, counts Counts) {
	if t[source] == nil {
		t[source] = map[winch.OrganisationID]Counts{}
	}
	t[source][organisation] = t[source][organisation].Plus(counts)
}

// AddAll adds all counts of other.
func (t Totals) AddAll(other Totals) {
	for source, organisations := range other {
		for organisation, counts := range organisations {
			t.Add(source, organisation, counts)
		}
	}
}
