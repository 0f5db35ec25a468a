package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/arbutuswinch/winch/winchload/bench"
	"github.com/arbutuswinch/winch/winchload/control"
	"github.com/arbutuswinch/winch/winchload/drive"
	"github.com/arbutuswinch/winch/winchload/experiment"
	"github.com/arbutuswinch/winch/winchload/figure"
	"github.com/arbutuswinch/winch/winchload/progress"
	"github.com/arbutuswinch/winch/winchload/result"
	"github.com/arbutuswinch/winch/winchload/table"
	"github.com/arbutuswinch/winch/winchload/target"
)

type pairCommand struct {
	Experiment string        `arg:"--experiment,required" help:"experiment file (JSON)" placeholder:"FILE"`
	Policies   string        `arg:"--policies" default:"Winch,LeastReported" help:"policies to compare, with commas"`
	Builds     string        `arg:"--builds" default:"bin/winchd" help:"programs to compare, with commas"`
	Standin    string        `arg:"--standin" default:"bin/standin" help:"the stand-ins' program"`
	Seeds      string        `arg:"--seeds" default:"1,2,3" help:"seeds, with commas"`
	Duration   time.Duration `arg:"--duration" help:"in place of the file's duration"`
	Rate       float64       `arg:"--rate" help:"factor on the file's rate"`
	NoFaults   bool          `arg:"--no-faults" help:"leave the file's faults out"`
	LogLevel   string        `arg:"--log-level" default:"warn" help:"log level of the hosts"`
	Out        string        `arg:"--out,required" help:"directory for results, plots, settings and logs" placeholder:"DIR"`
}

// usageSettle is how long the last usage window may take to close and to be reported.
const usageSettle = 2*bench.UsageWindow + 3*time.Second

// variant is one side of the comparison.
type variant struct {
	label  string
	build  string
	policy string
}

func (c *pairCommand) variants() []variant {
	builds, out := strings.Split(c.Builds, ","), []variant{}
	for i, build := range builds {
		for _, policy := range strings.Split(c.Policies, ",") {
			label := policy
			if len(builds) > 1 {
				label += "-build" + strconv.Itoa(i+1)
			}
			out = append(out, variant{label: label, build: build, policy: policy})
		}
	}
	return out
}

// execute runs every variant with each seed. The order turns around from seed to
// seed, so that a drift of the machine does not favour one side.
func (c *pairCommand) execute(ctx context.Context) error {
	loaded, err := experiment.Load(c.Experiment)
	if err != nil {
		return fmt.Errorf("load %s: %w", c.Experiment, err)
	}
	loaded = adjust(loaded, c.Duration, c.Rate)
	results := []result.Result{}
	for i, text := range strings.Split(c.Seeds, ",") {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return fmt.Errorf("read seeds: %w", err)
		}
		ordered := c.variants()
		if i%2 == 1 {
			reverse(ordered)
		}
		of, err := c.seed(ctx, loaded, seed, ordered)
		if err != nil {
			return err
		}
		results = append(results, of...)
	}
	return table.Write(os.Stdout, results)
}

func reverse(variants []variant) {
	for i, j := 0, len(variants)-1; i < j; i, j = i+1, j-1 {
		variants[i], variants[j] = variants[j], variants[i]
	}
}

// seed runs all variants with one seed and draws them in one plot.
func (c *pairCommand) seed(ctx context.Context, loaded experiment.Experiment, seed uint64, ordered []variant) ([]result.Result, error) {
	results := []result.Result{}
	for _, side := range ordered {
		measured, err := c.run(ctx, loaded, seed, side)
		if err != nil {
			return nil, fmt.Errorf("run %s with seed %d: %w", side.label, seed, err)
		}
		path := filepath.Join(c.Out, fmt.Sprintf("%s-%s-%d.json", loaded.Name, side.label, seed))
		if err := result.Save(path, measured); err != nil {
			return nil, fmt.Errorf("save result: %w", err)
		}
		results = append(results, measured)
	}
	path := filepath.Join(c.Out, fmt.Sprintf("%s-%d.svg", loaded.Name, seed))
	if err := figure.Save(path, results...); err != nil {
		return nil, fmt.Errorf("save plot: %w", err)
	}
	return results, nil
}

// run starts a set, sends the load, and stops the set.
func (c *pairCommand) run(ctx context.Context, loaded experiment.Experiment, seed uint64, side variant) (result.Result, error) {
	set, err := bench.Start(ctx, bench.Options{
		Experiment: loaded, Policy: side.policy, Seed: seed, Winchd: side.build, Standin: c.Standin, LogLevel: c.LogLevel,
		Directory: filepath.Join(c.Out, fmt.Sprintf("%s-%s-%d", loaded.Name, side.label, seed)),
	})
	if err != nil {
		return result.Result{}, fmt.Errorf("start set: %w", err)
	}
	defer set.Stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	balancer := target.NewBalancer(set.Targets())
	go balancer.Watch(ctx)
	set.Mark()
	return drive.Run(ctx, drive.Options{
		Experiment: loaded, Label: side.label, Seed: seed, Picker: balancer, Hosts: set,
		Control: control.New(set.Control()), Faults: !c.NoFaults, Processes: set.Processes,
		Probe: set.Prober().Run, Settle: usageSettle,
		Progress: progress.New(os.Stderr, fmt.Sprintf("%s seed %d", side.label, seed), time.Duration(loaded.Duration)),
	})
}
