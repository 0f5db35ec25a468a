package experiment

import (
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestCheckedInExperiments(t *testing.T) {
	paths, err := filepath.Glob("../../experiments/*.json")
	assert.NilError(t, err)
	scenarios, err := filepath.Glob("../../experiments/scenarios/*.json")
	assert.NilError(t, err)
	assert.Assert(t, len(paths) > 0 && len(scenarios) > 0)
	for _, path := range append(paths, scenarios...) {
		t.Run(filepath.Base(path), func(t *testing.T) {
			exp, err := Load(path)
			assert.NilError(t, err)
			assert.Assert(t, len(exp.Requests(1)) > 0)
			for _, group := range exp.Services {
				assert.Equal(t, exp.RouteOf(group.ServiceID(0)), group.Route)
			}
		})
	}
}

func TestUnknownFields(t *testing.T) {
	path := filepath.Join(t.TempDir(), "experiment.json")
	assert.NilError(t, os.WriteFile(path, []byte(`{"Rates": 3}`), 0o600))
	_, err := Load(path)
	assert.Assert(t, errors.Is(err, ErrInvalid))
	assert.ErrorContains(t, err, "Rates")
}

func write(t *testing.T, directory, name, text string) string {
	t.Helper()
	path := filepath.Join(directory, name)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestBase(t *testing.T) {
	directory := t.TempDir()
	write(t, directory, "base.json", `{"Name": "base", "Duration": "9s", "Rate": 4, "Organisations": [{"ID": "o", "Load": 3}],
		"Classes": [{"ID": "a", "Model": "m", "Share": 1}], "Faults": [{"Kind": "crash", "Targets": ["x"], "Count": 2}]}`)
	t.Run("fields of the base stay unless they are set", func(t *testing.T) {
		exp, err := Load(write(t, directory, "over.json", `{"Base": "base.json", "Name": "over", "Faults": [{"Kind": "leave", "Targets": ["y"]}]}`))
		assert.NilError(t, err)
		assert.Equal(t, exp.Name, "over")
		assert.Equal(t, exp.Duration, Duration(9*time.Second))
		assert.DeepEqual(t, exp.Faults, []Fault{{Kind: "leave", Targets: []string{"y"}}})
	})
	t.Run("a circle of files is an error", func(t *testing.T) {
		_, err := Load(write(t, directory, "circle.json", `{"Base": "circle.json"}`))
		assert.ErrorIs(t, err, ErrInvalid)
	})
}

func twoClasses() Experiment {
	return Experiment{
		Name: "test", Duration: Duration(100 * time.Second), Rate: 50,
		Bursts: []Burst{{Start: Duration(50 * time.Second), Length: Duration(10 * time.Second), Factor: 4, Classes: []string{"a"}, Organisations: []string{"small"}}},
		Classes: []Class{
			{ID: "a", Model: "m", Share: 0.8, OutputTokens: Lengths{Median: 100, Sigma: 0.5, Max: 150}},
			{ID: "b", Route: "r", Share: 0.2, Keyed: true},
		},
		Organisations: []Organisation{{ID: "large", Load: 9}, {ID: "small", Load: 1}},
		Faults:        []Fault{{At: Duration(time.Second), Spread: Duration(time.Second), Targets: []string{"x", "y"}, Kind: "crash"}},
	}
}

func count(requests []Request, matches func(Request) bool) float64 {
	total := 0.0
	for _, request := range requests {
		if matches(request) {
			total++
		}
	}
	return total
}

func assertNear(t *testing.T, got, want, tolerance float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) <= tolerance*want, "%v is not near %v", got, want)
}

func TestRequests(t *testing.T) {
	exp := twoClasses()
	assert.NilError(t, exp.Check())
	requests := exp.Requests(7)
	inBurst := func(r Request) bool { return r.At >= 50*time.Second && r.At < 60*time.Second }
	t.Run("the seed decides", func(t *testing.T) {
		again, other := exp.Requests(7), exp.Requests(8)
		assert.Equal(t, len(again), len(requests))
		assert.Equal(t, again[100].At, requests[100].At)
		assert.Assert(t, other[100].At != requests[100].At)
	})
	t.Run("classes have their shares", func(t *testing.T) {
		assertNear(t, count(requests, func(r Request) bool { return r.Class.ID == "b" }), 1000, 0.15)
	})
	t.Run("a burst comes from the organisations named", func(t *testing.T) {
		small := func(r Request) bool { return r.Class.ID == "a" && r.Organisation.ID == "small" && inBurst(r) }
		assertNear(t, count(requests, small), 40+1200, 0.15)
	})
	t.Run("lengths are bounded", func(t *testing.T) {
		assert.Equal(t, count(requests, func(r Request) bool { return r.OutputTokens > 150 || r.OutputTokens < 1 }), 0.0)
	})
	t.Run("keys are unique", func(t *testing.T) {
		keys := map[string]bool{}
		for _, request := range requests {
			assert.Assert(t, request.Key == "" || !keys[request.Key])
			keys[request.Key] = true
		}
	})
	t.Run("prompts share what the class says", func(t *testing.T) {
		class := Class{ID: "a", PrefixTokens: 50}
		one := Request{ID: "1", Class: &class, Organisation: &exp.Organisations[0], PromptTokens: 100, OutputTokens: 3}
		other := one
		other.ID = "2"
		assert.Equal(t, one.Prompt().System, other.Prompt().System)
		assert.Assert(t, one.Prompt().User != other.Prompt().User)
		assert.Assert(t, strings.HasSuffix(one.Prompt().User, "[[tokens=3]]"))
	})
}

func TestPlannedFaults(t *testing.T) {
	planned := twoClasses().PlannedFaults(3)
	assert.DeepEqual(t, planned, twoClasses().PlannedFaults(3))
	assert.Assert(t, planned[0].At >= time.Second && planned[0].At < 2*time.Second)
	all := twoClasses()
	all.Faults[0].All = true
	planned = all.PlannedFaults(3)
	assert.Equal(t, len(planned), 2)
	assert.Equal(t, planned[0].At, planned[1].At)
}
