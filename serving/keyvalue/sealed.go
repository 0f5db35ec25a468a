package keyvalue

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/arbutuswinch/winch"
)

// refresh reads the head, unless it is cached, and the sealed entries that it references and
// that are not yet in the index.
func (s *shard) refresh(ctx context.Context) error {
	if s.cached {
		return nil
	}
	entry, err := s.options.Store.Get(ctx, s.key)
	switch {
	case errors.Is(err, winch.ErrNotFound):
		s.head, s.version = head{records: map[claimID]claimRecord{}}, winch.VersionAbsent
	case err != nil:
		return readError("read claims", err)
	case s.version == entry.Version:
		// No other host has written the head since.
		s.contended = false
	default:
		decoded, err := decodeHead(entry.Value)
		if err != nil {
			return err
		}
		s.head, s.version = decoded, entry.Version
	}
	for _, ref := range s.head.sealed {
		if err := s.loadSealed(ctx, ref); err != nil {
			return err
		}
	}
	s.cached = true
	return nil
}

// errReadResponseLost says that the response to a read was lost. A read has no effect, so it
// is retried.
var errReadResponseLost = errors.New("response to a read lost")

// readError converts the error of a read. Since a read has no effect, the result never
// matches ErrOutcomeUnknown.
func readError(operation string, err error) error {
	switch {
	case errors.Is(err, winch.ErrRateLimited):
		return fmt.Errorf("%s: %w", operation, err)
	case errors.Is(err, winch.ErrOutcomeUnknown):
		return fmt.Errorf("%s: %w: %s", operation, errReadResponseLost, err.Error())
	}
	return fmt.Errorf("%s: %w: %s", operation, winch.ErrUnavailable, err.Error())
}

// loadSealed reads a sealed entry into the index, once: sealed entries never change.
func (s *shard) loadSealed(ctx context.Context, ref sealedRef) error {
	if _, found := s.loadedSealed[ref.key]; found {
		return nil
	}
	decoded, err := s.sealedEntry(ctx, ref.key)
	if err != nil {
		return err
	}
	s.indexSealed(ref, decoded.records)
	return nil
}

func (s *shard) indexSealed(ref sealedRef, records map[claimID]claimRecord) {
	for id, record := range records {
		s.sealedIndex[id] = sealedClaim{entryKey: ref.key, hash: record.hash, expires: record.expires}
	}
	s.loadedSealed[ref.key] = ref.expires
}

// sealedEntry reads a sealed entry. An entry that does not exist has expired and is returned
// as empty.
func (s *shard) sealedEntry(ctx context.Context, key string) (head, error) {
	entry, err := s.options.Store.Get(ctx, key)
	if errors.Is(err, winch.ErrNotFound) {
		return head{}, nil
	}
	if err != nil {
		return head{}, readError("read sealed claims", err)
	}
	return decodeHead(entry.Value)
}

// sealedResult reads the stored response of a sealed claim.
func (s *shard) sealedResult(ctx context.Context, o *operation) (winch.Claim, error) {
	decoded, err := s.sealedEntry(ctx, o.sealedKey)
	if err != nil {
		return winch.Claim{}, err
	}
	if record, found := decoded.records[o.id]; found {
		return record.result, nil
	}
	// The entry has expired since: the call ran, and its response is no longer stored.
	return winch.Claim{State: winch.ClaimFinished}, nil
}

// sealHead moves the finished claims of the head into a sealed entry. The entry is written
// first, so that no claim is missing in between. If another host has changed the head
// meanwhile, the entry is deleted again. After any other error of the write of the head it
// is not deleted and may remain without a reference.
func (s *shard) sealHead(ctx context.Context) {
	remaining, finished, expires := s.head.seal()
	if len(finished) == 0 {
		return
	}
	s.sealCount++
	ref := sealedRef{key: s.key + "/" + string(s.options.Owner) + "-" + strconv.Itoa(s.sealCount), expires: expires}
	records := make(map[claimID]claimRecord, len(finished))
	for _, record := range finished {
		records[record.id] = record
	}
	if err := s.writeSealedAndHead(ctx, ref, records, remaining); err != nil {
		s.options.Logger.Warn("could not seal finished claims", "Event", EventSealFailed, "Key", s.key, "Error", err)
	}
}

// writeSealedAndHead writes the sealed entry and then the head that references it.
func (s *shard) writeSealedAndHead(ctx context.Context, ref sealedRef, records map[claimID]claimRecord, remaining head) error {
	value, err := encodeHead(head{records: records})
	if err != nil {
		return err
	}
	if _, err := s.options.Store.Put(ctx, ref.key, value, winch.VersionAbsent); err != nil {
		return fmt.Errorf("write sealed claims: %w", err)
	}
	remaining.sealed = append(append([]sealedRef{}, remaining.sealed...), ref)
	if value, err = encodeHead(remaining); err != nil {
		return err
	}
	version, err := s.options.Store.Put(ctx, s.key, value, s.version)
	if errors.Is(err, winch.ErrConflict) {
		s.cached = false
		return s.deleteIfUnreferenced(ctx, ref)
	}
	if err != nil {
		s.cached = false
		return fmt.Errorf("write head after sealing: %w", err)
	}
	s.head, s.version = remaining, version
	s.indexSealed(ref, records)
	return nil
}

// deleteIfUnreferenced reads the head again and deletes the sealed entry unless the head
// references it. Deleting an entry that is referenced would lose claims.
func (s *shard) deleteIfUnreferenced(ctx context.Context, ref sealedRef) error {
	if err := s.refresh(ctx); err != nil {
		return err
	}
	for _, referenced := range s.head.sealed {
		if referenced.key == ref.key {
			return nil
		}
	}
	return s.deleteEntry(ctx, ref.key)
}

// deleteExpired deletes the sealed entries in previous that have expired, and removes expired
// claims from the index. previous holds the references of the head before the last write.
func (s *shard) deleteExpired(ctx context.Context, now time.Time, previous []sealedRef) {
	for _, ref := range previous {
		if ref.expires.After(now) {
			continue
		}
		if err := s.deleteEntry(ctx, ref.key); err != nil {
			s.options.Logger.Warn("could not delete expired sealed claims", "Event", EventSealFailed, "Key", ref.key, "Error", err)
		}
	}
	expired := false
	for key, expires := range s.loadedSealed {
		if !expires.After(now) {
			delete(s.loadedSealed, key)
			expired = true
		}
	}
	if !expired {
		return
	}
	for id, claim := range s.sealedIndex {
		if !claim.expires.After(now) {
			delete(s.sealedIndex, id)
		}
	}
}

func (s *shard) deleteEntry(ctx context.Context, key string) error {
	err := s.options.Store.Delete(ctx, key, winch.VersionAny)
	if err != nil && !errors.Is(err, winch.ErrNotFound) {
		return fmt.Errorf("delete sealed claims: %w", err)
	}
	return nil
}
