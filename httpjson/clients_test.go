package httpjson

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestClients(t *testing.T) {
	clients := NewClients(Options{Secret: "s"})
	first, err := clients.To("127.0.0.1:1")
	assert.NilError(t, err)
	again, err := clients.To("127.0.0.1:1")
	assert.NilError(t, err)
	other, err := clients.To("127.0.0.1:2")
	assert.NilError(t, err)
	assert.Assert(t, first == again && first != other)
	assert.Equal(t, other.options.Address, "127.0.0.1:2")
	assert.Equal(t, other.options.Secret, "s")
}
