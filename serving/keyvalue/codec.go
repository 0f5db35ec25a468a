package keyvalue

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/arbutuswinch/winch"
)

type wireHead struct {
	Claims []wireClaim
	Sealed []wireSealed
}

type wireSealed struct {
	Name    string
	Expires time.Time
}

type wireClaim struct {
	ID          []byte
	Hash        []byte
	Owner       string
	Expires     time.Time
	Finished    bool
	Status      int
	ContentType string
	Body        []byte
}

func encodeHead(h head) ([]byte, error) {
	wire := wireHead{Claims: make([]wireClaim, 0, len(h.records)), Sealed: []wireSealed{}}
	for _, kept := range h.records {
		wire.Claims = append(wire.Claims, toWire(kept))
	}
	sort.Slice(wire.Claims, func(i, j int) bool { return string(wire.Claims[i].ID) < string(wire.Claims[j].ID) })
	for _, ref := range h.sealed {
		wire.Sealed = append(wire.Sealed, wireSealed{Name: ref.name, Expires: ref.expires})
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
	decoded := head{records: make(map[claimID]record, len(wire.Claims))}
	for _, claim := range wire.Claims {
		kept, err := fromWire(claim)
		if err != nil {
			return head{}, err
		}
		decoded.records[kept.id] = kept
	}
	for _, ref := range wire.Sealed {
		decoded.sealed = append(decoded.sealed, sealedRef{name: ref.Name, expires: ref.Expires})
	}
	return decoded, nil
}

func toWire(kept record) wireClaim {
	return wireClaim{
		ID: kept.id[:], Hash: kept.hash[:], Owner: string(kept.owner), Expires: kept.expires.UTC(), Finished: kept.finished,
		Status: kept.answer.Status, ContentType: kept.answer.ContentType, Body: kept.answer.Body,
	}
}

func fromWire(claim wireClaim) (record, error) {
	kept := record{owner: token(claim.Owner), expires: claim.Expires, finished: claim.Finished}
	if len(claim.ID) != len(kept.id) || len(claim.Hash) != len(kept.hash) {
		return record{}, fmt.Errorf("decode claim: %w: ID or Hash has the wrong length", winch.ErrInvalid)
	}
	copy(kept.id[:], claim.ID)
	copy(kept.hash[:], claim.Hash)
	if claim.Finished {
		kept.answer = winch.Claim{
			State: winch.ClaimFinished, Status: claim.Status, ContentType: claim.ContentType, Body: claim.Body,
		}
	}
	return kept, nil
}
