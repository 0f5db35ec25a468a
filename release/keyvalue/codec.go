package keyvalue

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/release"
)

// commitWire is the value of the head and of records. It holds either the note
// or, for long notes, the keys and hashes of the entries with its parts.
type commitWire struct {
	Revision winch.Revision
	Write    winch.WriteID
	Author   winch.Incarnation
	NoteID   winch.NoteID
	NoteHash string
	Note     json.RawMessage `json:",omitempty"`
	Parts    []partWire      `json:",omitempty"`
}

// partWire names an entry with a part of a note or snapshot.
type partWire struct {
	Key  string
	Hash string
}

// indexWire is the value of the index entry of a note's id.
type indexWire struct {
	Revision winch.Revision
	Write    winch.WriteID
	NoteHash string
}

// snapshotEntryWire is the value of the entry "snapshot", which names the parts of the
// newest snapshot.
type snapshotEntryWire struct {
	Revision winch.Revision
	Parts    []partWire
}

type acceptedWire struct {
	Revision winch.Revision
}

func (w commitWire) index() indexWire {
	return indexWire{Revision: w.Revision, Write: w.Write, NoteHash: w.NoteHash}
}

// decodeCommit decodes a commit, and reads the parts of the note if it has any.
func (s *Store) decodeCommit(ctx context.Context, value []byte) (commitWire, winch.ReleaseRecord, error) {
	wire := commitWire{}
	if err := json.Unmarshal(value, &wire); err != nil {
		return wire, winch.ReleaseRecord{}, fmt.Errorf("decode commit: %w: %w", winch.ErrInvalid, err)
	}
	body := []byte(wire.Note)
	if len(wire.Parts) > 0 {
		joined, err := s.readParts(ctx, wire.Parts)
		if err != nil {
			return wire, winch.ReleaseRecord{}, err
		}
		body = joined
	}
	note, err := release.DecodeNote(body)
	if err != nil {
		return wire, winch.ReleaseRecord{}, fmt.Errorf("decode commit %d: %w", wire.Revision, err)
	}
	record := winch.ReleaseRecord{Revision: wire.Revision, Note: note, Write: wire.Write, Author: wire.Author}
	return wire, record, nil
}

func decodeIndex(entry winch.Entry) (indexWire, error) {
	wire := indexWire{}
	if err := json.Unmarshal(entry.Value, &wire); err != nil {
		return wire, fmt.Errorf("decode %s: %w: %w", entry.Key, winch.ErrInvalid, err)
	}
	return wire, nil
}

func decodeAccepted(entry winch.Entry) (winch.Revision, error) {
	wire := acceptedWire{}
	if err := json.Unmarshal(entry.Value, &wire); err != nil {
		return 0, fmt.Errorf("decode %s: %w: %w", entry.Key, winch.ErrInvalid, err)
	}
	return wire.Revision, nil
}

func encodeAccepted(revision winch.Revision) []byte {
	value, _ := json.Marshal(acceptedWire{Revision: revision})
	return value
}

// writeParts writes the body in parts that are smaller than the platform's limit
// for values. On an error it returns the parts that were written.
func (s *Store) writeParts(ctx context.Context, prefix string, body []byte) ([]partWire, error) {
	parts := []partWire{}
	for start := 0; start < len(body); start += partSize {
		chunk := body[start:min(start+partSize, len(body))]
		part := partWire{Key: fmt.Sprintf("%s%04d", prefix, len(parts)), Hash: hashOf(chunk)}
		if err := s.createEntry(ctx, part.Key, chunk); err != nil {
			return parts, err
		}
		parts = append(parts, part)
	}
	return parts, nil
}

func (s *Store) readParts(ctx context.Context, parts []partWire) ([]byte, error) {
	body := []byte{}
	for _, part := range parts {
		entry, err := s.options.KeyValue.Get(ctx, part.Key)
		if err != nil {
			return nil, fmt.Errorf("read part %s: %w", part.Key, err)
		}
		if hashOf(entry.Value) != part.Hash {
			return nil, fmt.Errorf("read part %s: the hash differs: %w", part.Key, winch.ErrInvalid)
		}
		body = append(body, entry.Value...)
	}
	return body, nil
}

// deleteParts deletes parts that are not referenced any more. It stops at the
// first error; the remaining entries are unused and harmless.
func (s *Store) deleteParts(ctx context.Context, parts []partWire) {
	for _, part := range parts {
		if err := s.options.KeyValue.Delete(ctx, part.Key, winch.VersionAny); err != nil {
			return
		}
	}
}

func hashOf(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:])
}
