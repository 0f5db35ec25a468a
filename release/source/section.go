package source

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/arbutuswinch/winch"
)

// sectionName is not "Configuration", in which hosts of an earlier software version exchange versions of the store without revisions. While
// hosts of both kinds run, those whose hub is of the other kind read the source themselves.
const sectionName winch.SectionName = "ConfigurationEdition"

// maxAge is the age beyond which evidence proves nothing anyway. Ages are not told apart beyond it, and their sums cannot overflow.
const maxAge = 24 * time.Hour

// boundedAge returns an age or a difference in milliseconds within maxAge.
func boundedAge(age time.Duration) int64 {
	return min(max(age, -maxAge), maxAge).Milliseconds()
}

// milliseconds converts what boundedAge returns, of whatever value another host sends.
func milliseconds(value int64) time.Duration {
	bound := maxAge.Milliseconds()
	return time.Duration(min(max(value, -bound), bound)) * time.Millisecond
}

// evidence states that an edition was the newest at the time confirmed.
type evidence struct {
	edition edition
	// confirmed is by this host's clock. It is zero if the age of the evidence is unknown.
	confirmed time.Time
}

// receivedStamp is a reading of the hub's clock that a host received in a summary.
type receivedStamp struct {
	// origin identifies the hub's process; zero means that no stamp was received.
	origin uint64
	// hubTime is the reading in Unix nanoseconds.
	hubTime int64
	// receivedAt is when the summary arrived, by this host's clock.
	receivedAt time.Time
}

// editionWire is the encoded form of an edition. All fields are zero if there is none.
type editionWire struct {
	Revision int64  `json:",omitempty"`
	Digest   uint64 `json:",omitempty"`
	Version  int64
}

func encodeEdition(e edition) editionWire {
	return editionWire{Revision: int64(e.revision), Digest: uint64(e.digest), Version: int64(e.version)}
}

func (w editionWire) decode() edition {
	return edition{revision: winch.Revision(w.Revision), digest: contentDigest(w.Digest), version: winch.Version(w.Version)}
}

// evidenceWire holds an edition, the age of the evidence for it, and the configuration
// itself if the receiver lacks it.
//
// A host knows when it began an exchange, so it counts the age in a summary back from
// then. The hub does not know when a report was sent: it may have been stuck on an
// unresponsive link for seconds. So the hub puts a reading of its clock, the stamp, into
// each summary, and a host reports how long after receiving the stamp it got its
// evidence. The stamp was made before it was received, so the evidence is never taken for
// newer than it is.
type evidenceWire struct {
	editionWire
	AgeMS int64
	// Configuration is not set for a large one, which the receiver has to fetch.
	Configuration []byte `json:",omitempty"`
	// Newest is set by a host that has heard of a newer edition than it has. The newest edition is this or a later one.
	Newest *editionWire `json:",omitempty"`
	// Origin and Stamp are set by the hub in summaries and echoed in reports. Stamp is in
	// Unix nanoseconds.
	Origin uint64 `json:",omitempty"`
	Stamp  int64  `json:",omitempty"`
	// AfterMS is how long after receiving the stamp the host knew the edition to be the
	// newest, in milliseconds; negative if that was before.
	AfterMS int64 `json:",omitempty"`
}

// section implements winch.Section for a follower.
type section struct {
	// The hosts of each data centre read the source themselves, so digests are not needed.
	winch.NoDigest
	follower *Follower
}

// Section returns the follower's part of the exchange between hosts.
func (f *Follower) Section() winch.Section { return section{follower: f} }

// Name returns the section's name.
func (s section) Name() winch.SectionName { return sectionName }

// Report returns the evidence for the hub, with the configuration if the hub lacks it.
func (s section) Report(now time.Time) []byte {
	s.follower.mu.Lock()
	defer s.follower.mu.Unlock()
	return s.follower.marshal(s.follower.buildReport(now))
}

// Collect processes a host's report, at the hub. The evidence counts only if the
// report echoes a stamp of this process.
func (s section) Collect(now time.Time, from winch.HostID, report []byte) error {
	wire, err := decodeEvidence(report)
	if err != nil {
		return err
	}
	received := evidence{edition: wire.decode()}
	if wire.Origin == s.follower.origin {
		// Evidence is never dated to the future, such as by a host whose clock runs fast.
		received.confirmed = earliest(now, time.Unix(0, wire.Stamp).Add(milliseconds(wire.AfterMS)))
	}
	s.follower.mu.Lock()
	s.follower.reported[from] = received.edition
	s.follower.mu.Unlock()
	s.follower.hearOfNewest(wire)
	return s.follower.applyEvidence(received, wire.Configuration, from)
}

