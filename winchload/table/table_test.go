package table

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch/winchload/result"
)

func TestWrite(t *testing.T) {
	of := func(label string, seed uint64, attainment float64) result.Result {
		return result.Result{Label: label, Seed: seed, Classes: []result.Group{{Name: "talk", Attainment: attainment}}}
	}
	out := strings.Builder{}
	assert.NilError(t, Write(&out, []result.Result{of("A", 1, 0.5), of("B", 1, 0.25), of("A", 2, 0.75)}))
	lines := strings.Split(out.String(), "\n")
	assert.Equal(t, lines[0], "| measure | A (seeds 1, 2) | B (seeds 1) |")
	assert.Equal(t, lines[2], "| attainment, talk | 0.625 (0.500 to 0.750) | 0.250 |")
}
