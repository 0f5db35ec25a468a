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

// commitOperation is the state of one call of Commit, over all of its attempts.
type commitOperation struct {
	store   *Store
	note    winch.Note
	body    []byte
	hash    string
	writeID winch.WriteID
	parts   []partWire
	current *winch.Configuration
	// outcomeUnknown is set once the response to a compare-and-swap of the head was lost.
	outcomeUnknown bool
}

// errHeadChanged means that another note was committed after the head was read.
var errHeadChanged = errors.New("the head has changed")

// Commit appends the note to the log. If a note with the same id and content was
// committed before, it returns the revision of that commit and commits nothing.
func (s *Store) Commit(ctx context.Context, current *winch.Configuration, note winch.Note) (winch.ReleaseResult, error) {
	body, err := release.EncodeNote(note)
	if err != nil {
		return winch.ReleaseResult{}, err
	}
	if len(body) > release.MaxNoteSize {
		return winch.ReleaseResult{}, fmt.Errorf("commit note: more than %d bytes: %w", release.MaxNoteSize, winch.ErrInvalid)
	}
	a := &commitOperation{
		store: s, note: note, body: body, hash: hashOf(body),
		writeID: winch.WriteID(uuid.NewString()), current: current,
	}
	result, err := a.runWithRetries(ctx)
	if err != nil {
		return winch.ReleaseResult{}, fmt.Errorf("commit note %s: %w", note.ID, a.classifyError(err))
	}
	s.options.Logger.Info("note committed", "Event", EventCommitted,
		"Note", note.ID, "Revision", result.Revision, "Repeated", result.Repeated)
	s.maintain(ctx, a.current, result)
	return result, nil
}

// classifyError returns err, or winch.ErrOutcomeUnknown if an earlier attempt may
// have committed the note and err does not rule that out.
func (a *commitOperation) classifyError(err error) error {
	if !a.outcomeUnknown || errors.Is(err, winch.ErrInvalid) || errors.Is(err, winch.ErrConflict) {
		return err
	}
	return fmt.Errorf("%w: %v", winch.ErrOutcomeUnknown, err)
}

func (a *commitOperation) runWithRetries(ctx context.Context) (winch.ReleaseResult, error) {
	var lastErr error
	for range maxAttempts {
		result, err := a.tryOnce(ctx)
		if err == nil {
			return result, nil
		}
		switch {
		case errors.Is(err, errHeadChanged):
		case errors.Is(err, winch.ErrOutcomeUnknown):
			a.store.options.Logger.Warn("commit outcome unknown, retrying", "Event", EventCommitUnknown, "Note", a.note.ID, "Error", err)
		case a.outcomeUnknown && !errors.Is(err, winch.ErrInvalid) && !errors.Is(err, winch.ErrConflict):
			// Retry, to find out whether the earlier swap took effect.
		default:
			return winch.ReleaseResult{}, err
		}
		lastErr = err
		if !sleep(ctx, retryPause) {
			break
		}
	}
	if errors.Is(lastErr, errHeadChanged) {
		lastErr = &winch.ReleaseConflict{Reason: "too many commits at the same time"}
	}
	return winch.ReleaseResult{}, lastErr
}

func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// tryOnce reads the head, validates the note against it and replaces it by
// compare-and-swap. If an earlier attempt took effect, the note is found by its id.
// If the request of an earlier attempt is still in flight, it expects the same or an
// older version of the head, so at most one of the attempts takes effect.
func (a *commitOperation) tryOnce(ctx context.Context) (winch.ReleaseResult, error) {
	stored, err := a.store.readHead(ctx)
	if err != nil {
		return winch.ReleaseResult{}, err
	}
	if result, found, err := a.findCommitted(ctx, stored); found || err != nil {
		return result, err
	}
	configuration, _, err := a.store.Fetch(ctx, a.current, stored.head)
	if err != nil {
		return winch.ReleaseResult{}, err
	}
	a.current = configuration
	if err := a.validate(ctx, configuration); err != nil {
		return winch.ReleaseResult{}, err
	}
	record := winch.ReleaseRecord{Revision: stored.head.Revision + 1, Note: a.note, Write: a.writeID, Author: a.store.options.Incarnation}
	value, err := a.encodeCommit(ctx, record.Revision)
	if err != nil {
		return winch.ReleaseResult{}, err
	}
	if err := a.store.archiveHead(ctx, stored); err != nil {
		return winch.ReleaseResult{}, err
	}
	if err := a.swapHead(ctx, value, stored.head.Version); err != nil {
		return winch.ReleaseResult{}, err
	}
	a.current = release.ApplyRecord(configuration, record)
	return winch.ReleaseResult{Note: a.note.ID, Revision: record.Revision, Record: &record, Configuration: a.current}, nil
}

