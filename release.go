package winch

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// ReleaseRecord is an entry of the release log: a release note and the revision under which it was
// committed.
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
	// Read distinguishes a head that was read from the zero value.
	Read bool
	// Position is the version of the key-value service at the time of the read. A watch for later
	// changes starts after it.
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
//
// A revision is committed once its note is in the log. It is accepted once no host can still
// accept keys by an older revision.
type ReleaseLog interface {
	// Head reads the newest commit.
	Head(ctx context.Context) (ReleaseHead, error)
	// WaitHead waits until the head differs from last, or until wait has elapsed, and
	// returns the current head.
	WaitHead(ctx context.Context, last ReleaseHead, wait time.Duration) (ReleaseHead, error)
	// Fetch returns the configuration at the head and the records between current
	// and the head. The records are nil when the configuration was built from a stored
	// snapshot instead, because current is too old.
	Fetch(ctx context.Context, current *Configuration, head ReleaseHead) (*Configuration, []ReleaseRecord, error)
	// Commit appends the note. current is the newest configuration that the caller knows; it
	// is brought up to date before the note is checked against it. Commit returns a
	// *ReleaseConflict when another note has changed the same items since the note's base.
	Commit(ctx context.Context, current *Configuration, note Note) (ReleaseResult, error)
	// Find returns the revision under which the note was committed, or ErrNotFound.
	Find(ctx context.Context, id NoteID) (ReleaseResult, error)
	// Accepted returns the newest revision recorded as accepted.
	Accepted(ctx context.Context) (Revision, error)
	// Roster returns the hosts of the data centre among which DataCentreProgress.InForce requires a
	// majority. A silent host stays in the roster for some time, because it may be disconnected
	// rather than stopped.
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
	// Revision is the newest revision that the data centre's hub has reported. It may differ
	// from ReleaseProgress.Revision.
	Revision Revision
	// InForce is set when a majority of the data centre's hosts have reported that they hold
	// ReleaseProgress.Revision or a newer one.
	InForce bool
	// Hosts is the number of hosts that may be alive.
	Hosts int
	// Behind lists hosts that have not reported the hub's revision yet. The list is truncated
	// to a fixed length.
	Behind []HostID
	// Until is the time after which the data centre can no longer serve an older
	// revision; zero when that is not known yet.
	Until time.Time
	// Heard is when the last report of the data centre was received, by the clock of the host
	// that received it.
	Heard time.Time
}

// ReleaseProgress is the progress of a revision's rollout in all data centres.
type ReleaseProgress struct {
	// Revision is the revision that was asked for.
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
	// Progress returns the progress of the revision's rollout as known to this host. For some
	// time after the call, this host requests newer reports from the hub.
	Progress(now time.Time, revision Revision) ReleaseProgress
}
