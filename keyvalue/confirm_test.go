package keyvalue_test

import (
	"bytes"
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/keyvalue"
	"github.com/arbutuswinch/winch/keyvalue/memory"
)

func TestPutConfirmed(t *testing.T) {
	ctx := t.Context()
	mine := []byte("mine")
	isMine := func(value []byte) bool { return bytes.Equal(value, mine) }
	t.Run("lost response", func(t *testing.T) {
		store := memory.New()
		store.LoseResponses(1)
		version, err := keyvalue.PutConfirmed(ctx, store, "a", mine, winch.VersionAbsent, isMine)
		assert.NilError(t, err)
		assert.Equal(t, version, winch.Version(1))
	})
	t.Run("lost response of an earlier attempt", func(t *testing.T) {
		store := memory.New()
		// The first put stands for an attempt whose response was lost.
		_, err := store.Put(ctx, "a", mine, winch.VersionAbsent)
		assert.NilError(t, err)
		version, err := keyvalue.PutConfirmed(ctx, store, "a", mine, winch.VersionAbsent, isMine)
		assert.NilError(t, err)
		assert.Equal(t, version, winch.Version(1))
	})
	t.Run("conflict", func(t *testing.T) {
		store := memory.New()
		_, err := store.Put(ctx, "a", []byte("other"), winch.VersionAbsent)
		assert.NilError(t, err)
		_, err = keyvalue.PutConfirmed(ctx, store, "a", mine, winch.VersionAbsent, isMine)
		assert.Assert(t, errors.Is(err, winch.ErrConflict))
	})
	t.Run("outage is returned as unavailable", func(t *testing.T) {
		store := memory.New()
		store.SetOutage(true)
		_, err := keyvalue.PutConfirmed(ctx, store, "a", mine, winch.VersionAbsent, isMine)
		assert.Assert(t, errors.Is(err, winch.ErrUnavailable))
	})
}

// nextEraStore loses the response to each write. Its reads return the copy, in the next era.
type nextEraStore struct {
	*memory.Store
	copied winch.Entry
}

func (s *nextEraStore) Put(context.Context, string, []byte, winch.Version) (winch.Version, error) {
	return 0, winch.ErrOutcomeUnknown
}

func (s *nextEraStore) Get(context.Context, string) (winch.Entry, error) { return s.copied, nil }

// TestPutConfirmedAcrossEras guards against a conflict that is reported although the write may still find the revision that it expects.
func TestPutConfirmedAcrossEras(t *testing.T) {
	version, err := winch.NewVersion(1, 7)
	assert.NilError(t, err)
	store := &nextEraStore{copied: winch.Entry{Key: "a", Value: []byte("copied"), Version: version}}
	_, err = keyvalue.PutConfirmed(t.Context(), store, "a", []byte("mine"), 7, func([]byte) bool { return false })
	assert.ErrorIs(t, err, winch.ErrOutcomeUnknown)
	assert.Assert(t, !errors.Is(err, winch.ErrConflict))
}
