package source

import (
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// TestOlderReadingIsLoggedOncePerChange guards against a store that comes back from an older copy without a trace in the log.
func TestOlderReadingIsLoggedOncePerChange(t *testing.T) {
	log := &strings.Builder{}
	source := &fakeSource{version: 9, hasKey: true}
	host, err := New(Options{Source: source, Clock: &fakeClock{now: start}, Logger: hclog.New(&hclog.LoggerOptions{Output: log, JSONFormat: true})})
	assert.NilError(t, err)
	assertLines := func(t *testing.T, want int) {
		t.Helper()
		assert.Equal(t, strings.Count(log.String(), `"Event":4307`), want, log.String())
	}
	host.Step(t.Context())
	assertLines(t, 0)
	source.version = 5
	host.Step(t.Context())
	host.Step(t.Context())
	assertLines(t, 1)
	assert.Assert(t, strings.Contains(log.String(), `"ReadRevision":0,"ReadVersion":5,"Revision":0,"Version":9`), log.String())
	source.version = 6
	host.Step(t.Context())
	assertLines(t, 2)
	source.version = 10
	host.Step(t.Context())
	assertLines(t, 2)
}
