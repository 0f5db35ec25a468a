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
	version   winch.Version
	confirmed time.Time
}

// evidenceWire tells a version, how old the evidence for it is, and the configuration
// itself when the receiver lacks it.
type evidenceWire struct {
	Version       int64
	AgeMS         int64
	Configuration []byte `json:",omitempty"`
}

// section is the follower's part of the exchange between hosts.
type section struct{ f *Follower }

// Section returns the follower's part of the exchange between hosts.
func (f *Follower) Section() winch.Section { return section{f: f} }

// Name returns the section's name.
func (s section) Name() winch.SectionName { return sectionName }

// Report tells the hub what this host holds, with the configuration when the hub lacks it.
func (s section) Report(now time.Time) []byte {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	return s.f.encode(now, s.f.hubVersion)
}

// Collect takes in what a host holds.
func (s section) Collect(now time.Time, from winch.HostID, report []byte) error {
	told, raw, err := decodeEvidence(now, report)
	if err != nil {
		return err
	}
	s.f.mu.Lock()
	s.f.reports[from] = told
	s.f.mu.Unlock()
	return s.f.takeEvidence(told, raw, string(from))
}

// Summary tells a host what this one holds, with the configuration when the host lacks it.
func (s section) Summary(now time.Time, to winch.HostID) []byte {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	return s.f.encode(now, s.f.reports[to].version)
}

// Apply takes in what the hub holds. The evidence counts from before the exchange.
func (s section) Apply(_, sent time.Time, hub winch.HostID, summary []byte) error {
	told, raw, err := decodeEvidence(sent, summary)
	if err != nil {
		return err
	}
	s.f.mu.Lock()
	s.f.hubVersion = told.version
	s.f.mu.Unlock()
	return s.f.takeEvidence(told, raw, string(hub))
}

// Digest returns nothing: each data centre's hosts read the source.
func (s section) Digest(time.Time, winch.DataCentreID) []byte { return nil }

// ApplyDigest takes nothing in.
func (s section) ApplyDigest(time.Time, time.Time, winch.DataCentreID, []byte) error { return nil }

// encode tells what the host holds to one that has the known version.
func (f *Follower) encode(now time.Time, known winch.Version) []byte {
	if f.state.version == 0 {
		return nil
	}
	wire := evidenceWire{Version: int64(f.state.version), AgeMS: max(0, now.Sub(f.state.confirmedAt).Milliseconds()+1)}
	if known < f.state.version {
		wire.Configuration = f.state.raw
	}
	encoded, err := json.Marshal(wire)
	if err != nil {
		// Numbers and bytes can always be encoded.
		f.options.Logger.Error("evidence not encoded", "Event", EventSourceFailed, "Error", err)
		return nil
	}
	return encoded
}

func decodeEvidence(now time.Time, encoded []byte) (evidence, []byte, error) {
	if len(encoded) == 0 {
		return evidence{}, nil, nil
	}
	wire := evidenceWire{}
	if err := json.Unmarshal(encoded, &wire); err != nil {
		return evidence{}, nil, fmt.Errorf("decode evidence: %w: %w", winch.ErrInvalid, err)
	}
	if wire.Version < 0 || wire.AgeMS < 0 {
		return evidence{}, nil, fmt.Errorf("decode evidence: Version or AgeMS is negative: %w", winch.ErrInvalid)
	}
	told := evidence{version: winch.Version(wire.Version), confirmed: now.Add(-time.Duration(wire.AgeMS) * time.Millisecond)}
	return told, wire.Configuration, nil
}

func (f *Follower) takeEvidence(told evidence, raw []byte, from string) error {
	if told.version == 0 {
		return nil
	}
	return f.take(raw, told.version, told.confirmed, from)
}
