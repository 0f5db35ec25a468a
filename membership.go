package winch

import "time"

// Host is an entry host of the system.
type Host struct {
	ID         HostID
	DataCentre DataCentreID
	// PeerAddress is the IP number and port that other hosts call.
	PeerAddress string
	Leaving     bool
}

// Membership tells which hosts are alive.
type Membership interface {
	Self() Host
	// DataCentres returns all data centres of the system, sorted.
	DataCentres() []DataCentreID
	// Hosts returns the hosts of a data centre that are believed alive, sorted by id.
	Hosts(now time.Time, centre DataCentreID) []Host
	// Hub returns the host through which the data centre's hosts exchange reports.
	Hub(now time.Time, centre DataCentreID) (Host, bool)
	// Candidate tells whether this host is the one that should take on the duty,
	// among the live hosts of the data centre, or of all data centres when centre is empty.
	Candidate(now time.Time, duty Duty, centre DataCentreID) bool
}

// NoDigest is for sections that have nothing to say to other data centres.
type NoDigest struct{}

// Digest returns nothing.
func (NoDigest) Digest(time.Time, DataCentreID) []byte { return nil }

// ApplyDigest takes nothing in.
func (NoDigest) ApplyDigest(time.Time, time.Time, DataCentreID, []byte) error { return nil }

// SectionName names one slice's part of an exchange.
type SectionName string

// Section is one slice's part of the periodic exchange between hosts. Each host
// sends a report to the hub of its data centre and gets a summary back; hubs of
// different data centres send each other digests. The bytes are JSON, of the
// slice's own codec; nil stands for nothing to say. Section methods must not block.
type Section interface {
	Name() SectionName
	// Report returns what this host tells its hub.
	Report(now time.Time) []byte
	// Collect takes a host's report in, at the hub.
	Collect(now time.Time, from HostID, report []byte) error
	// Summary returns what the hub answers to the host.
	Summary(now time.Time, to HostID) []byte
	// Apply takes the hub's summary in. The exchange began at sent, by this host's clock.
	Apply(now, sent time.Time, hub HostID, summary []byte) error
	// Digest returns what the hub of this data centre tells the hubs of others.
	Digest(now time.Time, to DataCentreID) []byte
	// ApplyDigest takes a digest of another data centre in, at the hub. What the
	// digest says was true at sent or later, by this host's clock; sent is zero
	// when the digest came unasked, and then its age is unknown.
	ApplyDigest(now, sent time.Time, from DataCentreID, digest []byte) error
}
