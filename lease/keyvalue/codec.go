package keyvalue

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/arbutuswinch/winch"
)

// record is the value that the key-value service stores for a duty.
type record struct {
	holder      winch.HostID
	incarnation winch.Incarnation
	writeID     winch.WriteID
	// number is the term's fencing number. It is zero in the write that starts a term, whose version decides it (see numberAt).
	number winch.FencingNumber
	// above is the highest number that the holder knew of.
	above winch.FencingNumber
	// former is the host that held the lease last before holder, empty if none is known.
	former   winch.HostID
	ttl      time.Duration
	inFlight time.Duration
	released bool
}

// numberAt returns the fencing number of the term, if the record has the version.
func (r record) numberAt(version winch.Version) winch.FencingNumber {
	if r.number != 0 {
		return r.number
	}
	return numberAbove(version, r.above)
}

// numberAbove returns the number of a term that was started with the version: the version itself, unless higher numbers are known because the
// key-value service has returned to an older state.
func numberAbove(version winch.Version, above winch.FencingNumber) winch.FencingNumber {
	return max(winch.FencingNumber(version), above+1)
}

type wireRecord struct {
	Holder      string
	Incarnation string
	WriteID     string
	Number      int64
	TTL         string
	InFlight    string
	Released    bool
	Former      string `json:",omitempty"`
	Above       int64  `json:",omitempty"`
}

func encodeRecord(r record) ([]byte, error) {
	encoded, err := json.Marshal(wireRecord{
		Holder:      string(r.holder),
		Incarnation: string(r.incarnation),
		WriteID:     string(r.writeID),
		Number:      int64(r.number),
		TTL:         r.ttl.String(),
		InFlight:    r.inFlight.String(),
		Released:    r.released,
		Former:      string(r.former),
		Above:       int64(r.above),
	})
	if err != nil {
		return nil, fmt.Errorf("encode lease record: %w", err)
	}
	return encoded, nil
}

func decodeRecord(value []byte) (record, error) {
	wire := wireRecord{}
	if err := json.Unmarshal(value, &wire); err != nil {
		return record{}, fmt.Errorf("decode lease record: %w: %w", winch.ErrInvalid, err)
	}
	ttl, err := time.ParseDuration(wire.TTL)
	if err != nil {
		return record{}, fmt.Errorf("decode lease record: TTL: %w: %w", winch.ErrInvalid, err)
	}
	inFlight, err := time.ParseDuration(wire.InFlight)
	if err != nil {
		return record{}, fmt.Errorf("decode lease record: InFlight: %w: %w", winch.ErrInvalid, err)
	}
	return record{
		holder:      winch.HostID(wire.Holder),
		incarnation: winch.Incarnation(wire.Incarnation),
		writeID:     winch.WriteID(wire.WriteID),
		number:      winch.FencingNumber(wire.Number),
		ttl:         ttl,
		inFlight:    inFlight,
		released:    wire.Released,
		former:      winch.HostID(wire.Former),
		above:       winch.FencingNumber(wire.Above),
	}, nil
}
