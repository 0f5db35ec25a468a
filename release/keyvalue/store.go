package keyvalue

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/release"
)

const (
	defaultPrefix    = "release/"
	defaultRetention = 20000
	// bucketSize is the number of records that one list call returns. It is also the
	// minimum number of commits between two snapshots and the maximum number of commits
	// after the base of a note; Fetch applies up to twice as many records.
	bucketSize = 256
	// snapshotCheckInterval is the number of commits after which the age of the snapshot is checked.
	snapshotCheckInterval = 64
	// maxAttempts bounds the attempts of each operation that retries.
	maxAttempts = 16
	retryPause  = 20 * time.Millisecond
	// maxInlineNote is the maximum size in bytes of a note that is stored in the head
	// itself; longer notes are stored in parts.
	maxInlineNote = 8 << 10
	// partSize is the maximum size of a part in bytes.
	partSize = 512 << 10
)

// Options are the settings of a Store.
type Options struct {
	KeyValue winch.KeyValue
	// Prefix is prepended to all keys. The default is "release/".
	Prefix string
	// Incarnation identifies this run of the process. It is stored as the author of commits.
	Incarnation winch.Incarnation
	// Logger may be nil.
	Logger hclog.Logger
	// Retention is the minimum number of newest commits whose notes can be found by id.
	// An older note that is sent again is not recognized. The default is 20000.
	Retention int
}

// Store implements winch.ReleaseLog on a key-value service. It is safe for concurrent use.
type Store struct {
	options Options
	// snapshotRevision is the newest revision of which a snapshot is known to exist.
	snapshotRevision atomic.Int64
	// disabled is set by tests only, which show that each guard is needed.
	disabled disabledGuards
}

// disabledGuards names the safety measures to skip.
type disabledGuards struct {
	// idLookup skips the check whether the note's id was committed before.
	idLookup bool
	// headArchive replaces the head without writing its record and index entry.
	headArchive bool
	// versionCheck replaces the head whatever its version.
	versionCheck bool
}

var _ winch.ReleaseLog = (*Store)(nil)

// New returns a Store.
func New(options Options) (*Store, error) {
	if options.KeyValue == nil || options.Incarnation == "" {
		return nil, fmt.Errorf("create release store: KeyValue and Incarnation are required: %w", winch.ErrInvalid)
	}
	if err := release.CheckName("Incarnation", string(options.Incarnation)); err != nil {
		return nil, err
	}
	if options.Prefix == "" {
		options.Prefix = defaultPrefix
	}
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	if options.Retention == 0 {
		options.Retention = defaultRetention
	}
	if options.Retention < 2*bucketSize {
		return nil, fmt.Errorf("create release store: Retention must be at least %d: %w", 2*bucketSize, winch.ErrInvalid)
	}
	return &Store{options: options}, nil
}

func (s *Store) headKey() string { return s.options.Prefix + "head" }

func (s *Store) noteKey(id winch.NoteID) string { return s.options.Prefix + "notes/" + string(id) }

func (s *Store) bucketKey(revision winch.Revision) string {
	return fmt.Sprintf("%srecords/%010d/", s.options.Prefix, revision/bucketSize)
}

func (s *Store) recordKey(revision winch.Revision) string {
	return fmt.Sprintf("%s%03d", s.bucketKey(revision), revision%bucketSize)
}

// Head reads the newest commit.
func (s *Store) Head(ctx context.Context) (winch.ReleaseHead, error) {
	stored, err := s.readHead(ctx)
	return stored.head, err
}

// storedHead is the head with the entry that it was decoded from.
type storedHead struct {
	head  winch.ReleaseHead
	entry winch.Entry
	wire  commitWire
}

func (s *Store) readHead(ctx context.Context) (storedHead, error) {
	// Unlike Get, List also returns the position at which Watch continues.
	entries, position, err := s.options.KeyValue.List(ctx, s.headKey())
	if err != nil {
		return storedHead{}, fmt.Errorf("read head: %w", err)
	}
	stored := storedHead{head: winch.ReleaseHead{Read: true, Position: position}}
	for _, entry := range entries {
		if entry.Key != s.headKey() {
			continue
		}
		if stored, err = s.decodeHead(ctx, entry); err != nil {
			return storedHead{}, err
		}
		stored.head.Position = position
	}
	return stored, nil
}

