package peer

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/release"
)

// proofWire is a proof with its age in place of its time.
type proofWire struct {
	Age      string
	Revision winch.Revision
}

// updateWire updates the receiver's configuration by records, or by a snapshot.
type updateWire struct {
	Records  []json.RawMessage `json:",omitempty"`
	Snapshot json.RawMessage   `json:",omitempty"`
}

// reportWire is sent by a host to its hub.
type reportWire struct {
	Revision    winch.Revision
	Incarnation winch.Incarnation
	// Learner is set until the host has had a proof since its start. Until then it is
	// not counted for the majority of its data centre.
	Learner bool `json:",omitempty"`
	// RosterTag is the tag of the last roster that the host received.
	RosterTag string `json:",omitempty"`
	// Hub and Token echo the last summary, which shows that the report was made after it.
	Hub   winch.Incarnation `json:",omitempty"`
	Token int64             `json:",omitempty"`
	// View is the revision for which the host asks for the progress of the data centres.
	View   winch.Revision `json:",omitempty"`
	Update *updateWire    `json:",omitempty"`
}

// summaryWire is sent by a hub to a host.
type summaryWire struct {
	Hub winch.Incarnation
	// Token is the time since the start of the hub's process, in nanoseconds.
	Token    int64
	Revision winch.Revision
	Accepted winch.Revision `json:",omitempty"`
	// Proof is the hub's last proof.
	Proof *proofWire `json:",omitempty"`
	// Agreed is set while the hub cannot read the platform: at its time, a majority of the
	// data centre's hosts knew no newer revision.
	Agreed *proofWire  `json:",omitempty"`
	Update *updateWire `json:",omitempty"`
	// Roster is sent if the tag in the host's report differs from RosterTag.
	RosterTag string         `json:",omitempty"`
	Roster    []winch.HostID `json:",omitempty"`
	View      *progressWire  `json:",omitempty"`
}

// digestWire is sent by a hub to the hub of another data centre.
type digestWire struct {
	Revision winch.Revision
	// Settled is the newest revision that a majority of the data centre's hosts hold.
	Settled  winch.Revision
	Accepted winch.Revision `json:",omitempty"`
	Hosts    int
	// Behind are some of the hosts that are not known to hold Revision.
	Behind []winch.HostID `json:",omitempty"`
	// Proof and Agreed are as in summaryWire.
	Proof  *proofWire  `json:",omitempty"`
	Agreed *proofWire  `json:",omitempty"`
	Update *updateWire `json:",omitempty"`
}

// progressWire is the progress of the data centres with a revision.
type progressWire struct {
	Revision winch.Revision
	Centres  []centreWire
}

type centreWire struct {
	DataCentre winch.DataCentreID
	Revision   winch.Revision
	InForce    bool `json:",omitempty"`
	Hosts      int
	Behind     []winch.HostID `json:",omitempty"`
	// Left is the time until the data centre can no longer accept keys by an older
	// revision, empty if unknown.
	Left string `json:",omitempty"`
	// Age is the time since its last digest, empty if there was none.
	Age string `json:",omitempty"`
}

func decode(body []byte, kind string, out any) error {
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("decode %s: %w: %w", kind, winch.ErrInvalid, err)
	}
	return nil
}

// encode returns value as JSON. Encoding does not fail for the types in this file.
func encode(value any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		return nil
	}
	return body
}

func proofToWire(now time.Time, p proof) *proofWire {
	if p.asOf.IsZero() {
		return nil
	}
	age := max(0, now.Sub(p.asOf))
	// Rounded up, so that the proof does not get younger.
	if remainder := age % time.Millisecond; remainder > 0 {
		age += time.Millisecond - remainder
	}
	return &proofWire{Age: age.String(), Revision: p.revision}
}

// proofFromWire returns a proof, or the zero proof if wire is nil or sent is zero. The
// age is counted back from sent, the start of the exchange, which is before the proof
// was encoded.
func proofFromWire(path string, wire *proofWire, sent time.Time) (proof, error) {
	if wire == nil || sent.IsZero() {
		return proof{}, nil
	}
	age, err := time.ParseDuration(wire.Age)
	if err != nil || age < 0 {
		return proof{}, fmt.Errorf("%s.Age: %q is not a duration: %w", path, wire.Age, winch.ErrInvalid)
	}
	return proof{asOf: sent.Add(-age), revision: wire.Revision}, nil
}

// decodeUpdate returns the records or the snapshot of an update. Both are nil if there is none.
func decodeUpdate(wire *updateWire) ([]winch.ReleaseRecord, *winch.Configuration, error) {
	if wire == nil {
		return nil, nil, nil
	}
	if len(wire.Snapshot) > 0 {
		configuration, err := release.DecodeConfiguration(wire.Snapshot)
		if err != nil {
			return nil, nil, fmt.Errorf("Update.Snapshot: %w", err)
		}
		return nil, configuration, nil
	}
	records := []winch.ReleaseRecord{}
	for i, raw := range wire.Records {
		record, err := release.DecodeRecord(raw)
		if err != nil {
			return nil, nil, fmt.Errorf("Update.Records[%d]: %w", i, err)
		}
		records = append(records, record)
	}
	return records, nil, nil
}

func durationText(duration time.Duration) string { return duration.Round(time.Millisecond).String() }

func progressToWire(now time.Time, progress winch.ReleaseProgress) *progressWire {
	encoded := &progressWire{Revision: progress.Revision}
	for _, centre := range progress.Centres {
		wire := centreWire{
			DataCentre: centre.DataCentre, Revision: centre.Revision, InForce: centre.InForce,
			Hosts: centre.Hosts, Behind: centre.Behind,
		}
		if !centre.Until.IsZero() {
			wire.Left = durationText(max(0, centre.Until.Sub(now)))
		}
		if !centre.Heard.IsZero() {
			wire.Age = durationText(now.Sub(centre.Heard))
		}
		encoded.Centres = append(encoded.Centres, wire)
	}
	return encoded
}

func progressFromWire(now time.Time, wire *progressWire) winch.ReleaseProgress {
	progress := winch.ReleaseProgress{Revision: wire.Revision}
	for _, c := range wire.Centres {
		centre := winch.DataCentreProgress{
			DataCentre: c.DataCentre, Revision: c.Revision, InForce: c.InForce, Hosts: c.Hosts, Behind: c.Behind,
		}
		// An empty text means that the time is not known.
		if left, err := time.ParseDuration(c.Left); err == nil {
			centre.Until = now.Add(left)
		}
		if age, err := time.ParseDuration(c.Age); err == nil {
			centre.Heard = now.Add(-age)
		}
		progress.Centres = append(progress.Centres, centre)
	}
	return progress
}

// hubMessage is the common part of a summary and a digest.
type hubMessage struct {
	records  []winch.ReleaseRecord
	snapshot *winch.Configuration
	// proof and agreement are zero if the hub sent none.
	proof     proof
	agreement proof
}

// decodeHubMessage decodes the common part of a summary or a digest.
func decodeHubMessage(update *updateWire, proven, agreed *proofWire, sent time.Time) (hubMessage, error) {
	records, snapshot, err := decodeUpdate(update)
	if err != nil {
		return hubMessage{}, err
	}
	provenProof, err := proofFromWire("Proof", proven, sent)
	if err != nil {
		return hubMessage{}, err
	}
	agreedProof, err := proofFromWire("Agreed", agreed, sent)
	if err != nil {
		return hubMessage{}, err
	}
	return hubMessage{records: records, snapshot: snapshot, proof: provenProof, agreement: agreedProof}, nil
}
