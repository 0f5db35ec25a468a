package era

import (
	"bytes"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// TestLogOfANewEra guards against a return of the service that leaves no line, or one for each answer.
func TestLogOfANewEra(t *testing.T) {
	log := &bytes.Buffer{}
	tracker, err := New(Options{Logger: hclog.New(&hclog.LoggerOptions{Output: log, JSONFormat: true})})
	assert.NilError(t, err)
	for _, answer := range []Answer{unnamed(100), unnamed(90), unnamed(91)} {
		_, err := tracker.Answered(tracker.Begin(), answer)
		assert.NilError(t, err)
	}
	told, err := winch.NewVersion(3, 50)
	assert.NilError(t, err)
	assert.NilError(t, tracker.Learned(told, "b"))
	assert.Equal(t, tracker.Newest(), winch.Era(3))
	assert.Equal(t, tracker.Position(), told)
	assert.ErrorIs(t, tracker.Learned(-1, "b"), winch.ErrInvalid)
	lines := strings.Split(strings.TrimSpace(log.String()), "\n")
	assert.Equal(t, len(lines), 2)
	for _, field := range []string{`"Era":1`, `"Revision":90`, `"FormerEra":0`, `"FormerRevision":100`, `"Source":"inferred"`} {
		assert.Assert(t, strings.Contains(lines[0], field), lines[0])
	}
	for _, field := range []string{`"Era":3`, `"FormerEra":1`, `"FormerRevision":91`, `"Source":"host"`, `"Host":"b"`} {
		assert.Assert(t, strings.Contains(lines[1], field), lines[1])
	}
}
