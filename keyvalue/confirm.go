// Package keyvalue finds out whether a write to the platform's key-value service took
// effect when its response was lost.
//
// The caller puts an id of the write into each value, by which it recognises its own write
// when the entry is read back. A lost response alone is never reported as a conflict.
//
// # Usage
//
//	version, err := keyvalue.PutConfirmed(ctx, store, key, value, expect, func(found []byte) bool {
//		return decode(found).Write == mine
//	})
//
// The errors are those of winch.KeyValue. After a lost response ErrOutcomeUnknown is returned
// if the entry could not be read back or was read back unchanged, and also if the entry holds
// another value and the expected version was winch.VersionAny. With any other expected
// version, a changed entry means ErrConflict: even if the value was written, a later writer
// has overwritten it.
package keyvalue

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/arbutuswinch/winch"
)

const (
	// readBackAttempts is the maximum number of attempts to read an entry back. After that the
	// outcome of the write stays unknown.
	readBackAttempts = 3
	// readBackPause is the time between two attempts.
	readBackPause = 20 * time.Millisecond
)

// IsOwnWrite reports whether the value is the one that the writer tried to write.
type IsOwnWrite func(value []byte) bool

// PutConfirmed puts the value. After a lost response or a conflict it reads the entry back.
// If the entry holds the writer's own value, the write took effect and the version of the
// entry is returned. Otherwise a conflict stays ErrConflict, also if the entry could not be
// read back. After a lost response the error is ErrConflict if another writer has certainly
// changed the entry, else ErrOutcomeUnknown.
//
// An unchanged entry does not prove that the write failed: it may still be in flight. Put
// the same value with the same expectation again, or assume that the write may take effect.
func PutConfirmed(ctx context.Context, store winch.KeyValue, key string, value []byte, expect winch.Version, isOwnWrite IsOwnWrite) (winch.Version, error) {
	version, err := store.Put(ctx, key, value, expect)
	if !errors.Is(err, winch.ErrOutcomeUnknown) && !errors.Is(err, winch.ErrConflict) {
		return version, err
	}
	entry, found, readErr := readBack(ctx, store, key)
	if readErr != nil {
		if errors.Is(err, winch.ErrConflict) {
			return 0, err
		}
		return 0, fmt.Errorf("read back %s: %w: %w", key, winch.ErrOutcomeUnknown, readErr)
	}
	if found && isOwnWrite(entry.Value) {
		return entry.Version, nil
	}
	if errors.Is(err, winch.ErrConflict) || hasChanged(entry, found, expect) {
		return 0, fmt.Errorf("put %s: entry has version %d (0: no entry): %w", key, entry.Version, winch.ErrConflict)
	}
	return 0, err
}

// hasChanged reports whether the entry certainly no longer has the expected version. A version from another era of the service does not
// show it: the entry may be as it was, and a write that is still in flight may find its revision again.
func hasChanged(entry winch.Entry, found bool, expect winch.Version) bool {
	if expect == winch.VersionAny {
		return false
	}
	if !found {
		return expect != winch.VersionAbsent
	}
	return entry.Version != expect && entry.Version.Era() == expect.Era()
}

// readBack reads the entry and reports whether it exists. It retries after any other error than
// winch.ErrNotFound.
func readBack(ctx context.Context, store winch.KeyValue, key string) (winch.Entry, bool, error) {
	var lastErr error
	for range readBackAttempts {
		entry, err := store.Get(ctx, key)
		if err == nil {
			return entry, true, nil
		}
		if errors.Is(err, winch.ErrNotFound) {
			return winch.Entry{}, false, nil
		}
		lastErr = err
		if !sleep(ctx, readBackPause) {
			break
		}
	}
	return winch.Entry{}, false, lastErr
}

func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
