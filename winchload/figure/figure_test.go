package figure

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch/winchload/result"
)

func TestSave(t *testing.T) {
	path := filepath.Join(t.TempDir(), "run.svg")
	assert.NilError(t, Save(path, result.Result{
		Label: "Winch", Classes: []result.Group{{Name: "talk"}},
		Series: []result.Point{{Second: 0, Class: "talk", Offered: 2, Attained: 1}, {Second: 1, Class: "talk", Offered: 1, Attained: 1}},
	}))
	svg, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(svg), "Winch talk"))
}

func TestShares(t *testing.T) {
	points := []result.Point{}
	for second := range 8 {
		points = append(points, result.Point{Second: second, Class: "talk", Offered: 1, Attained: min(second, 1)})
	}
	plotted := shares(result.Result{Series: points}, "talk")
	assert.Equal(t, plotted[1].Y, 0.5)
	assert.Equal(t, plotted[7].Y, 1.0)
}
