package keyvalue

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/arbutuswinch/winch"
)

// wireHead is the stored form of a head, and of a sealed entry, whose Sealed is empty.
type wireHead struct {
	Claims []wireClaim
	Sealed []wireSealed
}

type wireSealed struct {
	Name    string
	Expires time.Time
}

type wireClaim struct {
	ID   []byte
	Hash []byte
	// Owner is the token of the acquisition that wrote the claim. It starts with Options.Owner.
	Owner       string
	Expires     time.Time
	Finished    bool
	Status      int
	ContentType string
	Body        []byte
}

func encodeHead(h head) ([]byte, error) {
	wire := wireHead{Claims: make([]wireClaim, 0, len(h.records)), Sealed: []wireSealed{}}
	for _, record := range h.records {
		wire.Claims = append(wire.Claims, toWire(record))
	}
	sort.Slice(wire.Claims, func(i, j int) bool { return string(wire.Claims[i].ID) < string(wire.Claims[j].ID) })
	for _, ref := range h.sealed {
		wire.Sealed = append(wire.Sealed, wireSealed{Name: ref.key, Expires: ref.expires})
	}
	encoded, err := json.Marshal(wire)
	if err != nil {
		return nil, fmt.Errorf("encode claims: %w", err)
	}
	return encoded, nil
}

func decodeHead(value []byte) (head, error) {
	wire := wireHead{}
	if err := json.Unmarshal(value, &wire); err != nil {
		return head{}, fmt.Errorf("decode claims: %w: %w", winch.ErrInvalid, err)
	}
	decoded := head{records: make(map[claimID]claimRecord, len(wire.Claims))}
	for _, claim := range wire.Claims {
		record, err := fromWire(claim)
		if err != nil {
			return head{}, err
		}
		decoded.records[record.id] = record
	}
	for _, ref := range wire.Sealed {
		decoded.sealed = append(decoded.sealed, sealedRef{key: ref.Name, expires: ref.Expires})
	}
	return decoded, nil
}

func toWire(record claimRecord) wireClaim {
	return wireClaim{
		ID: record.id[:], Hash: record.hash[:], Owner: string(record.token), Expires: record.expires.UTC(), Finished: record.finished,
		Status: record.result.Status, ContentType: record.result.ContentType, Body: record.result.Body,
	}
}

func fromWire(claim wireClaim) (claimRecord, error) {
	record := claimRecord{token: claimToken(claim.Owner), expires: claim.Expires, finished: claim.Finished}
	if len(claim.ID) != len(record.id) || len(claim.Hash) != len(record.hash) {
		return claimRecord{}, fmt.Errorf("decode claim: %w: ID or Hash has the wrong length", winch.ErrInvalid)
	}
	copy(record.id[:], claim.ID)
	copy(record.hash[:], claim.Hash)
	if claim.Finished {
		record.result = winch.Claim{
			State: winch.ClaimFinished, Status: claim.Status, ContentType: claim.ContentType, Body: claim.Body,
		}
	}
	return record, nil
}