func (a *commitOperation) swapHead(ctx context.Context, value []byte, expect winch.Version) error {
	if a.store.disabled.versionCheck {
		expect = winch.VersionAny
	}
	_, err := a.store.options.KeyValue.Put(ctx, a.store.headKey(), value, expect)
	if errors.Is(err, winch.ErrConflict) {
		return fmt.Errorf("swap head: %w", errHeadChanged)
	}
	if errors.Is(err, winch.ErrOutcomeUnknown) {
		a.outcomeUnknown = true
	}
	if err != nil {
		return fmt.Errorf("swap head: %w", err)
	}
	return nil
}

// findCommitted returns the earlier commit of the note's id, if there is one up to
// the given head. It returns a conflict if that commit is of a different note.
func (a *commitOperation) findCommitted(ctx context.Context, stored storedHead) (winch.ReleaseResult, bool, error) {
	found, err := a.store.findIndex(ctx, stored, a.note.ID)
	if errors.Is(err, winch.ErrNotFound) || a.store.disabled.idLookup {
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
	if found.Write != a.writeID {
		a.store.deleteParts(ctx, a.parts)
	}
	return winch.ReleaseResult{Note: a.note.ID, Revision: found.Revision, Repeated: found.Write != a.writeID}, true, nil
}

// validate checks the note against the configuration, and for conflicts with the
// commits since its base.
func (a *commitOperation) validate(ctx context.Context, configuration *winch.Configuration) error {
	if a.note.Base > configuration.Revision {
		return release.FieldError("Base", "%d is not committed yet", a.note.Base)
	}
	if a.note.Base != 0 && a.note.Base < configuration.Revision {
		if err := a.checkConflicts(ctx, configuration.Revision); err != nil {
			return err
		}
	}
	return release.Check(configuration, a.note)
}

// checkConflicts returns a conflict if a commit after the note's base, up to the
// revision, has items in common with the note.
func (a *commitOperation) checkConflicts(ctx context.Context, revision winch.Revision) error {
	if revision-a.note.Base > bucketSize {
		return &winch.ReleaseConflict{Revision: revision, Reason: fmt.Sprintf("the base %d is too old to compare", a.note.Base)}
	}
	records, err := a.store.readRecords(ctx, a.note.Base+1, revision)
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
	a.store.options.Logger.Info("note conflicts with a commit after its base", "Event", EventCommitConflict,
		"Note", a.note.ID, "Base", a.note.Base, "Revision", conflict.Revision, "Items", conflict.Items)
	return conflict
}

func (a *commitOperation) encodeCommit(ctx context.Context, revision winch.Revision) ([]byte, error) {
	wire := commitWire{
		Revision: revision, Write: a.writeID, Author: a.store.options.Incarnation,
		NoteID: a.note.ID, NoteHash: a.hash, Note: a.body,
	}
	if len(a.body) > maxInlineNote {
		if a.parts == nil {
			parts, err := a.store.writeParts(ctx, a.store.options.Prefix+"parts/"+string(a.writeID)+"/", a.body)
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

// archiveHead writes the record and the index entry of the head's commit. This
// must happen before the head is replaced, since its value is lost then.
func (s *Store) archiveHead(ctx context.Context, stored storedHead) error {
	if stored.head.Record == nil || s.disabled.archiving {
		return nil
	}
	if err := s.createEntry(ctx, s.recordKey(stored.head.Revision), stored.entry.Value); err != nil {
		return err
	}
	index, err := json.Marshal(stored.wire.index())
	if err != nil {
		return fmt.Errorf("encode index of %s: %w", stored.wire.NoteID, err)
	}
	return s.createEntry(ctx, s.noteKey(stored.wire.NoteID), index)
}

// createEntry writes an entry unless it exists. All writers of such an entry write
// the same content, so an existing entry counts as written.
func (s *Store) createEntry(ctx context.Context, key string, value []byte) error {
	var err error
	for range maxAttempts {
		_, err = s.options.KeyValue.Put(ctx, key, value, winch.VersionAbsent)
		if err == nil || errors.Is(err, winch.ErrConflict) {
			return nil
		}
		if !errors.Is(err, winch.ErrOutcomeUnknown) || !sleep(ctx, retryPause) {
			break
		}
	}
	if errors.Is(err, winch.ErrOutcomeUnknown) {
		// The entry alone commits nothing, so the caller need not treat the outcome as unknown.
		return fmt.Errorf("write %s: %w: %v", key, winch.ErrUnavailable, err)
	}
	return fmt.Errorf("write %s: %w", key, err)
}
