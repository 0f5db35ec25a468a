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
	c := &commitOperation{
		store: s, note: note, body: body, hash: hashOf(body),
		writeID: winch.WriteID(uuid.NewString()), current: current,
	}
	result, err := c.runWithRetries(ctx)
	if err != nil {
		return winch.ReleaseResult{}, fmt.Errorf("commit note %s: %w", note.ID, c.classifyError(err))
	}
	s.options.Logger.Info("note is committed", "Event", EventCommitted,
		"Note", note.ID, "Revision", result.Revision, "Repeated", result.Repeated)
	s.snapshotAndDeleteOld(ctx, c.current, result)
	return result, nil
}

// classifyError returns winch.ErrOutcomeUnknown if the response to a compare-and-swap
// of the head was lost. It returns winch.ErrInvalid and winch.ErrConflict as they are,
// also then: usually they come from checks of the note against a head that was read
// later and up to which the note was not found. The conflict of runWithRetries after too
// many changes of the head has no such check before it, nor has an invalid entry.
func (c *commitOperation) classifyError(err error) error {
	if !c.outcomeUnknown || errors.Is(err, winch.ErrInvalid) || errors.Is(err, winch.ErrConflict) {
		return err
	}
	return fmt.Errorf("%w: %v", winch.ErrOutcomeUnknown, err)
}

