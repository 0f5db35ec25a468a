package endpoint

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

func TestLowerTierPrefill(t *testing.T) {
	tc := newTestCore(twoClasses(2, 8))
	busy, other := tc.sortedEndpoints[0], tc.sortedEndpoints[1]
	place := func(id int, tokens winch.Tokens, away *endpoint) *request {
		work := workOf(background, id)
		work.InputTokens, work.Excluded = tokens, []winch.EndpointID{away.spec.ID}
		return tc.arrive(tc.now, work, nil, &progress{})
	}
	long := place(1, 10_000, other)
	place(2, 10, busy)
	place(3, 10, busy)
	t.Run("keeps urgent requests away until the prompt has been processed", func(t *testing.T) {
		assert.Equal(t, tc.request(interactive, 4).endpoint, other)
	})
	t.Run("is subtracted at the first token", func(t *testing.T) {
		long.progress.first.Store(tc.now.UnixNano())
		tc.readAllProgress(tc.now, busy)
		assert.Equal(t, busy.lowerTierPrefill, winch.Tokens(0))
		assert.Equal(t, tc.request(interactive, 5).endpoint, busy)
	})
	t.Run("is subtracted when the request ends", func(t *testing.T) {
		left := place(6, 10_000, other)
		assert.Equal(t, busy.lowerTierPrefill, winch.Tokens(10_000))
		tc.release(tc.now, left, winch.OutcomeCancelled)
		assert.Equal(t, busy.lowerTierPrefill, winch.Tokens(0))
	})
}
