package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutuswinch/winch"
)

const sectionName winch.SectionName = "Registered"

// listWire is the hash and the age of the sender's list, and the list itself when the
// receiver does not have it.
type listWire struct {
	Hash  uint64
	AgeMS int64
	// ColdMark is the part of Hash that stands for the cold ends, zero while no endpoint is cold.
	ColdMark  uint64         `json:",omitempty"`
	Endpoints []endpointWire `json:",omitempty"`
	// EvacuationsAgeMS is the age of the evacuations, zero if the sender does not know of any reading of them. Version is the
	// store's version at that time. Evacuated is left out like Endpoints.
	EvacuationsAgeMS int64    `json:",omitempty"`
	Version          int64    `json:",omitempty"`
	Evacuated        []string `json:",omitempty"`
}

type endpointWire struct {
	ID         string
	DataCentre string
	Kind       string
	Address    string
	Models     []string
	Supply     string
	SlotLimit  int
	// Software is empty when the version is not known, and in messages of hosts that do not know of versions yet.
	Software string `json:",omitempty"`
	State    string
	// LeavesMS is the time in milliseconds until the endpoint leaves, or zero when that is not known.
	LeavesMS int64 `json:",omitempty"`
	// Started is when the endpoint started in Unix milliseconds, or zero when it does not report that.
	Started int64 `json:",omitempty"`
	// Sequence is the number of the endpoint's statement since its start, or zero when it is not known.
	Sequence int64 `json:",omitempty"`
	// ColdStated is set if the endpoint says whether it is cold, and ColdMS is the time in milliseconds until it will not be
	// any more, or zero.
	ColdStated bool  `json:",omitempty"`
	ColdMS     int64 `json:",omitempty"`
}

// section is the follower's part of the exchange between hosts, in which the hub sends
// its list to the other hosts.
type section struct {
	winch.NoDigest
	f *Follower
}

// Section returns the follower's part of the exchange between hosts.
func (f *Follower) Section() winch.Section { return section{f: f} }

// Name returns the section's name.
func (s section) Name() winch.SectionName { return sectionName }

// Report returns the hash and the age of this host's list, for the hub. The list itself is
// left out, since the receiver's hash is given as the list's own.
func (s section) Report(now time.Time) []byte {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	return s.f.encodeList(now, s.f.hash)
}

// Collect records the hash of the list that a host has.
func (s section) Collect(_ time.Time, from winch.HostID, report []byte) error {
	if len(report) == 0 {
		return nil
	}
	wire := listWire{}
	if err := json.Unmarshal(report, &wire); err != nil {
		return fmt.Errorf("decode list of %s: %w: %w", from, winch.ErrInvalid, err)
	}
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	s.f.hostHashes[from] = wire.Hash
	return nil
}

// Summary returns the hash and the age of the list, and the list itself when the host has a different one.
func (s section) Summary(now time.Time, to winch.HostID) []byte {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	return s.f.encodeList(now, s.f.hostHashes[to])
}

// Apply uses the hub's list if it was read after this host's list. The hub computed the age
// some time after the exchange began. The age is counted from the beginning, so the list is
// never taken for newer than it is.
func (s section) Apply(now, sent time.Time, hub winch.HostID, summary []byte) error {
	if len(summary) == 0 {
		return nil
	}
	wire := listWire{}
	if err := json.Unmarshal(summary, &wire); err != nil {
		return fmt.Errorf("decode list of %s: %w: %w", hub, winch.ErrInvalid, err)
	}
	if wire.Hash == 0 {
		return nil
	}
	if err := wire.check(); err != nil {
		return fmt.Errorf("check list of %s: %w: %w", hub, winch.ErrInvalid, err)
	}
	r := reading{at: sent.Add(-time.Duration(wire.AgeMS) * time.Millisecond), received: now, from: hub}
	if s.f.evacuationLister() != nil {
		r.evacuations = wire.evacuations(sent)
	}
	if s.f.confirm(r, wire.Hash) {
		return nil
	}
	r.coldMark = wire.ColdMark
	statuses, centres, complete := s.f.completeList(now, sent, wire)
	if !complete || s.f.lacksEvacuations(r.evacuations) {
		return nil
	}
	r.evacuations.DataCentres = centres
	s.f.received(r)
	s.f.update(r, statuses)
	return nil
}

