package keyvalue

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/keyvalue/memory"
)

type fixedClock struct{ now time.Time }

func (c *fixedClock) Now() time.Time { return c.now }

func newHistory(t *testing.T, store winch.KeyValue, common time.Time) *History {
	t.Helper()
	history, err := New(Options{Store: store, Clock: &fixedClock{now: common}})
	assert.NilError(t, err)
	return history
}

func TestHistory(t *testing.T) {
	store := memory.New()
	common, steady := time.Unix(1_700_000_000, 0), time.Unix(50, 0)
	first := newHistory(t, store, common)
	served, err := first.Load(t.Context(), steady)
	assert.NilError(t, err)
	assert.Equal(t, len(served), 0)
	assert.NilError(t, first.Save(t.Context(), steady, []winch.ServedSoftware{
		{Model: "m", Software: "v1", At: steady.Add(-10 * time.Second)}, {Model: "m", Software: "v2", At: steady},
	}))
	t.Run("a host that starts later learns what served and what had ended", func(t *testing.T) {
		later := time.Unix(7, 0)
		served, err := newHistory(t, store, common.Add(5*time.Second)).Load(t.Context(), later)
		assert.NilError(t, err)
		assert.DeepEqual(t, served, []winch.ServedSoftware{
			{Model: "m", Software: "v1", At: later.Add(-15*time.Second + clockMargin)}, {Model: "m", Software: "v2", At: later},
		})
	})
	t.Run("a clock that runs behind makes no version end in the future", func(t *testing.T) {
		served, err := newHistory(t, store, common.Add(-time.Hour)).Load(t.Context(), steady)
		assert.NilError(t, err)
		assert.Equal(t, served[0].At, steady)
	})
	t.Run("what another host has saved is not overwritten unseen", func(t *testing.T) {
		other := newHistory(t, store, common)
		assert.ErrorIs(t, other.Save(t.Context(), steady, nil), winch.ErrConflict)
		_, err := other.Load(t.Context(), steady)
		assert.NilError(t, err)
		assert.NilError(t, other.Save(t.Context(), steady, nil))
		assert.ErrorIs(t, first.Save(t.Context(), steady, nil), winch.ErrConflict)
	})
	t.Run("an entry that cannot be read is an error", func(t *testing.T) {
		_, err := store.Put(t.Context(), Key, []byte("{"), winch.VersionAny)
		assert.NilError(t, err)
		_, err = first.Load(t.Context(), steady)
		assert.ErrorIs(t, err, winch.ErrInvalid)
	})
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`[{"Model":"m","Software":"v1","Ended":1}]`))
	f.Fuzz(func(_ *testing.T, value []byte) { _, _ = decode(value, time.Unix(1, 0), time.Unix(2, 0)) })
}
