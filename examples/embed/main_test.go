package main

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func TestRun(t *testing.T) {
	out := &bytes.Buffer{}
	assert.NilError(t, run(out))
	var first, second int
	_, err := fmt.Sscanf(out.String(), "first holds the lease for nightly-report with fencing number %d\nsecond holds the lease for nightly-report with fencing number %d\n", &first, &second)
	assert.NilError(t, err)
	assert.Assert(t, second > first)
}
