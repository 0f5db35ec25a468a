package winch

import (
	"context"
	"time"
)

// Version is the key-value service's revision at an entry's last change. It
// grows over all keys and is never reused. As an expectation, VersionAbsent
// asks that the key does not exist and VersionAny asks nothing.
type Version int64

// The expectations that are not versions.
const (
	VersionAny    Version = -1
	VersionAbsent Version = 0
)

// Entry is a key of the key-value service with its value.
type Entry struct {
	Key     string
	Value   []byte
	Version Version
	// Deleted is set in watch results only.
	Deleted bool
}

// KeyValue is the platform's key-value service. Values hold at most a megabyte.
//
// Errors: ErrNotFound, ErrConflict, ErrRateLimited and ErrUnavailable say that
// the call had no effect. ErrOutcomeUnknown says that a write may have taken
// effect; the writer learns it by reading its own write back.
type KeyValue interface {
	Get(ctx context.Context, key string) (Entry, error)
	List(ctx context.Context, prefix string) ([]Entry, Version, error)
	// Put writes the value when the entry's version is as expected.
	Put(ctx context.Context, key string, value []byte, expect Version) (Version, error)
	Delete(ctx context.Context, key string, expect Version) error
	// Watch waits until something below prefix changed after the version, or
	// until wait is over, and returns the changes and the version to go on from.
	Watch(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Entry, Version, error)
}

// Term is the time during which a process is in charge of a duty.
type Term struct {
	Duty   Duty
	Number FencingNumber
	// ValidUntil is the end of the term by the holder's own clock.
	ValidUntil time.Time
}

// Charge tells whether this process is in charge of a duty.
type Charge interface {
	// Term returns the valid term, if this process holds one that has begun:
	// the predecessor's orders can no longer be on their way.
	Term(now time.Time) (Term, bool)
}
