package winch

import (
	"context"
	"time"
)

// Entry is a key-value pair with its version.
type Entry struct {
	Key     string
	Value   []byte
	Version Version
	// Deleted is set only in watch results.
	Deleted bool
}

// KeyValue is the platform's key-value service. Values are limited to one megabyte.
//
// Errors: ErrNotFound, ErrConflict, ErrRateLimited and ErrUnavailable mean that
// the call had no effect. ErrOutcomeUnknown means that a write may have taken
// effect; the writer must read the key back to find out.
type KeyValue interface {
	Get(ctx context.Context, key string) (Entry, error)
	List(ctx context.Context, prefix string) ([]Entry, Version, error)
	// Put writes the value if the entry has the expected version.
	Put(ctx context.Context, key string, value []byte, expect Version) (Version, error)
	Delete(ctx context.Context, key string, expect Version) error
	// Watch waits until a key with the prefix changes after the version, or until
	// wait has elapsed. It returns the changes and the version to continue from.
	Watch(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Entry, Version, error)
}

// LongRead bounds a read whose value may be so large that it takes long to arrive.
type LongRead struct {
	// StallLimit is the time without a byte of the response after which the read is given up.
	StallLimit time.Duration
	// Changed, if not nil, is called when it is known that the entry has changed, before its value has arrived.
	Changed func()
}

// LargeReader reads entries whose values may be large. The errors are those of KeyValue.Get.
type LargeReader interface {
	// GetLarge returns the entry of the key with its value. LongRead.Changed is not called.
	GetLarge(ctx context.Context, key string, read LongRead) (Entry, error)
	// GetIfChanged returns the entry of the key, without its value if it still has the known version. The read is linearizable. It counts
	// as a write, whose response may be lost where that of GetLarge is not.
	GetIfChanged(ctx context.Context, key string, known Version, read LongRead) (Entry, error)
}

// Term is the period during which a process holds the lease of a duty.
type Term struct {
	Duty   Duty
	Number FencingNumber
	// ValidUntil is the end of the term by the holder's own clock.
	ValidUntil time.Time
}

// Lease states whether this process holds the lease of a duty.
type Lease interface {
	// Term returns the current term. It returns false if this process does not hold the lease,
	// or if the term has not begun yet: a term begins only when no call of the previous lease
	// holder can still be in flight.
	Term(now time.Time) (Term, bool)
}
