package memory

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

func TestStore(t *testing.T) {
	ctx := t.Context()
	t.Run("compare and swap", func(t *testing.T) {
		store := New()
		first, err := store.Put(ctx, "a", []byte("1"), winch.VersionAbsent)
		assert.NilError(t, err)
		_, err = store.Put(ctx, "a", []byte("2"), winch.VersionAbsent)
		assert.Assert(t, errors.Is(err, winch.ErrConflict))
		second, err := store.Put(ctx, "a", []byte("3"), first)
		assert.NilError(t, err)
		assert.Assert(t, second > first)
	})
	t.Run("versions are not reused after a delete", func(t *testing.T) {
		store := New()
		first, err := store.Put(ctx, "a", nil, winch.VersionAny)
		assert.NilError(t, err)
		assert.NilError(t, store.Delete(ctx, "a", first))
		second, err := store.Put(ctx, "a", nil, winch.VersionAbsent)
		assert.NilError(t, err)
		// The delete has a version of its own between the two.
		assert.Assert(t, second > first+1)
	})
	t.Run("lost response after the write took effect", func(t *testing.T) {
		store := New()
		store.LoseResponses(1)
		_, err := store.Put(ctx, "a", []byte("1"), winch.VersionAbsent)
		assert.Assert(t, errors.Is(err, winch.ErrOutcomeUnknown))
		entry, err := store.Get(ctx, "a")
		assert.NilError(t, err)
		assert.Equal(t, string(entry.Value), "1")
	})
	t.Run("outage", func(t *testing.T) {
		store := New()
		store.SetOutage(true)
		_, err := store.Get(ctx, "a")
		assert.Assert(t, errors.Is(err, winch.ErrUnavailable))
	})
	t.Run("watch", func(t *testing.T) {
		store := New()
		done := make(chan []winch.Entry)
		go func() {
			entries, _, _ := store.Watch(ctx, "a/", 0, 10*time.Second)
			done <- entries
		}()
		_, err := store.Put(ctx, "b/1", nil, winch.VersionAny)
		assert.NilError(t, err)
		_, err = store.Put(ctx, "a/1", nil, winch.VersionAny)
		assert.NilError(t, err)
		entries := <-done
		assert.Equal(t, len(entries), 1)
		assert.Equal(t, entries[0].Key, "a/1")
	})
}
