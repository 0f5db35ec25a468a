package settings

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func TestQuarantineSettings(t *testing.T) {
	const template = `{"Host":"h","DataCentre":"a","DataCentres":["a"],"Caller":{"Address":"127.0.0.1:1","ReadyAddress":"127.0.0.1:2"},
 "Peer":{"Address":"127.0.0.1:3"},"Store":{"Address":"127.0.0.1:4"},"Quarantine":%s}`
	t.Run("parts as in the log", func(t *testing.T) {
		loaded, err := ParseForwarding(fmt.Appendf(nil, template, `{"Disabled":true,"Exempt":["5c1e07a2"]}`))
		assert.NilError(t, err)
		assert.DeepEqual(t, loaded.Quarantine, ForwardingQuarantine{Disabled: true, Exempt: []string{"5c1e07a2"}})
	})
	t.Run("a part that is no hexadecimal number is named", func(t *testing.T) {
		_, err := ParseForwarding(fmt.Appendf(nil, template, `{"Exempt":["a","xyz"]}`))
		assert.ErrorIs(t, err, ErrInvalid)
		assert.ErrorContains(t, err, "Quarantine.Exempt[1]")
	})
}
