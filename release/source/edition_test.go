package source

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestOrderOfEditions(t *testing.T) {
	older, newer := edition{revision: 3, digest: 1, version: 90}, edition{revision: 5, digest: 2, version: 80}
	assertNewer := func(t *testing.T, newer, older edition) {
		t.Helper()
		assert.Assert(t, newer.newerThan(older) && !older.newerThan(newer))
		assert.Assert(t, !newer.same(older) && !older.same(newer))
	}
	t.Run("the revision decides, also against the version", func(t *testing.T) {
		assertNewer(t, newer, older)
		assert.Assert(t, older.isWrittenAfter(newer))
	})
	t.Run("the version decides between contents of one revision", func(t *testing.T) {
		assertNewer(t, edition{revision: 5, digest: 3, version: 81}, newer)
	})
	t.Run("what is written again is the same", func(t *testing.T) {
		again := edition{revision: 5, digest: 2, version: 95}
		assert.Assert(t, again.same(newer) && !again.newerThan(newer) && !newer.newerThan(again))
	})
	t.Run("none is older than all, and not the same as itself", func(t *testing.T) {
		assertNewer(t, older, edition{})
		assert.Assert(t, !edition{}.newerThan(edition{}) && !edition{}.same(edition{}))
	})
	t.Run("a successor is the oldest newer one", func(t *testing.T) {
		assertNewer(t, older.successor(), older)
		assertNewer(t, newer, older.successor())
		next := edition{revision: 3, digest: 9, version: 91}
		assert.Assert(t, !older.successor().newerThan(next))
		assertNewer(t, edition{}.successor(), edition{})
	})
}