func (s *Store) decodeHead(ctx context.Context, entry winch.Entry) (storedHead, error) {
	wire, record, err := s.decodeCommit(ctx, entry.Value)
	if err != nil {
		return storedHead{}, fmt.Errorf("read head: %w", err)
	}
	head := winch.ReleaseHead{Read: true, Revision: record.Revision, Version: entry.Version, Position: entry.Version, Record: &record}
	return storedHead{head: head, entry: entry, wire: wire}, nil
}

// WaitHead waits until the head differs from last, or until wait is over, and returns the head.
func (s *Store) WaitHead(ctx context.Context, last winch.ReleaseHead, wait time.Duration) (winch.ReleaseHead, error) {
	if !last.Read {
		return s.Head(ctx)
	}
	entries, position, err := s.options.KeyValue.Watch(ctx, s.headKey(), last.Position, wait)
	if err != nil {
		return winch.ReleaseHead{}, fmt.Errorf("watch head: %w", err)
	}
	next := last
	for _, entry := range entries {
		if entry.Key != s.headKey() || entry.Version <= next.Version {
			continue
		}
		if entry.Deleted {
			return winch.ReleaseHead{}, fmt.Errorf("watch head: the entry was deleted: %w", winch.ErrNotFound)
		}
		stored, err := s.decodeHead(ctx, entry)
		if err != nil {
			return winch.ReleaseHead{}, err
		}
		next = stored.head
	}
	next.Position = position
	return next, nil
}

// Find returns the revision that the note was committed as.
func (s *Store) Find(ctx context.Context, id winch.NoteID) (winch.ReleaseResult, error) {
	stored, err := s.readHead(ctx)
	if err != nil {
		return winch.ReleaseResult{}, err
	}
	found, err := s.findIndex(ctx, stored, id)
	if err != nil {
		return winch.ReleaseResult{}, err
	}
	return winch.ReleaseResult{Note: id, Revision: found.Revision, Repeated: true}, nil
}

// findIndex looks the note's id up in the given head and then in the index. A head
// is indexed before it is replaced, so a note found in neither was not committed up
// to that head.
func (s *Store) findIndex(ctx context.Context, stored storedHead, id winch.NoteID) (indexWire, error) {
	if stored.head.Record != nil && stored.head.Record.Note.ID == id {
		return stored.wire.index(), nil
	}
	entry, err := s.options.KeyValue.Get(ctx, s.noteKey(id))
	if err != nil {
		return indexWire{}, fmt.Errorf("find note %s: %w", id, err)
	}
	return decodeIndex(entry)
}

// Accepted returns the newest revision recorded as accepted, or zero if there is none.
func (s *Store) Accepted(ctx context.Context) (winch.Revision, error) {
	revision, _, err := s.readAccepted(ctx)
	return revision, err
}

func (s *Store) readAccepted(ctx context.Context) (winch.Revision, winch.Version, error) {
	entry, err := s.options.KeyValue.Get(ctx, s.options.Prefix+"accepted")
	if errors.Is(err, winch.ErrNotFound) {
		return 0, winch.VersionAbsent, nil
	}
	if err != nil {
		return 0, 0, fmt.Errorf("read accepted revision: %w", err)
	}
	revision, err := decodeAccepted(entry)
	return revision, entry.Version, err
}

// MarkAccepted records that the revision and all before it are accepted.
func (s *Store) MarkAccepted(ctx context.Context, revision winch.Revision) error {
	for range maxAttempts {
		recorded, version, err := s.readAccepted(ctx)
		if err != nil {
			return err
		}
		if recorded >= revision {
			return nil
		}
		_, err = s.options.KeyValue.Put(ctx, s.options.Prefix+"accepted", encodeAccepted(revision), version)
		if err == nil {
			s.options.Logger.Info("accepted revision recorded", "Event", EventAccepted, "Revision", revision)
			return nil
		}
		if !errors.Is(err, winch.ErrConflict) && !errors.Is(err, winch.ErrOutcomeUnknown) {
			return fmt.Errorf("record accepted revision %d: %w", revision, err)
		}
	}
	return fmt.Errorf("record accepted revision %d: %w", revision, winch.ErrOutcomeUnknown)
}
