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
	// at is in Unix nanoseconds, as the hub told it.
	at int64
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
	f *Follower
}

// Section returns the follower's part of the exchange between hosts.
func (f *Follower) Section() winch.Section { return section{f: f} }

// Name returns the section's name.
func (s section) Name() winch.SectionName { return sectionName }

// Report tells the hub what this host holds, with the configuration when the hub lacks it.
func (s section) Report(now time.Time) []byte {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	return s.f.marshal(s.f.report(now))
}

// Collect takes in what a host holds.
func (s section) Collect(now time.Time, from winch.HostID, report []byte) error {
	wire, err := decodeEvidence(report)
	if err != nil {
		return err
	}
	told := evidence{version: winch.Version(wire.Version)}
	if wire.Origin == s.f.origin {
		told.confirmed = earlier(now, time.Unix(0, wire.Stamp).Add(time.Duration(wire.AfterMS)*time.Millisecond))
	}
	s.f.mu.Lock()
	s.f.reports[from] = told.version
	s.f.mu.Unlock()
	return s.f.takeEvidence(told, wire.Configuration, string(from))
}

// Summary tells a host what this one holds, with the configuration when the host lacks it.
func (s section) Summary(now time.Time, to winch.HostID) []byte {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	wire := s.f.tell(now, s.f.reports[to])
	wire.Origin, wire.Stamp = s.f.origin, now.UnixNano()
	return s.f.marshal(wire)
}

// Apply takes in what the hub holds. The evidence counts from before the exchange.
func (s section) Apply(now, sent time.Time, hub winch.HostID, summary []byte) error {
	wire, err := decodeEvidence(summary)
	if err != nil {
		return err
	}
	told := evidence{version: winch.Version(wire.Version), confirmed: sent.Add(-time.Duration(wire.AgeMS) * time.Millisecond)}
	s.f.mu.Lock()
	s.f.hubVersion = told.version
	s.f.stamp = stamp{origin: wire.Origin, at: wire.Stamp, received: now}
	s.f.mu.Unlock()
	return s.f.takeEvidence(told, wire.Configuration, string(hub))
}

// report is what this host tells the hub.
func (f *Follower) report(now time.Time) evidenceWire {
	wire := f.tell(now, f.hubVersion)
	if f.stamp.origin != 0 {
		after := f.state.confirmedAt.Sub(f.stamp.received)
		wire.Origin, wire.Stamp, wire.AfterMS = f.stamp.origin, f.stamp.at, after.Milliseconds()-1
	}
	return wire
}

// tell is what the host holds, for one that has the known version.
func (f *Follower) tell(now time.Time, known winch.Version) evidenceWire {
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

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (f *Follower) takeEvidence(told evidence, raw []byte, from string) error {
	if told.version == 0 || told.confirmed.IsZero() {
		return nil
	}
	return f.take(raw, told.version, told.confirmed, from)
}
