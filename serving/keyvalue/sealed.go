package keyvalue

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/arbutuswinch/winch"
)

// refresh reads the head and the sealed entries that it names, as far as they are not known.
func (s *shard) refresh(ctx context.Context) error {
	if s.known {
		return nil
	}
	entry, err := s.options.Store.Get(ctx, s.key)
	switch {
	case errors.Is(err, winch.ErrNotFound):
		s.head, s.version = head{records: map[claimID]record{}}, winch.VersionAbsent
	case err != nil:
		return readError("read claims", err)
	case s.version == entry.Version:
		// Nobody else wrote since.
		s.contended = false
	default:
		decoded, err := decodeHead(entry.Value)
		if err != nil {
			return err
		}
		s.head, s.version = decoded, entry.Version
	}
	for _, ref := range s.head.sealed {
		if err := s.load(ctx, ref); err != nil {
			return err
		}
	}
	s.known = true
	return nil
}

// errReadLost: the answer to a read was lost. A read has no effect, so it is tried again.
var errReadLost = errors.New("answer to a read lost")

// readError says of a failed read that it had no effect, whatever became of it.
func readError(what string, err error) error {
	switch {
	case errors.Is(err, winch.ErrRateLimited):
		return fmt.Errorf("%s: %w", what, err)
	case errors.Is(err, winch.ErrOutcomeUnknown):
		return fmt.Errorf("%s: %w: %s", what, errReadLost, err.Error())
	}
	return fmt.Errorf("%s: %w: %s", what, winch.ErrUnavailable, err.Error())
}

// load takes a sealed entry into the index. Sealed entries never change.
func (s *shard) load(ctx context.Context, ref sealedRef) error {
	if _, found := s.loaded[ref.name]; found {
		return nil
	}
	decoded, err := s.sealedEntry(ctx, ref.name)
	if err != nil {
		return err
	}
	s.remember(ref, decoded.records)
	return nil
}

func (s *shard) remember(ref sealedRef, records map[claimID]record) {
	for id, kept := range records {
		s.index[id] = trace{entry: ref.name, hash: kept.hash, expires: kept.expires}
	}
	s.loaded[ref.name] = ref.expires
}

// sealedEntry reads a sealed entry. One that is gone has expired.
func (s *shard) sealedEntry(ctx context.Context, name string) (head, error) {
	entry, err := s.options.Store.Get(ctx, name)
	if errors.Is(err, winch.ErrNotFound) {
		return head{}, nil
	}
	if err != nil {
		return head{}, readError("read sealed claims", err)
	}
	return decodeHead(entry.Value)
}

// sealedAnswer fetches the answer of a claim that was sealed.
func (s *shard) sealedAnswer(ctx context.Context, o *operation) (winch.Claim, error) {
	decoded, err := s.sealedEntry(ctx, o.sealed)
	if err != nil {
		return winch.Claim{}, err
	}
	if kept, found := decoded.records[o.id]; found {
		return kept.answer, nil
	}
	return winch.Claim{State: winch.ClaimFinished}, nil
}

// sealHead moves the finished claims of the head into a sealed entry. The entry is
// written first, so that no claim is missing in between; when the head has changed
// meanwhile, the entry is of no use and is deleted.
func (s *shard) sealHead(ctx context.Context) {
	rest, taken, expires := s.head.seal()
	if len(taken) == 0 {
		return
	}
	s.seals++
	ref := sealedRef{name: s.key + "/" + string(s.options.Owner) + "-" + strconv.Itoa(s.seals), expires: expires}
	records := make(map[claimID]record, len(taken))
	for _, kept := range taken {
		records[kept.id] = kept
	}
	if err := s.putSealed(ctx, ref, records, rest); err != nil {
		s.options.Logger.Warn("claims not sealed", "Event", EventSealFailed, "Key", s.key, "Error", err)
	}
}

func (s *shard) putSealed(ctx context.Context, ref sealedRef, records map[claimID]record, rest head) error {
	value, err := encodeHead(head{records: records})
	if err != nil {
		return err
	}
	if _, err := s.options.Store.Put(ctx, ref.name, value, winch.VersionAbsent); err != nil {
		return fmt.Errorf("write sealed claims: %w", err)
	}
	rest.sealed = append(append([]sealedRef{}, rest.sealed...), ref)
	if value, err = encodeHead(rest); err != nil {
		return err
	}
	version, err := s.options.Store.Put(ctx, s.key, value, s.version)
	if errors.Is(err, winch.ErrConflict) {
		s.known = false
		return s.discard(ctx, ref)
	}
	if err != nil {
		s.known = false
		return fmt.Errorf("write head of sealed claims: %w", err)
	}
	s.head, s.version = rest, version
	s.remember(ref, records)
	return nil
}

// discard deletes a sealed entry that the head does not name.
func (s *shard) discard(ctx context.Context, ref sealedRef) error {
	if err := s.refresh(ctx); err != nil {
		return err
	}
	for _, named := range s.head.sealed {
		if named.name == ref.name {
			return nil
		}
	}
	return s.remove(ctx, ref.name)
}

// clean deletes the sealed entries that the head no longer names, and forgets the expired.
func (s *shard) clean(ctx context.Context, now time.Time, before []sealedRef) {
	for _, ref := range before {
		if ref.expires.After(now) {
			continue
		}
		if err := s.remove(ctx, ref.name); err != nil {
			s.options.Logger.Warn("sealed claims not deleted", "Event", EventSealFailed, "Key", ref.name, "Error", err)
		}
	}
	gone := false
	for name, expires := range s.loaded {
		if !expires.After(now) {
			delete(s.loaded, name)
			gone = true
		}
	}
	if !gone {
		return
	}
	for id, old := range s.index {
		if !old.expires.After(now) {
			delete(s.index, id)
		}
	}
}

func (s *shard) remove(ctx context.Context, name string) error {
	err := s.options.Store.Delete(ctx, name, winch.VersionAny)
	if err != nil && !errors.Is(err, winch.ErrNotFound) {
		return fmt.Errorf("delete sealed claims: %w", err)
	}
	return nil
}
