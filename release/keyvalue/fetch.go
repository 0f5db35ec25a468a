package keyvalue

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/release"
)

// maxSingleReads is the maximum number of records that are read one by one. If more
// are needed, their buckets are listed.
const maxSingleReads = 4

// Fetch returns the configuration at the head, and the records that lead to it from
// current. It returns no records if the configuration was read from a snapshot.
func (s *Store) Fetch(ctx context.Context, current *winch.Configuration, head winch.ReleaseHead) (*winch.Configuration, []winch.ReleaseRecord, error) {
	if current == nil {
		current = release.Empty()
	}
	if head.Revision <= current.Revision {
		return current, nil, nil
	}
	// If the difference is larger, a snapshot is read instead, to limit the number of
	// records. It is also read if a record has been deleted.
	if head.Revision-current.Revision <= 2*bucketSize {
		configuration, records, err := s.applyRecords(ctx, current, head)
		if err == nil || !errors.Is(err, winch.ErrNotFound) {
			return configuration, records, err
		}
	}
	base, err := s.readSnapshot(ctx)
	if err != nil {
		return nil, nil, err
	}
	configuration, _, err := s.applyRecords(ctx, base, head)
	return configuration, nil, err
}

// applyRecords reads the records after base up to the head, and applies them to base.
func (s *Store) applyRecords(ctx context.Context, base *winch.Configuration, head winch.ReleaseHead) (*winch.Configuration, []winch.ReleaseRecord, error) {
	records, err := s.readRecords(ctx, base.Revision+1, head.Revision-1)
	if err != nil {
		return nil, nil, err
	}
	if base.Revision < head.Revision {
		records = append(records, *head.Record)
	}
	for _, record := range records {
		base = release.ApplyRecord(base, record)
	}
	return base, records, nil
}

// readRecords reads the commits from first to last. The newest commit is read from
// the head if it has no record yet.
func (s *Store) readRecords(ctx context.Context, first, last winch.Revision) ([]winch.ReleaseRecord, error) {
	records := make([]winch.ReleaseRecord, 0, max(0, last-first+1))
	cache := map[string][]byte{}
	for revision := first; revision <= last; revision++ {
		value, err := s.readRecordValue(ctx, revision, last-first >= maxSingleReads, cache)
		if err != nil {
			return nil, err
		}
		_, record, err := s.decodeCommit(ctx, value)
		if err != nil {
			return nil, err
		}
		if record.Revision != revision {
			return nil, fmt.Errorf("read record %d: it is of revision %d: %w", revision, record.Revision, winch.ErrInvalid)
		}
		records = append(records, record)
	}
	return records, nil
}

// readRecordValue returns the value of one record, of the newest commit from the head.
// With listBucket it reads the whole bucket of the record into the cache, while the
// cache is empty and at the start of each bucket.
func (s *Store) readRecordValue(ctx context.Context, revision winch.Revision, listBucket bool, cache map[string][]byte) ([]byte, error) {
	key := s.recordKey(revision)
	if value, found := cache[key]; found {
		return value, nil
	}
	if listBucket && len(cache) == 0 || listBucket && revision%bucketSize == 0 {
		entries, _, err := s.options.KeyValue.List(ctx, s.bucketKey(revision))
		if err != nil {
			return nil, fmt.Errorf("read records: %w", err)
		}
		for _, entry := range entries {
			cache[entry.Key] = entry.Value
		}
		if value, found := cache[key]; found {
			return value, nil
		}
	}
	entry, err := s.options.KeyValue.Get(ctx, key)
	if err == nil {
		return entry.Value, nil
	}
	if !errors.Is(err, winch.ErrNotFound) {
		return nil, fmt.Errorf("read record %d: %w", revision, err)
	}
	return s.readHeadValue(ctx, revision)
}

func (s *Store) readHeadValue(ctx context.Context, revision winch.Revision) ([]byte, error) {
	stored, err := s.readHead(ctx)
	if err != nil {
		return nil, err
	}
	if stored.head.Revision != revision || revision == 0 {
		return nil, fmt.Errorf("read record %d: %w", revision, winch.ErrNotFound)
	}
	return stored.entry.Value, nil
}

// readSnapshot reads the newest snapshot, or returns the empty configuration if there
// is none. The parts of a snapshot are deleted once a newer one is written, so it
// starts again if a part is missing.
func (s *Store) readSnapshot(ctx context.Context) (*winch.Configuration, error) {
	var lastErr error
	for range maxAttempts {
		entry, _, err := s.readSnapshotEntry(ctx)
		if err != nil {
			return nil, err
		}
		if entry.Revision == 0 {
			return release.Empty(), nil
		}
		body, err := s.readParts(ctx, entry.Parts)
		if err == nil {
			return decodeSnapshot(body, entry.Revision)
		}
		if lastErr = err; !errors.Is(err, winch.ErrNotFound) {
			break
		}
	}
	return nil, fmt.Errorf("read snapshot: %w", lastErr)
}

