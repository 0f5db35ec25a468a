package source

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/arbutuswinch/winch"
)

const sectionName winch.SectionName = "Configuration"

// evidence is what a host tells of the configuration that it holds.
type evidence struct {
	version winch.Version
	// confirmed is zero when the age of the evidence is not known.
	confirmed time.Time
}

// stamp is a time of the hub's clock that a host got with a summary.
type stamp struct {
	// origin names the hub's process; zero stands for none.
	origin uint64
	// hubTime is in Unix nanoseconds, as the hub told it.
	hubTime int64
	// received is when it came, by this host's clock.
	received time.Time
}

// evidenceWire tells a version, how old the evidence for it is, and the configuration
// itself when the receiver lacks it.
//
// How long a summary was on its way is bounded by the exchange that it answers. For a report nothing
// bounds that: it may wait behind a silent link for seconds. So the hub stamps its
// summaries, and a host tells the evidence relative to the last stamp that it got.
type evidenceWire struct {
	Version       int64
	AgeMS         int64
	Configuration []byte `json:",omitempty"`
	// Origin and Stamp are the hub's, in summaries and echoed in reports. The stamp is in Unix nanoseconds.
	Origin uint64 `json:",omitempty"`
	Stamp  int64  `json:",omitempty"`
	// AfterMS is the time from the stamp's receipt to the evidence, negative when the evidence is older.
	AfterMS int64 `json:",omitempty"`
}

// section is the follower's part of the exchange between hosts.
type section struct {
	// Each data centre's hosts read the source.
	winch.NoDigest
	follower *Follower
}

// Section returns the follower's part of the exchange between hosts.
func (f *Follower) Section() winch.Section { return section{follower: f} }

// Name returns the section's name.
func (s section) Name() winch.SectionName { return sectionName }

// Report tells the hub what this host holds, with the configuration when the hub lacks it.
func (s section) Report(now time.Time) []byte {
	s.follower.mu.Lock()
	defer s.follower.mu.Unlock()
	return s.follower.marshal(s.follower.buildReport(now))
}

// Collect takes in what a host holds.
func (s section) Collect(now time.Time, from winch.HostID, report []byte) error {
	wire, err := decodeEvidence(report)
	if err != nil {
		return err
	}
	received := evidence{version: winch.Version(wire.Version)}
	if wire.Origin == s.follower.origin {
		received.confirmed = earliest(now, time.Unix(0, wire.Stamp).Add(time.Duration(wire.AfterMS)*time.Millisecond))
	}
	s.follower.mu.Lock()
	s.follower.reports[from] = received.version
	s.follower.mu.Unlock()
	return s.follower.applyEvidence(received, wire.Configuration, string(from))
}

// Summary tells a host what this one holds, with the configuration when the host lacks it.
func (s section) Summary(now time.Time, to winch.HostID) []byte {
	s.follower.mu.Lock()
	defer s.follower.mu.Unlock()
	wire := s.follower.evidenceFor(now, s.follower.reports[to])
	wire.Origin, wire.Stamp = s.follower.origin, now.UnixNano()
	return s.follower.marshal(wire)
}

// Apply takes in what the hub holds. The evidence counts from before the exchange.
func (s section) Apply(now, sent time.Time, hub winch.HostID, summary []byte) error {
	wire, err := decodeEvidence(summary)
	if err != nil {
		return err
	}
	received := evidence{version: winch.Version(wire.Version), confirmed: sent.Add(-time.Duration(wire.AgeMS) * time.Millisecond)}
	s.follower.mu.Lock()
	s.follower.hubVersion = received.version
	s.follower.stamp = stamp{origin: wire.Origin, hubTime: wire.Stamp, received: now}
	s.follower.mu.Unlock()
	return s.follower.applyEvidence(received, wire.Configuration, string(hub))
}

// buildReport is what this host tells the hub.
func (f *Follower) buildReport(now time.Time) evidenceWire {
	wire := f.evidenceFor(now, f.hubVersion)
	if f.stamp.origin != 0 {
		after := f.state.confirmedAt.Sub(f.stamp.received)
		wire.Origin, wire.Stamp, wire.AfterMS = f.stamp.origin, f.stamp.hubTime, after.Milliseconds()-1
	}
	return wire
}

// evidenceFor is what the host holds, for one that has the known version.
func (f *Follower) evidenceFor(now time.Time, known winch.Version) evidenceWire {
	if f.state.version == 0 {
		return evidenceWire{}
	}
	wire := evidenceWire{Version: int64(f.state.version), AgeMS: max(0, now.Sub(f.state.confirmedAt).Milliseconds()+1)}
	if known < f.state.version {
		wire.Configuration = f.state.raw
	}
	return wire
}

func (f *Follower) marshal(wire evidenceWire) []byte {
	encoded, err := json.Marshal(wire)
	if err != nil {
		// Numbers and bytes can always be encoded.
		f.options.Logger.Error("evidence not encoded", "Event", EventSourceFailed, "Error", err)
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

func (f *Follower) applyEvidence(received evidence, raw []byte, from string) error {
	if received.version == 0 || received.confirmed.IsZero() {
		return nil
	}
	return f.applyVersion(raw, received.version, received.confirmed, from)
}
