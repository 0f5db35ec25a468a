package operator

import (
	"encoding/hex"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/release"
)

// statusWire is the status of a note, or of the current revision if Note is empty.
type statusWire struct {
	Note winch.NoteID `json:",omitempty"`
	// Revision is the revision that the note was committed as, or the current one.
	Revision winch.Revision
	// Committed is always true: a note that is not committed has no status.
	Committed bool
	// Repeated is set if the note was committed by an earlier call.
	Repeated bool `json:",omitempty"`
	Accepted bool
	Centres  []centreWire
}

// centreWire is the part of a status about one data centre.
type centreWire struct {
	DataCentre winch.DataCentreID
	// Revision is the newest revision that the data centre's hub is known to hold.
	Revision winch.Revision
	// InForce is set if a majority of the data centre's hosts hold the status's revision.
	InForce bool
	// Hosts is the number of hosts that may be running.
	Hosts int
	// Behind are some of the hosts that are not known to hold the revision of their hub.
	Behind []winch.HostID
	// Until is the end of the time in which hosts of the data centre may still accept keys
	// by an older revision. It is absent if that is not known.
	Until *time.Time `json:",omitempty"`
	// Heard is when the data centre's last digest arrived, or for the own data centre, when
	// its hub answered.
	Heard *time.Time `json:",omitempty"`
}

type checkWire struct {
	Note     winch.NoteID
	Revision winch.Revision
	Items    []string
}

type conflictWire struct {
	Code     string
	Message  string
	Revision winch.Revision
	Items    []string
}

type keyWire struct {
	ID           winch.KeyID
	Organisation winch.OrganisationID
}

type keysWire struct {
	Revision winch.Revision
	Keys     []keyWire
}

type addKeyWire struct {
	Note         winch.NoteID
	ID           winch.KeyID
	Organisation winch.OrganisationID
	Hash         string
}

func statusToWire(note winch.NoteID, progress winch.ReleaseProgress) statusWire {
	status := statusWire{Note: note, Revision: progress.Revision, Committed: true, Accepted: progress.Accepted, Centres: []centreWire{}}
	for _, centre := range progress.Centres {
		status.Centres = append(status.Centres, centreWire{
			DataCentre: centre.DataCentre, Revision: centre.Revision, InForce: centre.InForce,
			Hosts: centre.Hosts, Behind: centre.Behind,
			Until: optionalTime(centre.Until), Heard: optionalTime(centre.Heard),
		})
	}
	return status
}

// optionalTime returns nil for the zero time.
func optionalTime(at time.Time) *time.Time {
	if at.IsZero() {
		return nil
	}
	return &at
}

// keyFromWire returns the key to add. Its other fields are validated with the note.
func keyFromWire(wire addKeyWire) (winch.Key, error) {
	key := winch.Key{ID: wire.ID, Organisation: wire.Organisation}
	decoded, err := hex.DecodeString(wire.Hash)
	if err != nil || len(decoded) != len(key.Hash) {
		return key, release.FieldError("Hash", "must be %d hexadecimal digits", 2*len(key.Hash))
	}
	copy(key.Hash[:], decoded)
	return key, nil
}
