package winch

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// ReleaseRecord is a committed note.
type ReleaseRecord struct {
	Revision Revision
	Note     Note
	// Write and Author identify the attempt that committed the note.
	Write  WriteID
	Author Incarnation
}

// ReleaseHead is the newest commit at the time it was read.
type ReleaseHead struct {
	Revision Revision
	// Version is the version of the head's entry, VersionAbsent before the first commit.
	Version Version
	// Read is set once the head was read; the zero value means that it was not.
	Read bool
	// Position is the version from which to watch for changes.
	Position Version
	// Record is nil before the first commit.
	Record *ReleaseRecord
}

// ReleaseResult is the result of committing a note.
type ReleaseResult struct {
	Note     NoteID
	Revision Revision
	// Repeated is set when the note had already been committed. The fields below
	// are not set then.
	Repeated bool
	Record   *ReleaseRecord
	// Configuration is the configuration after the commit.
	Configuration *Configuration
}

// ReleaseLog is the log of commits in the platform's key-value service.
type ReleaseLog interface {
	// Head reads the newest commit.
	Head(ctx context.Context) (ReleaseHead, error)
	// WaitHead waits until the head differs from last, or until wait has elapsed, and
	// returns the current head.
	WaitHead(ctx context.Context, last ReleaseHead, wait time.Duration) (ReleaseHead, error)
	// Fetch returns the configuration at the head and the records between current
	// and the head. There are no records when it had to be read from a snapshot.
	Fetch(ctx context.Context, current *Configuration, head ReleaseHead) (*Configuration, []ReleaseRecord, error)
	// Commit appends the note. It returns a *ReleaseConflict when another note
	// has changed the same items since the note's base.
	Commit(ctx context.Context, current *Configuration, note Note) (ReleaseResult, error)
	// Find returns the revision under which the note was committed, or ErrNotFound.
	Find(ctx context.Context, id NoteID) (ReleaseResult, error)
	// Accepted returns the newest revision recorded as accepted.
	Accepted(ctx context.Context) (Revision, error)
	// Roster returns the hosts of the data centre that count towards its majority.
	Roster(ctx context.Context, centre DataCentreID) ([]HostID, error)
	// ChangeRoster adds hosts to the roster and removes others from it.
	ChangeRoster(ctx context.Context, centre DataCentreID, added, dropped []HostID) error
	// MarkAccepted records that the revision and all earlier ones are accepted.
	MarkAccepted(ctx context.Context, revision Revision) error
}

// ReleaseConflict is the error for a note that conflicts with a committed one. It matches ErrConflict.
type ReleaseConflict struct {
	// Revision is the newest commit that conflicts.
	Revision Revision
	// Items are the items that both notes change, in the form "Keys[id]".
	Items []string
	// Reason is set when the conflict is not about items.
	Reason string
}

// Error returns a text with the revision and the reason or the items.
func (c *ReleaseConflict) Error() string {
	if c.Reason != "" {
		return fmt.Sprintf("conflict with revision %d: %s", c.Revision, c.Reason)
	}
	return fmt.Sprintf("conflict with revision %d over %s", c.Revision, strings.Join(c.Items, ", "))
}

// Is reports whether target is ErrConflict.
func (c *ReleaseConflict) Is(target error) bool { return target == ErrConflict }

// DataCentreProgress is the progress of a revision's rollout in one data centre.
type DataCentreProgress struct {
	DataCentre DataCentreID
	// Revision is the newest revision that the data centre's hub has reported.
	Revision Revision
	// InForce is set when a majority of the data centre's hosts has reported
	// that it holds the revision in question.
	InForce bool
	// Hosts is the number of hosts that may be alive.
	Hosts int
	// Behind lists some hosts that have not reported the hub's revision yet.
	Behind []HostID
	// Until is the time after which the data centre can no longer serve an older
	// revision; zero when that is not known yet.
	Until time.Time
	// Heard is when the last report of the data centre was received.
	Heard time.Time
}

// ReleaseProgress is the progress of a revision's rollout in all data centres.
type ReleaseProgress struct {
	Revision Revision
	Accepted bool
	// Centres are sorted by ID. They are empty until this host has received reports.
	Centres []DataCentreProgress
}

// ReleaseTracker provides the state of the rollout to operators.
type ReleaseTracker interface {
	Configurations
	// ApplyCommit applies a commit that this host made.
	ApplyCommit(now time.Time, result ReleaseResult)
	// RecentRevision returns the revision of a note that this host learned of recently.
	RecentRevision(id NoteID) (Revision, bool)
	// Progress returns the progress of the revision's rollout, and keeps requesting updates of it.
	Progress(now time.Time, revision Revision) ReleaseProgress
}
