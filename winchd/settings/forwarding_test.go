package settings

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func parseEvacuate(field string) (ForwardingBounds, error) {
	const template = `{"Host":"h","DataCentre":"a","DataCentres":["a"],"Caller":{"Address":"127.0.0.1:1","ReadyAddress":"127.0.0.1:2"},` +
		`"Peer":{"Address":"127.0.0.1:3"},"Store":{"Address":"127.0.0.1:4"},"Bounds":{%s}}`
	loaded, err := ParseForwarding(fmt.Appendf(nil, template, field))
	return loaded.Bounds, err
}

func TestBoundOfEvacuations(t *testing.T) {
	for field, want := range map[string]time.Duration{"": 0, `"Evacuate":"0ms"`: 0, `"Evacuate":"5000ms"`: 5 * time.Second} {
		t.Run(field, func(t *testing.T) {
			bounds, err := parseEvacuate(field)
			assert.NilError(t, err)
			assert.Equal(t, bounds.Evacuate, want)
		})
	}
	t.Run("negative", func(t *testing.T) {
		_, err := parseEvacuate(`"Evacuate":"-1s"`)
		assert.ErrorIs(t, err, ErrInvalid)
		assert.ErrorContains(t, err, "Bounds.Evacuate")
	})
}
