package keyvalue

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/release"
)

// attempt is one call of Commit.
type attempt struct {
	store   *Store
	note    winch.Note
	body    []byte
	hash    string
	write   winch.WriteID
	parts   []partWire
	current *winch.Configuration
	// unknown is set once a compare-and-swap of the head had no answer.
	unknown bool
}

// errLost says that another commit came between.
var errLost = errors.New("the head has changed")

// Commit appends the note to the head. A note of an id that was committed before
// is not committed again; the first result is returned.
func (s *Store) Commit(ctx context.Context, current *winch.Configuration, note winch.Note) (winch.ReleaseResult, error) {
	body, err := release.EncodeNote(note)
	if err != nil {
		return winch.ReleaseResult{}, err
	}
	if len(body) > release.MaxNoteSize {
		return winch.ReleaseResult{}, fmt.Errorf("commit note: more than %d bytes: %w", release.MaxNoteSize, winch.ErrInvalid)
	}
	a := &attempt{
		store: s, note: note, body: body, hash: hashOf(body),
		write: winch.WriteID(uuid.NewString()), current: current,
	}
	result, err := a.run(ctx)
	if err != nil {
		return winch.ReleaseResult{}, fmt.Errorf("commit note %s: %w", note.ID, a.outcome(err))
	}
	s.options.Logger.Info("note committed", "Event", EventCommitted,
		"Note", note.ID, "Revision", result.Revision, "Repeated", result.Repeated)
	s.maintain(ctx, a.current, result)
	return result, nil
}

// outcome makes an error that says "no effect" unknown when an earlier swap had no answer.
func (a *attempt) outcome(err error) error {
	if !a.unknown || errors.Is(err, winch.ErrInvalid) || errors.Is(err, winch.ErrConflict) {
		return err
	}
	return fmt.Errorf("%w: %v", winch.ErrOutcomeUnknown, err)
}

func (a *attempt) run(ctx context.Context) (winch.ReleaseResult, error) {
	var last error
	for range attempts {
		result, err := a.once(ctx)
		if err == nil {
			return result, nil
		}
		switch {
		case errors.Is(err, errLost):
		case errors.Is(err, winch.ErrOutcomeUnknown):
			a.store.options.Logger.Warn("commit without answer", "Event", EventCommitUnknown, "Note", a.note.ID, "Error", err)
		case a.unknown && !errors.Is(err, winch.ErrInvalid) && !errors.Is(err, winch.ErrConflict):
			// What became of the earlier swap must be read back.
		default:
			return winch.ReleaseResult{}, err
		}
		last = err
		if !pause(ctx, retryPause) {
			break
		}
	}
	if errors.Is(last, errLost) {
		last = &winch.ReleaseConflict{Reason: "too many commits at the same time"}
	}
	return winch.ReleaseResult{}, last
}

