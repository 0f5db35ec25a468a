package winch

import "time"

// Host is an entry host: it accepts callers' requests and routes them to endpoints.
type Host struct {
	ID         HostID
	DataCentre DataCentreID
	// Home is the data centre in which the host stands, if DataCentre stands for several; else it is empty.
	Home DataCentreID
	// PeerAddress is the IP address and port on which the host serves other hosts.
	PeerAddress string
	// Capacity is the number of processors that the host may use. Duties for all hosts go to those that have most; zero if it
	// is not known.
	Capacity float64
	// Leaving is set when the host is shutting down.
	Leaving bool
}

// Membership tracks which hosts are alive.
type Membership interface {
	Self() Host
	// DataCentres returns all data centres of the system, sorted.
	DataCentres() []DataCentreID
	// Hosts returns the hosts of a data centre that are believed to be alive, sorted by ID.
	Hosts(now time.Time, centre DataCentreID) []Host
	// Hub returns the host that collects the reports of the data centre's hosts and answers
	// with summaries. It returns false if no host of the data centre is alive.
	Hub(now time.Time, centre DataCentreID) (Host, bool)
	// Candidate reports whether this host should try to acquire the lease of the duty. One of
	// the live hosts of the data centre is chosen for it. An empty centre means all data centres.
	Candidate(now time.Time, duty Duty, centre DataCentreID) bool
	// Rank returns how many of these hosts would be chosen before this one.
	Rank(now time.Time, duty Duty, centre DataCentreID) int
	// RelaysReports reports whether other hosts report to this one although it may not be the hub: the hosts are divided into
	// groups, and this host is the hub or the head of a group. Its own reports and summaries are then those of a Section that
	// relays.
	RelaysReports(now time.Time) bool
}

// SectionName names a section of the exchange between hosts.
type SectionName string

// Section is one subsystem's part of the periodic exchange between hosts. Each host
// sends a report to the hub of its data centre and gets a summary back; hubs of
// different data centres send each other digests. The payloads are JSON, encoded by
// the subsystem itself; nil means that there is none. The methods must not block.
//
// In a large data centre the hub's place is taken by the heads of groups, which report to the hub themselves. A section relays on
// such a host: its report covers the hosts that report to it, and its summaries contain what the hub has told it.
type Section interface {
	Name() SectionName
	// Report returns this host's report to its hub.
	Report(now time.Time) []byte
	// Collect processes a host's report at the hub.
	Collect(now time.Time, from HostID, report []byte) error
	// Summary returns the hub's summary for the host.
	Summary(now time.Time, to HostID) []byte
	// Apply processes the hub's summary. The exchange began at sent, by this host's clock.
	Apply(now, sent time.Time, hub HostID, summary []byte) error
	// Digest returns the digest that this data centre's hub sends to the hub of another.
	Digest(now time.Time, to DataCentreID) []byte
	// ApplyDigest processes another data centre's digest at the hub. sent is when this
	// host requested the digest, by its own clock; the state in the digest is not older.
	// It is zero for a digest that was not requested, whose age is unknown.
	ApplyDigest(now, sent time.Time, from DataCentreID, digest []byte) error
}

// NoDigest is embedded in a Section that exchanges nothing with other data centres.
type NoDigest struct{}

// Digest returns nil.
func (NoDigest) Digest(time.Time, DataCentreID) []byte { return nil }

// ApplyDigest does nothing.
func (NoDigest) ApplyDigest(time.Time, time.Time, DataCentreID, []byte) error { return nil }
