package result

import (
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch/winchload/caller"
	"github.com/arbutuswinch/winch/winchload/control"
	"github.com/arbutuswinch/winch/winchload/experiment"
)

// sample returns an experiment and the result of a run with known figures. The keys stand for the
// fields of Confirmations: k1 is single, k2 doubled, k3 phantom, k4 unknown and k5 lost. Between
// Open and Close the cheap and the steady endpoint run for 10 s each, at 1 and 2 thousandths a
// second. 41 complete answers have 11 tokens each.
func sample() (experiment.Experiment, Result) {
	exp := experiment.Experiment{
		Name: "test", Duration: experiment.Duration(12 * time.Second), Warmup: experiment.Duration(2 * time.Second),
		Classes: []experiment.Class{
			{ID: "talk", Tier: 1, Model: "m", FirstTokenTarget: experiment.Duration(time.Second), InterTokenTarget: experiment.Duration(50 * time.Millisecond)},
			{ID: "hold", Tier: 2, Route: "r", FirstTokenTarget: experiment.Duration(time.Second), Keyed: true},
		},
		Organisations: []experiment.Organisation{{ID: "large"}, {ID: "small"}},
		Engines:       []experiment.EngineGroup{{Supply: "Cheap", Count: 1, Cost: 3600}, {Supply: "Steady", Count: 1, Cost: 7200}},
	}
	c := NewCollector(exp)
	whole := func(first, took time.Duration) caller.Outcome {
		return caller.Outcome{Kind: caller.Whole, Tokens: 11, FirstToken: first, Took: took}
	}
	add := func(class, organisation int, key string, at time.Duration, outcome caller.Outcome) {
		c.Add(experiment.Request{At: at, Class: &exp.Classes[class], Organisation: &exp.Organisations[organisation], Key: key}, outcome)
	}
	for range 20 {
		add(0, 0, "", 3*time.Second, whole(500*time.Millisecond, 900*time.Millisecond))
		add(0, 1, "", 3*time.Second, whole(500*time.Millisecond, 2*time.Second))
	}
	add(0, 0, "", time.Second, whole(time.Millisecond, time.Millisecond))
	add(1, 0, "k1", 4*time.Second, caller.Outcome{Kind: caller.Whole, NotRun: []string{"r1"}})
	add(1, 0, "k2", 4*time.Second, caller.Outcome{Kind: caller.Whole})
	add(1, 0, "k3", 4*time.Second, caller.Outcome{Kind: caller.Whole})
	add(1, 0, "k4", 4*time.Second, caller.Outcome{Kind: caller.Failed})
	add(1, 0, "k5", 4*time.Second, caller.Outcome{Kind: caller.Refused})
	add(0, 0, "", 4*time.Second, caller.Outcome{Kind: caller.Refused, NotRun: []string{"c1"}})
	add(0, 0, "", 4*time.Second, caller.Outcome{Kind: caller.Refused, NotRun: []string{"c2"}})
	return exp, c.Result(RunInfo{
		Label: "Winch", Seed: 1,
		Before: control.State{Engines: map[string]control.Engine{"e1": {OutputTokens: 100}}},
		Open:   control.State{EndpointSeconds: map[string]float64{"Cheap": 5, "Steady": 5}},
		Close:  control.State{EndpointSeconds: map[string]float64{"Cheap": 15, "Steady": 15}},
		After: control.State{
			Engines:     map[string]control.Engine{"e1": {OutputTokens: 400}, "e2": {OutputTokens: 300}},
			Completions: map[string]map[string]int{"e1": {"c1": 1}},
			Endpoints:   []control.Endpoint{{ID: "e2", Supply: "Cheap"}},
			Executions: map[string]control.Executions{
				"a": {ByKey: map[string]int{"k1": 1, "k2": 1, "k4": 1}, ByRequest: map[string]int{"r1": 1}},
				"b": {ByKey: map[string]int{"k2": 1}},
			},
		},
	})
}

func TestResult(t *testing.T) {
	_, r := sample()
	t.Run("counts without the warm-up", func(t *testing.T) {
		assert.Equal(t, r.Total.Offered, 47)
	})
	t.Run("attains only if the targets are met", func(t *testing.T) {
		assert.Equal(t, r.Classes[1].Name, "talk")
		assert.Equal(t, r.Classes[1].Attained, 20)
		assert.Equal(t, r.Worst.Name, "small")
		assert.Equal(t, r.Worst.Attainment, 0.0)
		assert.Equal(t, r.GoodputTokens, 22.0)
	})
	t.Run("counts wasted tokens", func(t *testing.T) {
		assert.Equal(t, r.ProducedTokens, int64(600))
		assert.Equal(t, r.WastedTokens, int64(600-41*11))
		assert.Equal(t, r.Cost.CheapShare, 0.5)
	})
	t.Run("counts the cost", func(t *testing.T) {
		assert.Equal(t, r.Cost.Paid, 30.0)
	})
	t.Run("finds refusals that are false", func(t *testing.T) {
		assert.Equal(t, r.FalseRefusals, 2)
	})
	t.Run("compares answers with executions", func(t *testing.T) {
		assert.Equal(t, r.Confirmations, Confirmations{
			Offered: 5, Single: 1, Doubled: 1, Phantom: 1, Unknown: 1, Lost: 1,
		})
	})
}

func TestFile(t *testing.T) {
	_, r := sample()
	path := filepath.Join(t.TempDir(), "r.json")
	assert.NilError(t, Save(path, r))
	decoded, err := Load(path)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, r)
}
