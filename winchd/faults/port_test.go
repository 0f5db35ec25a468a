package faults

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestPortsAreReservedOnce: a port that was given up for a host to listen on is not given to another test.
func TestPortsAreReservedOnce(t *testing.T) {
	const ports = 400
	seen := map[string]bool{}
	for range ports {
		listener := reservePort(t)
		address := listener.Addr().String()
		assert.NilError(t, listener.Close())
		assert.Assert(t, !seen[address], "%s was reserved twice", address)
		seen[address] = true
	}
}
