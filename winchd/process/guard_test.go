package process

import (
	"bytes"
	"math"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/metric/noop"
	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch/internal/connlimit"
	"github.com/arbutuswinch/winch/internal/memory"
)

func TestCallerConnections(t *testing.T) {
	const descriptors = 3075
	for _, test := range []struct {
		name        string
		set         int
		budget      int64
		descriptors uint64
		want        int
	}{
		{"half of the budget", 0, 40 << 20, descriptors, 20 << 20 / connlimit.ConnectionCost},
		{"descriptors", 0, 1 << 30, descriptors, 1725},
		{"as set", 100, 1 << 30, descriptors, 100},
		{"set above the descriptors", 100_000, 1 << 30, descriptors, 1725},
		{"no limit of descriptors", 0, 40 << 20, math.MaxUint64, 20 << 20 / connlimit.ConnectionCost},
		{"few descriptors", 0, 40 << 20, 100, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, callerConnections(test.set, test.budget, test.descriptors), test.want)
		})
	}
}

func TestGuardUsesTheSetBudget(t *testing.T) {
	guard, err := NewGuard(GuardLimits{RequestMemory: 9 << 20}, hclog.NewNullLogger(), noop.Meter{})
	assert.NilError(t, err)
	assert.Equal(t, guard.Budget().Usage().Size, int64(9<<20))
}

// TestGuardUsesTheRuntimesLimit guards against a budget above the limit that GOMEMLIMIT sets.
func TestGuardUsesTheRuntimesLimit(t *testing.T) {
	const limit = 200 << 20
	previous := debug.SetMemoryLimit(limit)
	t.Cleanup(func() { debug.SetMemoryLimit(previous) })
	size := func(limits GuardLimits) int64 {
		guard, err := NewGuard(limits, hclog.NewNullLogger(), noop.Meter{})
		assert.NilError(t, err)
		return guard.Budget().Usage().Size
	}
	t.Run("where nothing is set", func(t *testing.T) { assert.Equal(t, size(GuardLimits{}), memory.BudgetSize(limit)) })
	t.Run("not where the budget is set", func(t *testing.T) { assert.Equal(t, size(GuardLimits{RequestMemory: 9 << 20}), int64(9<<20)) })
	t.Run("not where the memory is set", func(t *testing.T) {
		assert.Equal(t, size(GuardLimits{Memory: 112e6}), memory.BudgetSize(memory.SoftLimit(112e6)))
		assert.Equal(t, debug.SetMemoryLimit(-1), memory.SoftLimit(112e6))
	})
}

// TestSharesOfInternalPorts guards against ports of hosts and operators that take all descriptors or all memory.
func TestSharesOfInternalPorts(t *testing.T) {
	const descriptors, most, share = 3075, 4096, 20
	for _, test := range []struct {
		name        string
		guard       Guard
		descriptors uint64
		want        int
	}{
		{"descriptors", Guard{budget: memory.NewBudget(memory.DefaultBudget)}, descriptors, 575},
		{"share of a derived budget", Guard{limited: true, budget: memory.NewBudget(40 << 20)}, descriptors, 40 << 20 / 100 * share / connlimit.ConnectionCost},
		{"no limits", Guard{budget: memory.NewBudget(memory.DefaultBudget)}, math.MaxUint64, most},
		{"few descriptors", Guard{budget: memory.NewBudget(memory.DefaultBudget)}, 100, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, test.guard.shareConnections(most, share, test.descriptors), test.want)
		})
	}
}

// TestMemoryReport guards against a log line for each refusal.
func TestMemoryReport(t *testing.T) {
	lines, now := bytes.Buffer{}, time.Unix(0, 0)
	report := memoryReport{logger: hclog.New(&hclog.LoggerOptions{Output: &lines, JSONFormat: true})}
	refused := int64(0)
	for second := range 30 {
		if second >= 5 && second < 15 {
			refused += 100
		}
		report.report(now.Add(time.Duration(second)*time.Second), memory.Usage{Refused: memory.RefusalCounts{Client: refused}})
	}
	assert.Equal(t, strings.Count(lines.String(), "\n"), 2, lines.String())
	assert.Equal(t, strings.Count(lines.String(), `"Event":1008`), 1)
	assert.Equal(t, strings.Count(lines.String(), `"Event":1009`), 1)
	assert.Assert(t, strings.Contains(lines.String(), `"Client":1000`), lines.String())
}
