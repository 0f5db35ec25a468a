package table

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch/winchload/result"
)

func TestWrite(t *testing.T) {
	newResult := func(label string, seed uint64, attainment float64) result.Result {
		return result.Result{Label: label, Seed: seed, Classes: []result.Group{{Name: "talk", Attainment: attainment}}}
	}
	out := strings.Builder{}
	assert.NilError(t, Write(&out, []result.Result{newResult("A", 1, 0.5), newResult("B", 1, 0.25), newResult("A", 2, 0.75)}))
	lines := strings.Split(out.String(), "\n")
	assert.Equal(t, lines[0], "| measure | A (seeds 1, 2) | B (seeds 1) |")
	assert.Equal(t, lines[2], "| attainment, talk | 0.625 (0.500 to 0.750) | 0.250 |")
}

func TestWriteScenarios(t *testing.T) {
	newResult := func(name, label, class string, cut int) result.Result {
		return result.Result{
			Experiment: name, Label: label, Seed: 1, Classes: []result.Group{{Name: class, Attainment: 0.5}},
			Total: result.Group{Cut: cut}, Audit: &result.Audit{ShedTrue: 7},
		}
	}
	out := strings.Builder{}
	assert.NilError(t, WriteScenarios(&out, []result.Result{newResult("two", "A", "talk", 3), newResult("one", "B", "talk", 1), newResult("one", "A", "talk", 2), newResult("other", "A", "hold", 4)}))
	lines := strings.Split(out.String(), "\n")
	assert.Assert(t, strings.HasPrefix(lines[0], "| scenario | policy | seeds | attainment, talk | attainment, worst organisation |"))
	for i, start := range []string{"| one | A | 1 | 0.500 |", "| one | B | 1 |", "| two | A | 1 |"} {
		assert.Assert(t, strings.HasPrefix(lines[2+i], start), lines[2+i])
	}
	assert.Assert(t, strings.HasSuffix(lines[2], "| 2 | 0 | 0 | 0 | 7 | 0 | 0 | 0 |"), lines[2])
	assert.Assert(t, strings.Contains(lines[6], "attainment, hold"))
}
