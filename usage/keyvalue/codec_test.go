package keyvalue

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// TestEraOfHead guards against heads of an earlier software version whose windows are closed although the era has not changed.
func TestEraOfHead(t *testing.T) {
	number, err := winch.NewVersion(2, 7)
	assert.NilError(t, err)
	t.Run("a head without the field is of the era of its term", func(t *testing.T) {
		head, err := DecodeHead([]byte(`{"FencingNumber": 2199023255559, "Last": 60}`))
		assert.NilError(t, err)
		assert.Equal(t, head.Number, winch.FencingNumber(number))
		assert.Equal(t, head.Era, winch.Era(2))
	})
	for _, era := range []winch.Era{0, 1, 2} {
		value, err := EncodeHead(Head{Number: winch.FencingNumber(number), Era: era})
		assert.NilError(t, err)
		head, err := DecodeHead(value)
		assert.NilError(t, err)
		assert.Equal(t, head.Era, era)
	}
}