// received records that the hub relayed the reading.
func (f *Follower) received(r reading) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reader.Received(r.from, f.replacesRead(r.at, r.evacuations))
}

func (w *listWire) check() error {
	if len(w.Evacuated) > maxEvacuated {
		return fmt.Errorf("%d evacuated data centres, more than %d", len(w.Evacuated), maxEvacuated)
	}
	for _, centre := range w.Evacuated {
		if centre == "" || len(centre) > maxCentreLength {
			return fmt.Errorf("evacuated data centre without a name, or with one of more than %d bytes", maxCentreLength)
		}
	}
	if w.AgeMS < 0 || w.AgeMS > maxAgeMS || w.EvacuationsAgeMS > maxAgeMS {
		return fmt.Errorf("age of more than %d ms, or negative", maxAgeMS)
	}
	if w.EvacuationsAgeMS < 0 || len(w.Evacuated) > 0 && w.EvacuationsAgeMS == 0 {
		return errors.New("evacuated data centres without a time")
	}
	return nil
}

// evacuations returns the time and the version of the message's evacuations.
func (w *listWire) evacuations(sent time.Time) evacuationReading {
	if w.EvacuationsAgeMS == 0 {
		return evacuationReading{}
	}
	return evacuationReading{at: sent.Add(-time.Duration(w.EvacuationsAgeMS) * time.Millisecond), Evacuations: winch.Evacuations{Version: winch.Version(w.Version)}}
}

// completeList returns the list of a message and the evacuated data centres. The message contains them only if its receiver had reported
// another hash. It returns false if the message does not contain them and this host's have changed since they were reported.
func (f *Follower) completeList(now, sent time.Time, wire listWire) ([]winch.EndpointStatus, []winch.DataCentreID, bool) {
	f.mu.Lock()
	latest, centres, hash := f.latest, f.evacuations.DataCentres, f.hash
	f.mu.Unlock()
	if wire.Hash == hash {
		return latest, centres, true
	}
	statuses, centres := decodeEndpoints(now, sent, wire.Endpoints), decodeEvacuated(wire.Evacuated)
	return statuses, centres, wire.Hash == addColdMark(hashOf(statuses, centres), wire.ColdMark)
}

func decodeEvacuated(names []string) []winch.DataCentreID {
	var centres []winch.DataCentreID
	for _, name := range names {
		centres = append(centres, winch.DataCentreID(name))
	}
	slices.Sort(centres)
	return centres
}

// updateHash computes the hash anew after a change of the list or the evacuations. It is called with the lock.
func (f *Follower) updateHash() {
	f.hash = addColdMark(hashOf(f.latest, f.evacuations.DataCentres), f.coldMark)
}

// confirm processes a relayed list by its hash and age alone. It reports false if that is not enough: the list or its evacuations are
// newer than this host's and differ from them, or an outage may have made the list in use differ from the one that was read.
func (f *Follower) confirm(r reading, hash uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	newer, evacuations := r.at.After(f.readAt), r.evacuations.supersedes(f.evacuations)
	if newer {
		f.followEra(r.at)
	}
	if (newer || evacuations) && (hash != f.hash || f.recovering(r.at)) {
		return false
	}
	f.reader.Received(r.from, f.replacesRead(r.at, r.evacuations))
	if newer {
		f.readAt, f.readFailed = r.at, false
	}
	if evacuations {
		r.evacuations.DataCentres = f.evacuations.DataCentres
		f.evacuations = r.evacuations.after(f.evacuations)
	}
	return true
}