// runWithRetries calls tryOnce until the outcome is known, at most maxAttempts times.
func (c *commitOperation) runWithRetries(ctx context.Context) (winch.ReleaseResult, error) {
	var lastErr error
	for range maxAttempts {
		result, err := c.tryOnce(ctx)
		if err == nil {
			return result, nil
		}
		switch {
		case errors.Is(err, errHeadChanged):
			// Retry with the new head.
		case errors.Is(err, winch.ErrOutcomeUnknown):
			c.store.options.Logger.Warn("commit outcome unknown, retrying", "Event", EventCommitOutcomeUnknown, "Note", c.note.ID, "Error", err)
		case c.outcomeUnknown && !errors.Is(err, winch.ErrInvalid) && !errors.Is(err, winch.ErrConflict):
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
//
// The swap of an earlier attempt may still be in flight. It expects the version that
// this attempt read, or an older one. Whichever swap takes effect first changes the
// version, so the other one fails.
func (c *commitOperation) tryOnce(ctx context.Context) (winch.ReleaseResult, error) {
	stored, err := c.store.readHead(ctx)
	if err != nil {
		return winch.ReleaseResult{}, err
	}
	if result, found, err := c.findCommitted(ctx, stored); found || err != nil {
		return result, err
	}
	configuration, _, err := c.store.Fetch(ctx, c.current, stored.head)
	if err != nil {
		return winch.ReleaseResult{}, err
	}
	c.current = configuration
	if err := c.validate(ctx, configuration); err != nil {
		return winch.ReleaseResult{}, err
	}
	record := winch.ReleaseRecord{Revision: stored.head.Revision + 1, Note: c.note, Write: c.writeID, Author: c.store.options.Incarnation}
	value, err := c.encodeCommit(ctx, record.Revision)
	if err != nil {
		return winch.ReleaseResult{}, err
	}
	if err := c.store.archiveHead(ctx, stored); err != nil {
		return winch.ReleaseResult{}, err
	}
	if err := c.swapHead(ctx, value, stored.head.Version); err != nil {
		return winch.ReleaseResult{}, err
	}
	c.current = release.ApplyRecord(configuration, record)
	return winch.ReleaseResult{Note: c.note.ID, Revision: record.Revision, Record: &record, Configuration: c.current}, nil
}

func (c *commitOperation) swapHead(ctx context.Context, value []byte, expect winch.Version) error {
	if c.store.disabled.versionCheck {
		expect = winch.VersionAny
	}
	_, err := c.store.options.KeyValue.Put(ctx, c.store.headKey(), value, expect)
	if errors.Is(err, winch.ErrConflict) {
		return fmt.Errorf("swap head: %w", errHeadChanged)
	}
	if errors.Is(err, winch.ErrOutcomeUnknown) {
		c.outcomeUnknown = true
	}
	if err != nil {
		return fmt.Errorf("swap head: %w", err)
	}
	return nil
}

// findCommitted returns the earlier commit of the note's id, if there is one up to
// the given head. It returns a conflict if that commit is of a different note.
func (c *commitOperation) findCommitted(ctx context.Context, stored storedHead) (winch.ReleaseResult, bool, error) {
	found, err := c.store.findIndex(ctx, stored, c.note.ID)
	if errors.Is(err, winch.ErrNotFound) || c.store.disabled.idLookup {
		return winch.ReleaseResult{}, false, nil
	}
	if err != nil {
		return winch.ReleaseResult{}, false, err
	}
	if found.NoteHash != c.hash {
		return winch.ReleaseResult{}, false, &winch.ReleaseConflict{
			Revision: found.Revision, Reason: fmt.Sprintf("another note has the id %s", c.note.ID),
		}
	}
	if found.Write != c.writeID {
		// Another call committed the note, so nothing refers to the parts of this one.
		c.store.deleteParts(ctx, c.parts)
	}
	// A commit by an earlier attempt of this call does not count as repeated. Record and
	// Configuration are not set then; the caller reads them from the log.
	return winch.ReleaseResult{Note: c.note.ID, Revision: found.Revision, Repeated: found.Write != c.writeID}, true, nil
}

// validate checks the note against the configuration, and for conflicts with the
// commits since its base.
func (c *commitOperation) validate(ctx context.Context, configuration *winch.Configuration) error {
	if c.note.Base > configuration.Revision {
		return release.FieldError("Base", "%d is not committed yet", c.note.Base)
	}
	// A base of zero asks for no check of conflicts.
	if c.note.Base != 0 && c.note.Base < configuration.Revision {
		if err := c.checkConflicts(ctx, configuration.Revision); err != nil {
			return err
		}
	}
	return release.Check(configuration, c.note)
}

// checkConflicts returns a conflict if a commit after the note's base, up to the
// revision, has items in common with the note.
func (c *commitOperation) checkConflicts(ctx context.Context, revision winch.Revision) error {
	// The records are read for the check, so their number is limited.
	if revision-c.note.Base > bucketSize {
		return &winch.ReleaseConflict{Revision: revision, Reason: fmt.Sprintf("the base %d is too old to compare", c.note.Base)}
	}
	records, err := c.store.readRecords(ctx, c.note.Base+1, revision)
	if err != nil {
		return err
	}
	conflict := &winch.ReleaseConflict{}
	for _, record := range records {
		if items := release.CommonItems(c.note, record.Note); len(items) > 0 {
			conflict.Revision = record.Revision
			conflict.Items = append(conflict.Items, items...)
		}
	}
	if len(conflict.Items) == 0 {
		return nil
	}
	slices.Sort(conflict.Items)
	conflict.Items = slices.Compact(conflict.Items)
	c.store.options.Logger.Info("note conflicts with a commit after its base", "Event", EventCommitConflict,
		"Note", c.note.ID, "Base", c.note.Base, "Revision", conflict.Revision, "Items", conflict.Items)
	return conflict
}

// encodeCommit returns the value of the head for the note, and writes the parts of a
// long note. The parts are not deleted if the commit fails; another call with the same
// note writes others.
func (c *commitOperation) encodeCommit(ctx context.Context, revision winch.Revision) ([]byte, error) {
	wire := commitWire{
		Revision: revision, Write: c.writeID, Author: c.store.options.Incarnation,
		NoteID: c.note.ID, NoteHash: c.hash, Note: c.body,
	}
	if len(c.body) > maxInlineNote {
		if c.parts == nil {
			parts, err := c.store.writeParts(ctx, c.store.options.Prefix+"parts/"+string(c.writeID)+"/", c.body)
			if err != nil {
				return nil, err
			}
			c.parts = parts
		}
		wire.Note, wire.Parts = nil, c.parts
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
	if stored.head.Record == nil || s.disabled.headArchive {
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
