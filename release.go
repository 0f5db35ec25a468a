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
	// Write and Author tell the attempt that committed the note.
	Write  WriteID
	Author Incarnation
}

// ReleaseHead is the newest commit as it was read.
type ReleaseHead struct {
	Revision Revision
	// Version is the version of the head's entry, VersionAbsent before the first commit.
	Version Version
	// Read is set once the head was read; the zero value stands for "not yet".
	Read bool
	// Position is where to wait for changes from.
	Position Version
	// Record is nil before the first commit.
	Record *ReleaseRecord
}

// ReleaseResult tells what became of a note that was committed.
type ReleaseResult struct {
	Note     NoteID
	Revision Revision
	// Repeated says that the note had been committed before. The fields below
	// are not set then.
	Repeated bool
	Record   *ReleaseRecord
	// Configuration is the one that the commit led to.
	Configuration *Configuration
}

// ReleaseLog is the record of commits in the platform.
type ReleaseLog interface {
	// Head reads the newest commit.
	Head(ctx context.Context) (ReleaseHead, error)
	// Next waits until the head is another one than last, or until wait is over,
	// and returns the head as of the answer.
	Next(ctx context.Context, last ReleaseHead, wait time.Duration) (ReleaseHead, error)
	// Fetch returns the configuration at the head, and the records that lead to
	// it from current, or no records when it had to be read from a snapshot.
	Fetch(ctx context.Context, current *Configuration, head ReleaseHead) (*Configuration, []ReleaseRecord, error)
	// Commit appends the note. It returns a *ReleaseConflict when somebody else
	// changed the same items since the note's base.
	Commit(ctx context.Context, current *Configuration, note Note) (ReleaseResult, error)
	// Find returns the revision that the note was committed as, or ErrNotFound.
	Find(ctx context.Context, id NoteID) (ReleaseResult, error)
	// Accepted returns the newest revision recorded as accepted.
	Accepted(ctx context.Context) (Revision, error)
	// Roster returns the hosts of the data centre that count for its majority.
	Roster(ctx context.Context, centre DataCentreID) ([]HostID, error)
	// ChangeRoster adds hosts to the roster and drops others from it.
	ChangeRoster(ctx context.Context, centre DataCentreID, added, dropped []HostID) error
	// MarkAccepted records that the revision and all before it are accepted.
	MarkAccepted(ctx context.Context, revision Revision) error
}

// ReleaseConflict says that a note lost against another one. It matches ErrConflict.
type ReleaseConflict struct {
	// Revision is the newest commit that overlaps.
	Revision Revision
	// Items are the items that both notes name, as "Keys[id]".
	Items []string
	// Reason is set when the conflict is not about items.
	Reason string
}

// Error names the revision and the items.
func (c *ReleaseConflict) Error() string {
	if c.Reason != "" {
		return fmt.Sprintf("conflict with revision %d: %s", c.Revision, c.Reason)
	}
	return fmt.Sprintf("conflict with revision %d over %s", c.Revision, strings.Join(c.Items, ", "))
}

// Is reports whether target is ErrConflict.
func (c *ReleaseConflict) Is(target error) bool { return target == ErrConflict }

// ReleaseCentre tells how far a data centre is with a revision.
type ReleaseCentre struct {
	DataCentre DataCentreID
	// Revision is the newest that the data centre's hub holds, as heard.
	Revision Revision
	// InForce says that a majority of the data centre's hosts was heard to hold
	// the revision in question.
	InForce bool
	// Hosts counts the hosts that may be alive; Behind names some that were not
	// heard to hold the hub's revision.
	Hosts  int
	Behind []HostID
	// Until is when the data centre can no longer serve by an older revision;
	// zero when that is not known yet.
	Until time.Time
	// Heard is when the data centre was last heard.
	Heard time.Time
}

// ReleaseProgress tells how far all data centres are with a revision.
type ReleaseProgress struct {
	Revision Revision
	Accepted bool
	// Centres are sorted by id. They are empty while this host has not heard of them.
	Centres []ReleaseCentre
}

// ReleaseTracker is what operators ask of the host's part in the distribution.
type ReleaseTracker interface {
	Configurations
	// Learn brings in a commit that this host made.
	Learn(now time.Time, result ReleaseResult)
	// Recent returns the revision of a note that this host learnt of lately.
	Recent(id NoteID) (Revision, bool)
	// Progress tells how far the revision is, and keeps asking for news of it.
	Progress(now time.Time, revision Revision) ReleaseProgress
}
