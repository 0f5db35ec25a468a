package keyvalue

import (
	"os"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"
)

// TestEvents holds the catalogue against the constants of this package.
func TestEvents(t *testing.T) {
	source, err := os.ReadFile("events.go")
	assert.NilError(t, err)
	page, err := os.ReadFile("../../docs/EVENTS.md")
	assert.NilError(t, err)
	constants := regexp.MustCompile(`(Event\w+) +winch.EventNumber = (\d+)`).FindAllStringSubmatch(string(source), -1)
	assert.Assert(t, len(constants) > 0)
	for _, constant := range constants {
		t.Run(constant[1], func(t *testing.T) {
			row := regexp.MustCompile(`(?m)^\| ` + constant[2] + ` \| ` + constant[1] + ` \|`)
			assert.Assert(t, row.Match(page))
		})
	}
}