// encodeList encodes the list for a receiver whose list has the given hash: the list
// itself is left out when the receiver has it already.
func (f *Follower) encodeList(now time.Time, receiverHash uint64) []byte {
	if f.latest == nil {
		return nil
	}
	// The age is rounded up, so that the list is never taken for newer than it is.
	wire := listWire{Hash: f.hash, AgeMS: max(0, now.Sub(f.readAt).Milliseconds()+1), ColdMark: f.coldMark}
	if f.evacuations.known() {
		wire.EvacuationsAgeMS, wire.Version = max(1, now.Sub(f.evacuations.at).Milliseconds()+1), int64(f.evacuations.Version)
	}
	if receiverHash != f.hash {
		wire.Endpoints = encodeEndpoints(now, f.latest)
		for _, centre := range f.evacuations.DataCentres {
			wire.Evacuated = append(wire.Evacuated, string(centre))
		}
	}
	encoded, err := json.Marshal(wire)
	if err != nil {
		// Structs of numbers and strings can always be encoded.
		f.options.Logger.Error("endpoint list could not be encoded", "Event", EventListFailed, "Error", err)
		return nil
	}
	return encoded
}

func encodeEndpoints(now time.Time, statuses []winch.EndpointStatus) []endpointWire {
	wire := make([]endpointWire, 0, len(statuses))
	for _, status := range statuses {
		e := endpointWire{
			ID: string(status.Endpoint.ID), DataCentre: string(status.Endpoint.DataCentre), Kind: string(status.Endpoint.Kind),
			Address: status.Endpoint.Address, Supply: string(status.Endpoint.Supply), SlotLimit: status.Endpoint.SlotLimit, State: string(status.State),
			Software: string(status.Endpoint.Software),
		}
		for _, model := range status.Endpoint.Models {
			e.Models = append(e.Models, string(model))
		}
		if !status.LeavesAt.IsZero() {
			e.LeavesMS = max(1, status.LeavesAt.Sub(now).Milliseconds())
		}
		if !status.StartedAt.IsZero() {
			e.Started = status.StartedAt.UnixMilli()
		}
		e.Sequence = int64(status.Sequence)
		e.ColdStated, e.ColdMS = status.ColdStated, encodeCold(now, status)
		wire = append(wire, e)
	}
	return wire
}

// decodeEndpoints decodes a list that was received now in an exchange that began at from. LeavesMS counts from its beginning and
// ColdMS from its end, so that neither an early leave nor a late cold end is missed.
func decodeEndpoints(now, from time.Time, wire []endpointWire) []winch.EndpointStatus {
	statuses := make([]winch.EndpointStatus, 0, len(wire))
	for _, e := range wire {
		status := winch.EndpointStatus{State: winch.EndpointState(e.State), Endpoint: winch.Endpoint{
			ID: winch.EndpointID(e.ID), DataCentre: winch.DataCentreID(e.DataCentre), Kind: winch.EndpointKind(e.Kind),
			Address: e.Address, Supply: winch.Supply(e.Supply), SlotLimit: e.SlotLimit, Software: winch.SoftwareVersion(e.Software),
		}}
		for _, model := range e.Models {
			status.Endpoint.Models = append(status.Endpoint.Models, winch.ModelID(model))
		}
		if e.LeavesMS > 0 {
			status.LeavesAt = from.Add(time.Duration(e.LeavesMS) * time.Millisecond)
		}
		if e.Started > 0 {
			status.StartedAt = time.UnixMilli(e.Started)
		}
		status.Sequence = winch.EndpointSequence(e.Sequence)
		status.ColdStated = e.ColdStated
		if e.ColdStated && e.ColdMS > 0 {
			status.ColdUntil = now.Add(time.Duration(min(e.ColdMS, maxColdMS)) * time.Millisecond)
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// hashOf returns the hash of the list and of the evacuated data centres, which is the same on every host. It is never zero, since
// zero stands for no list.
func hashOf(statuses []winch.EndpointStatus, evacuated []winch.DataCentreID) uint64 {
	digest := xxhash.New()
	for _, s := range statuses {
		// Writing to a digest cannot fail. The leave time is left out, since hosts compute
		// slightly different ones.
		_, _ = fmt.Fprintf(digest, "%q%q%q%q%q%d%q%q%v%d\n", s.Endpoint.ID, s.Endpoint.DataCentre, s.Endpoint.Kind, s.Endpoint.Address,
			s.Endpoint.Models, s.Endpoint.SlotLimit, s.Endpoint.Supply, s.Endpoint.Software, s.State, s.StartedAt.UnixMilli())
	}
	for _, centre := range evacuated {
		_, _ = fmt.Fprintf(digest, "evacuated%q\n", centre)
	}
	return max(digest.Sum64(), 1)
}
