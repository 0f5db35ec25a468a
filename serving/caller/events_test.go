package caller

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// TestEventsPage checks that docs/EVENTS.md lists exactly the events that the packages below
// serving declare.
func TestEventsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	assert.NilError(t, err)
	_, section, found := strings.Cut(string(page), "## 2000 Serving")
	assert.Assert(t, found)
	section, _, _ = strings.Cut(section, "\n## ")
	documented := strings.Count(section, "\n| 2")
	declared := 0
	for _, file := range []string{"events.go", "../keyvalue/events.go", "../forward/events.go"} {
		source, err := os.ReadFile(file)
		assert.NilError(t, err)
		for _, line := range strings.Split(string(source), "\n") {
			name, rest, found := strings.Cut(strings.TrimSpace(line), " winch.EventNumber = ")
			if !found {
				continue
			}
			declared++
			assert.Assert(t, cmp.Contains(section, "| "+rest+" | "+name+" |"))
		}
	}
	assert.Equal(t, documented, declared)
}
