package winch

import (
	"testing"

	"gotest.tools/v3/assert"
)

func newVersion(t *testing.T, era Era, revision StoreRevision) Version {
	t.Helper()
	version, err := NewVersion(era, revision)
	assert.NilError(t, err)
	assert.Equal(t, version.Era(), era)
	assert.Equal(t, version.Revision(), revision)
	return version
}

func TestVersion(t *testing.T) {
	t.Run("rises with the era although the revision falls", func(t *testing.T) {
		assert.Assert(t, newVersion(t, 1, 1) > newVersion(t, 0, MaxStoreRevision))
		assert.Assert(t, newVersion(t, MaxEra, 1) > newVersion(t, MaxEra-1, MaxStoreRevision))
		assert.Assert(t, newVersion(t, MaxEra, MaxStoreRevision) > 0)
	})
	t.Run("is the revision while no era is known", func(t *testing.T) {
		assert.Equal(t, newVersion(t, 0, 117), Version(117))
	})
	t.Run("keeps the special values apart", func(t *testing.T) {
		for _, special := range []Version{VersionAny, VersionAbsent} {
			assert.Assert(t, special.Special())
			assert.Equal(t, special.Era(), Era(0))
			assert.Equal(t, special.Revision(), StoreRevision(special))
		}
		assert.Assert(t, !newVersion(t, 0, 1).Special())
	})
	t.Run("is bounded", func(t *testing.T) {
		for era, revision := range map[Era]StoreRevision{-1: 1, MaxEra + 1: 1, 0: -1, 1: MaxStoreRevision + 1} {
			_, err := NewVersion(era, revision)
			assert.ErrorIs(t, err, ErrInvalid)
		}
	})
}