func pause(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// once reads the head, checks the note against it and swaps it. An own earlier
// swap that took effect is found by the note's id. A swap that is still on its
// way expects the same or an older version, so that at most one takes effect.
func (a *attempt) once(ctx context.Context) (winch.ReleaseResult, error) {
	read, err := a.store.readHead(ctx)
	if err != nil {
		return winch.ReleaseResult{}, err
	}
	if result, found, err := a.committed(ctx, read); found || err != nil {
		return result, err
	}
	configuration, _, err := a.store.Fetch(ctx, a.current, read.head)
	if err != nil {
		return winch.ReleaseResult{}, err
	}
	a.current = configuration
	if err := a.judge(ctx, configuration); err != nil {
		return winch.ReleaseResult{}, err
	}
	record := winch.ReleaseRecord{Revision: read.head.Revision + 1, Note: a.note, Write: a.write, Author: a.store.options.Incarnation}
	value, err := a.encode(ctx, record.Revision)
	if err != nil {
		return winch.ReleaseResult{}, err
	}
	if err := a.store.archive(ctx, read); err != nil {
		return winch.ReleaseResult{}, err
	}
	if err := a.swap(ctx, value, read.head.Version); err != nil {
		return winch.ReleaseResult{}, err
	}
	a.current = release.ApplyRecord(configuration, record)
	return winch.ReleaseResult{Note: a.note.ID, Revision: record.Revision, Record: &record, Configuration: a.current}, nil
}

func (a *attempt) swap(ctx context.Context, value []byte, expect winch.Version) error {
	if a.store.unguarded.expect {
		expect = winch.VersionAny
	}
	_, err := a.store.options.KeyValue.Put(ctx, a.store.headKey(), value, expect)
	if errors.Is(err, winch.ErrConflict) {
		return fmt.Errorf("swap head: %w", errLost)
	}
	if errors.Is(err, winch.ErrOutcomeUnknown) {
		a.unknown = true
	}
	if err != nil {
		return fmt.Errorf("swap head: %w", err)
	}
	return nil
}

// committed tells whether the note's id was committed before the head was read.
func (a *attempt) committed(ctx context.Context, read storedHead) (winch.ReleaseResult, bool, error) {
	found, err := a.store.find(ctx, read, a.note.ID)
	if errors.Is(err, winch.ErrNotFound) || a.store.unguarded.find {
		return winch.ReleaseResult{}, false, nil
	}
	if err != nil {
		return winch.ReleaseResult{}, false, err
	}
	if found.NoteHash != a.hash {
		return winch.ReleaseResult{}, false, &winch.ReleaseConflict{
			Revision: found.Revision, Reason: fmt.Sprintf("another note has the id %s", a.note.ID),
		}
	}
	if found.Write != a.write {
		a.store.deleteParts(ctx, a.parts)
	}
	return winch.ReleaseResult{Note: a.note.ID, Revision: found.Revision, Repeated: found.Write != a.write}, true, nil
}

// judge compares the note with the commits since its base, and with the
// configuration. A note whose base is old fits when no commit since touched its items.
func (a *attempt) judge(ctx context.Context, configuration *winch.Configuration) error {
	if a.note.Base > configuration.Revision {
		return release.FieldError("Base", "%d is not committed yet", a.note.Base)
	}
	if a.note.Base != 0 && a.note.Base < configuration.Revision {
		if err := a.rebase(ctx, configuration.Revision); err != nil {
			return err
		}
	}
	return release.Check(configuration, a.note)
}

func (a *attempt) rebase(ctx context.Context, revision winch.Revision) error {
	if revision-a.note.Base > bucketSize {
		return &winch.ReleaseConflict{Revision: revision, Reason: fmt.Sprintf("the base %d is too old to compare", a.note.Base)}
	}
	records, err := a.store.records(ctx, a.note.Base+1, revision)
	if err != nil {
		return err
	}
	conflict := &winch.ReleaseConflict{}
	for _, record := range records {
		if items := release.CommonItems(a.note, record.Note); len(items) > 0 {
			conflict.Revision = record.Revision
			conflict.Items = append(conflict.Items, items...)
		}
	}
	if len(conflict.Items) == 0 {
		return nil
	}
	slices.Sort(conflict.Items)
	conflict.Items = slices.Compact(conflict.Items)
	a.store.options.Logger.Info("note conflicts", "Event", EventCommitConflict,
		"Note", a.note.ID, "Base", a.note.Base, "Revision", conflict.Revision, "Items", conflict.Items)
	return conflict
}

func (a *attempt) encode(ctx context.Context, revision winch.Revision) ([]byte, error) {
	wire := commitWire{
		Revision: revision, Write: a.write, Author: a.store.options.Incarnation,
		NoteID: a.note.ID, NoteHash: a.hash, Note: a.body,
	}
	if len(a.body) > inlineLimit {
		if a.parts == nil {
			parts, err := a.store.writeParts(ctx, a.store.options.Prefix+"parts/"+string(a.write)+"/", a.body)
			if err != nil {
				return nil, err
			}
			a.parts = parts
		}
		wire.Note, wire.Parts = nil, a.parts
	}
	value, err := json.Marshal(wire)
	if err != nil {
		return nil, fmt.Errorf("encode commit %d: %w", revision, err)
	}
	return value, nil
}

// archive copies the head to its record and its index. It must be done before
// the head is replaced.
func (s *Store) archive(ctx context.Context, read storedHead) error {
	if read.head.Record == nil || s.unguarded.index {
		return nil
	}
	if err := s.put(ctx, s.recordKey(read.head.Revision), read.entry.Value); err != nil {
		return err
	}
	index, err := json.Marshal(read.wire.index())
	if err != nil {
		return fmt.Errorf("encode index of %s: %w", read.wire.NoteID, err)
	}
	return s.put(ctx, s.noteKey(read.wire.NoteID), index)
}

// put writes an entry whose content is the same whoever writes it.
func (s *Store) put(ctx context.Context, key string, value []byte) error {
	var err error
	for range attempts {
		_, err = s.options.KeyValue.Put(ctx, key, value, winch.VersionAbsent)
		if err == nil || errors.Is(err, winch.ErrConflict) {
			return nil
		}
		if !errors.Is(err, winch.ErrOutcomeUnknown) || !pause(ctx, retryPause) {
			break
		}
	}
	if errors.Is(err, winch.ErrOutcomeUnknown) {
		// The entry alone commits nothing.
		return fmt.Errorf("write %s: %w: %v", key, winch.ErrUnavailable, err)
	}
	return fmt.Errorf("write %s: %w", key, err)
}
