package winch

import "fmt"

// Era counts how often the key-value service has come back from an older copy of itself, which loses writes that it had acknowledged and
// gives their revisions out again. It is zero while nothing is known of it.
type Era int64

// StoreRevision is the key-value service's change counter as the service tells it. It increases across all keys, but falls when a new
// Era begins. Zero means that none is known.
type StoreRevision int64

// Version is the position of a change in the history of the key-value service: the era in which it was read or written, and the revision
// in that era, in one number. It increases across all keys and eras and is never reused. An entry that was in the copy from which the
// service came back has a higher version afterwards, since its former one may stand for another write.
//
// In era zero the version is the revision itself.
type Version int64

// Special values for the expected version of a write. They belong to no era.
const (
	// VersionAny: the write succeeds in any state of the key.
	VersionAny Version = -1
	// VersionAbsent: the write succeeds only if the key does not exist.
	VersionAbsent Version = 0
)

// revisionBits is the number of low bits of a Version that hold the revision.
const revisionBits = 40

// MaxEra is the highest era that fits above the revision in a positive Version, and MaxStoreRevision the highest revision.
const (
	MaxEra           Era           = 1<<(63-revisionBits) - 1
	MaxStoreRevision StoreRevision = 1<<revisionBits - 1
)

// NewVersion returns the version of a revision in an era. The error matches ErrInvalid if one of them is out of range.
func NewVersion(era Era, revision StoreRevision) (Version, error) {
	if era < 0 || era > MaxEra || revision < 0 || revision > MaxStoreRevision {
		return 0, fmt.Errorf("version of revision %d in era %d: %w", revision, era, ErrInvalid)
	}
	return Version(int64(era)<<revisionBits | int64(revision)), nil
}

// Special reports whether the version is one of the special values, which stand for no change.
func (v Version) Special() bool { return v <= VersionAbsent }

// Era returns the era of the version, zero for the special values.
func (v Version) Era() Era { return Era(max(v, 0) >> revisionBits) }

// Revision returns the revision of the version within its era. The special values are returned unchanged.
func (v Version) Revision() StoreRevision {
	if v.Special() {
		return StoreRevision(v)
	}
	return StoreRevision(v) & MaxStoreRevision
}
