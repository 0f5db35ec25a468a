package faults

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestPortsAreReservedOnce verifies that a port is not reserved for another test after its
// listener was closed so that a host can listen on it.
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