func decodeSnapshot(body []byte, revision winch.Revision) (*winch.Configuration, error) {
	configuration, err := release.DecodeConfiguration(body)
	if err != nil {
		return nil, fmt.Errorf("decode snapshot %d: %w", revision, err)
	}
	if configuration.Revision != revision {
		return nil, fmt.Errorf("decode snapshot %d: it is of revision %d: %w", revision, configuration.Revision, winch.ErrInvalid)
	}
	return configuration, nil
}

// readSnapshotEntry reads the entry that names the newest snapshot, and records the
// snapshot's revision.
func (s *Store) readSnapshotEntry(ctx context.Context) (snapshotEntryWire, winch.Version, error) {
	wire := snapshotEntryWire{}
	entry, err := s.options.KeyValue.Get(ctx, s.options.Prefix+"snapshot")
	if errors.Is(err, winch.ErrNotFound) {
		return wire, winch.VersionAbsent, nil
	}
	if err != nil {
		return wire, 0, fmt.Errorf("read snapshot: %w", err)
	}
	if err := json.Unmarshal(entry.Value, &wire); err != nil {
		return wire, 0, fmt.Errorf("decode snapshot: %w: %w", winch.ErrInvalid, err)
	}
	s.advanceSnapshotRevision(wire.Revision)
	return wire, entry.Version, nil
}

// advanceSnapshotRevision raises snapshotRevision to the revision; it never lowers it.
func (s *Store) advanceSnapshotRevision(revision winch.Revision) {
	for {
		known := s.snapshotRevision.Load()
		if int64(revision) <= known || s.snapshotRevision.CompareAndSwap(known, int64(revision)) {
			return
		}
	}
}

// snapshotAndDeleteOld runs after a commit. It writes a snapshot if the last one is old, and
// deletes the one record that this commit moves past the retention. The commit holds
// even if this fails. A record whose deletion fails or is skipped is not deleted later.
func (s *Store) snapshotAndDeleteOld(ctx context.Context, configuration *winch.Configuration, result winch.ReleaseResult) {
	if result.Repeated || configuration.Revision != result.Revision {
		return
	}
	if result.Revision%snapshotCheckInterval == 0 {
		if err := s.writeSnapshot(ctx, configuration); err != nil {
			s.options.Logger.Warn("writing snapshot failed", "Event", EventSnapshotFailed, "Revision", result.Revision, "Error", err)
		}
	}
	s.deleteOldRecord(ctx, result.Revision-winch.Revision(s.options.Retention))
}

func (s *Store) writeSnapshot(ctx context.Context, configuration *winch.Configuration) error {
	old, version, err := s.readSnapshotEntry(ctx)
	// Nothing is written, and err is nil, if the last snapshot is recent enough.
	if err != nil || configuration.Revision-old.Revision < bucketSize {
		return err
	}
	body, err := release.EncodeConfiguration(configuration)
	if err != nil {
		return err
	}
	parts, err := s.writeParts(ctx, s.options.Prefix+"snapshots/"+uuid.NewString()+"/", body)
	if err != nil {
		s.deleteParts(ctx, parts)
		return err
	}
	value, err := json.Marshal(snapshotEntryWire{Revision: configuration.Revision, Parts: parts})
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	if _, err := s.options.KeyValue.Put(ctx, s.options.Prefix+"snapshot", value, version); err != nil {
		if !errors.Is(err, winch.ErrOutcomeUnknown) {
			s.deleteParts(ctx, parts)
		}
		return fmt.Errorf("write snapshot: %w", err)
	}
	s.advanceSnapshotRevision(configuration.Revision)
	s.deleteParts(ctx, old.Parts)
	s.options.Logger.Info("snapshot written", "Event", EventSnapshot, "Revision", configuration.Revision, "Bytes", len(body))
	return nil
}

// deleteOldRecord deletes a record, its index entry and its parts, if this store knows
// of a newer snapshot.
func (s *Store) deleteOldRecord(ctx context.Context, revision winch.Revision) {
	if revision <= 0 || int64(revision) >= s.snapshotRevision.Load() {
		return
	}
	entry, err := s.options.KeyValue.Get(ctx, s.recordKey(revision))
	if err != nil {
		return
	}
	wire := commitWire{}
	if err := json.Unmarshal(entry.Value, &wire); err != nil {
		return
	}
	s.deleteParts(ctx, wire.Parts)
	if err := s.options.KeyValue.Delete(ctx, s.noteKey(wire.NoteID), winch.VersionAny); err != nil {
		return
	}
	_ = s.options.KeyValue.Delete(ctx, s.recordKey(revision), winch.VersionAny)
}
