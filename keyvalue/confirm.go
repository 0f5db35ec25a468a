// Package keyvalue helps writers of the platform's key-value service to learn
// what became of a write whose answer was lost.
//
// A value carries its writer's incarnation and a write id, so that the writer
// recognises its own write when it reads the entry back. A conflict is never
// assumed from a timeout.
//
// # Usage
//
//	version, err := keyvalue.PutConfirmed(ctx, store, key, value, expect, func(found []byte) bool {
//		return decode(found).Write == mine
//	})
//
// The errors are those of winch.KeyValue. ErrOutcomeUnknown remains only when the
// entry could not be read back either; a value that was overwritten by a later
// writer counts as a conflict, as its own effect is over.
package keyvalue

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/arbutuswinch/winch"
)

const (
	// readBackTries is how often an entry is read back before its write stays unknown.
	readBackAttempts = 3
	// readBackPause is the time between two tries.
	readBackPause = 20 * time.Millisecond
)

// IsOwnWrite reports whether the value is the one that the writer tried to write.
type IsOwnWrite func(value []byte) bool

// PutConfirmed puts the value. When the answer is lost it reads the entry back:
// its own value means that the write took effect, and the returned version is
// its version; an entry that still has the expected version, or another value,
// is answered with ErrOutcomeUnknown or ErrConflict.
//
// An unchanged entry is not proof: the write may still be on its way. Put the same
// value with the same expectation again, or take the write as possibly effective.
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
		return 0, fmt.Errorf("put %s: version is %d: %w", key, entry.Version, winch.ErrConflict)
	}
	return 0, err
}

// changed reports whether the entry is certainly no longer as the writer expected it.
func hasChanged(entry winch.Entry, found bool, expect winch.Version) bool {
	if expect == winch.VersionAny {
		return false
	}
	if !found {
		return expect != winch.VersionAbsent
	}
	return entry.Version != expect
}

// readBack reads the entry, more than once when the service does not answer.
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
