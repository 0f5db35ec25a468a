package check

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestCodesAreDocumented guards against a finding that the operators' page does not explain.
func TestCodesAreDocumented(t *testing.T) {
	source, err := os.ReadFile("codes.go")
	assert.NilError(t, err)
	page, err := os.ReadFile("../../docs/operators/configuration-check.md")
	assert.NilError(t, err)
	codes := regexp.MustCompile(`= "(\w+)"`).FindAllStringSubmatch(string(source), -1)
	assert.Assert(t, len(codes) > 50)
	for _, code := range codes {
		assert.Assert(t, strings.Contains(string(page), "`"+code[1]+"`"), "%s is not documented", code[1])
	}
}