// Summary returns the evidence for a host, with the configuration if that host lacks it.
func (s section) Summary(now time.Time, to winch.HostID) []byte {
	s.follower.mu.Lock()
	defer s.follower.mu.Unlock()
	wire := s.follower.evidenceFor(now, s.follower.reported[to])
	wire.Origin, wire.Stamp = s.follower.origin, now.UnixNano()
	return s.follower.marshal(wire)
}

// Apply processes the hub's summary. The age of the evidence is counted back from the
// start of the exchange.
func (s section) Apply(now, sent time.Time, hub winch.HostID, summary []byte) error {
	wire, err := decodeEvidence(summary)
	if err != nil {
		return err
	}
	received := evidence{edition: wire.decode(), confirmed: sent.Add(-milliseconds(wire.AgeMS))}
	s.follower.mu.Lock()
	s.follower.hub, s.follower.hubEdition = hub, received.edition
	s.follower.stamp = receivedStamp{origin: wire.Origin, hubTime: wire.Stamp, receivedAt: now}
	s.follower.mu.Unlock()
	s.follower.hearOfNewest(wire)
	if err := s.follower.applyEvidence(received, wire.Configuration, hub); err != nil {
		return err
	}
	s.follower.recordRelay(hub, received)
	return nil
}

// hearOfNewest processes that another host has heard of a newer edition than it has.
func (f *Follower) hearOfNewest(wire evidenceWire) {
	if wire.Newest != nil {
		f.hearOfNewer(evidence{edition: wire.Newest.decode()}, "")
	}
}

// recordRelay records evidence from the hub. Evidence for an edition that this host does not have cannot replace a read.
func (f *Follower) recordRelay(hub winch.HostID, received evidence) {
	f.mu.Lock()
	inForce := f.state.edition
	f.mu.Unlock()
	if !received.edition.isNone() && !received.edition.newerThan(inForce) {
		f.reader.Received(hub, received.confirmed)
	}
}

// buildReport returns the report to the hub. The caller holds the lock.
func (f *Follower) buildReport(now time.Time) evidenceWire {
	wire := f.evidenceFor(now, f.hubEdition)
	if f.stamp.origin != 0 {
		// Rounded down, so that the evidence does not get newer.
		after := f.state.confirmedAt.Sub(f.stamp.receivedAt)
		wire.Origin, wire.Stamp, wire.AfterMS = f.stamp.origin, f.stamp.hubTime, boundedAge(after)-1
	}
	return wire
}

// evidenceFor returns the evidence for a receiver that has the known edition. Its age is
// rounded up, so that the evidence does not get newer. The caller holds the lock.
func (f *Follower) evidenceFor(now time.Time, known edition) evidenceWire {
	if f.state.edition.isNone() {
		return evidenceWire{}
	}
	wire := evidenceWire{editionWire: encodeEdition(f.state.edition), AgeMS: max(0, boundedAge(now.Sub(f.state.confirmedAt))+1)}
	if f.state.edition.newerThan(known) && len(f.state.raw) <= inlineLimit {
		wire.Configuration = f.state.raw
	}
	if f.state.behind() {
		newest := encodeEdition(f.state.news.edition)
		wire.Newest = &newest
	}
	return wire
}

func (f *Follower) marshal(wire evidenceWire) []byte {
	encoded, err := json.Marshal(wire)
	if err != nil {
		// Not expected: evidenceWire holds only numbers and bytes. The event is that of
		// failed reads, since there is no other.
		f.options.Logger.Error("encoding evidence failed", "Event", EventSourceFailed, "Error", err)
		return nil
	}
	return encoded
}

func decodeEvidence(encoded []byte) (evidenceWire, error) {
	wire := evidenceWire{}
	if len(encoded) == 0 {
		return wire, nil
	}
	if err := json.Unmarshal(encoded, &wire); err != nil {
		return wire, fmt.Errorf("decode evidence: %w: %w", winch.ErrInvalid, err)
	}
	if wire.Version < 0 || wire.AgeMS < 0 {
		return wire, fmt.Errorf("decode evidence: Version or AgeMS is negative: %w", winch.ErrInvalid)
	}
	return wire, nil
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// applyEvidence applies evidence from another host. Of evidence of unknown age only counts that the edition exists.
func (f *Follower) applyEvidence(received evidence, raw []byte, from winch.HostID) error {
	if received.edition.isNone() {
		return nil
	}
	if raw == nil || received.confirmed.IsZero() {
		f.hearOfNewer(received, from)
	}
	switch {
	case received.confirmed.IsZero():
		return nil
	case raw == nil:
		f.mu.Lock()
		defer f.mu.Unlock()
		f.state.confirm(received.edition, received.confirmed)
		return nil
	}
	return f.applyRelayed(raw, received.edition.version, received.confirmed, from)
}
