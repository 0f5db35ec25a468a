package settings

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestOptionalParts guards against a part that is asked for and has no effect, and against two that do harm together.
func TestOptionalParts(t *testing.T) {
	parsed := DefaultForwarding()
	parsed.Dispatch.CachedPrompts = true
	assert.ErrorContains(t, parsed.check(), "Dispatch.CachedPrompts")
	parsed.Dispatch.EngineMemory = true
	assert.Assert(t, !strings.Contains(fmt.Sprint(parsed.check()), "Dispatch."))
	parsed.Dispatch.BeginWithinDeadline = true
	assert.ErrorContains(t, parsed.check(), "excludes Dispatch.BeginWithinDeadline")
}

func TestLimits(t *testing.T) {
	for _, test := range []struct {
		name    string
		limits  Limits
		problem string
	}{
		{"none", Limits{}, ""},
		{"all", Limits{Memory: 112e6, RequestMemory: 40e6, Connections: 500}, ""},
		{"negative memory", Limits{Memory: -1}, "Limits.Memory"},
		{"budget below a body", Limits{RequestMemory: 1 << 20}, "Limits.RequestMemory"},
		{"budget above the memory", Limits{Memory: 40e6, RequestMemory: 50e6}, "Limits.RequestMemory"},
		{"negative connections", Limits{Connections: -1}, "Limits.Connections"},
	} {
		t.Run(test.name, func(t *testing.T) { assertProblem(t, test.limits.check(), test.problem) })
	}
}

// assertProblem checks that the only problem names the field, or that there is none if the field is empty.
func assertProblem(t *testing.T, problems []error, field string) {
	t.Helper()
	if field == "" {
		assert.Equal(t, len(problems), 0)
		return
	}
	assert.Equal(t, len(problems), 1)
	assert.ErrorContains(t, problems[0], field)
}

func TestForwardingLimits(t *testing.T) {
	for _, test := range []struct {
		name    string
		limits  ForwardingLimits
		problem string
	}{
		{"none", ForwardingLimits{}, ""},
		{"all", ForwardingLimits{Memory: 112e6, RequestMemory: 40e6, Connections: 500, Processors: 0.4}, ""},
		{"negative memory", ForwardingLimits{Memory: -1}, "Limits.Memory"},
		{"budget below a body", ForwardingLimits{RequestMemory: 1 << 20}, "Limits.RequestMemory"},
		{"budget above the memory", ForwardingLimits{Memory: 40e6, RequestMemory: 50e6}, "Limits.RequestMemory"},
		{"negative connections", ForwardingLimits{Connections: -1}, "Limits.Connections"},
		{"negative processors", ForwardingLimits{Processors: -1}, "Limits.Processors"},
	} {
		t.Run(test.name, func(t *testing.T) { assertProblem(t, test.limits.check(), test.problem) })
	}
}
