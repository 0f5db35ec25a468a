package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/arbutuswinch/winch/winchload/experiment"
	"github.com/arbutuswinch/winch/winchload/result"
	"github.com/arbutuswinch/winch/winchload/table"
)

// matrixCommand runs every scenario, which is an experiment file, with every policy and seed.
type matrixCommand struct {
	Scenarios string `arg:"--scenarios" default:"experiments/scenarios" help:"directory of experiment files" placeholder:"DIR"`
	Policies  string `arg:"--policies" default:"Winch,LeastReported,Random,FirstCome" help:"comma-separated policies to compare"`
	Winchd    string `arg:"--winchd" default:"bin/winchd" help:"path of the winchd executable"`
	Seeds     string `arg:"--seeds" default:"1,2,3,4,5" help:"comma-separated seeds"`
	Parallel  int    `arg:"--parallel" default:"1" help:"number of deployments to run at once; each needs about one CPU core"`
	// Settle is short because the table of a matrix has no rows for usage reports.
	Settle time.Duration `arg:"--settle" default:"1s" help:"wait for usage reports after each run"`
	deploymentOptions
}

// scenarioRun is a scenario with a seed. Its policies run one after another.
type scenarioRun struct {
	exp  experiment.Experiment
	seed uint64
	// seedIndex is the index of the seed in the list of seeds.
	seedIndex int
}

// execute runs all scenarios and seeds, up to Parallel at once, and prints the table. It reuses result
// files that exist, so that an interrupted matrix can be resumed.
func (c *matrixCommand) execute(ctx context.Context) error {
	scenarioRuns, err := c.scenarioRuns()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return fmt.Errorf("create directory: %w", err)
	}
	// pairCommand combines policies and builds into variants.
	pair := pairCommand{Policies: c.Policies, Builds: c.Winchd}
	run := runner{deploymentOptions: c.deploymentOptions, faults: true, logLevel: "info", settle: c.Settle, resume: true, audit: true}
	measured := make([][]result.Result, len(scenarioRuns))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(c.Parallel, 1))
	for i, planned := range scenarioRuns {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			var err error
			measured[i], err = run.runSeed(ctx, planned.exp, planned.seed, alternateOrder(pair.variants(), planned.seedIndex))
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return fmt.Errorf("run matrix: %w", err)
	}
	return table.WriteScenarios(os.Stdout, slices.Concat(measured...))
}

// scenarioRuns returns all combinations of scenario and seed, ordered by seed.
func (c *matrixCommand) scenarioRuns() ([]scenarioRun, error) {
	paths, err := filepath.Glob(filepath.Join(c.Scenarios, "*.json"))
	if err != nil || len(paths) == 0 {
		return nil, fmt.Errorf("no experiment files in %s: %w", c.Scenarios, experiment.ErrInvalid)
	}
	seeds, err := parseSeeds(c.Seeds)
	if err != nil {
		return nil, err
	}
	scenarioRuns := []scenarioRun{}
	for seedIndex, seed := range seeds {
		for _, path := range paths {
			exp, err := experiment.Load(path)
			if err != nil {
				return nil, fmt.Errorf("load %s: %w", path, err)
			}
			scenarioRuns = append(scenarioRuns, scenarioRun{exp: exp, seed: seed, seedIndex: seedIndex})
		}
	}
	return scenarioRuns, nil
}
