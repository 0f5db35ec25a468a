package settings

import (
	"testing"

	"gotest.tools/v3/assert"
)

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
		t.Run(test.name, func(t *testing.T) {
			problems := test.limits.check()
			if test.problem == "" {
				assert.Equal(t, len(problems), 0)
				return
			}
			assert.Equal(t, len(problems), 1)
			assert.ErrorContains(t, problems[0], test.problem)
		})
	}
}
