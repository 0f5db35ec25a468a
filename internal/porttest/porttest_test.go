package porttest

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPortsAreNotThoseOfAnotherProcess guards against two test processes whose servers take each other's ports between two starts.
func TestPortsAreNotThoseOfAnotherProcess(t *testing.T) {
	start := ports.next.Add(100)
	own := newSequence(start).take(t, 20)
	others := newSequence(start).take(t, 20)
	for _, address := range others {
		assert.Assert(t, !slices.Contains(own, address), "both processes use %s", address)
	}
}

// TestPortsAreGivenOnce guards against a port that two tests of a process have.
func TestPortsAreGivenOnce(t *testing.T) {
	const count = 400
	seen := map[string]bool{}
	for _, address := range Free(t, count) {
		assert.Assert(t, !seen[address], "%s was given twice", address)
		seen[address] = true
	}
	assert.Equal(t, len(seen), count)
}
