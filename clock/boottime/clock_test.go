package boottime

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestClockGoesForward(t *testing.T) {
	clock, err := New()
	assert.NilError(t, err)
	first := clock.Now()
	second := clock.Now()
	assert.Assert(t, !second.Before(first))
}
