package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/arbutuswinch/winch/winchload/caller"
	"github.com/arbutuswinch/winch/winchload/control"
	"github.com/arbutuswinch/winch/winchload/drive"
	"github.com/arbutuswinch/winch/winchload/experiment"
	"github.com/arbutuswinch/winch/winchload/figure"
	"github.com/arbutuswinch/winch/winchload/progress"
	"github.com/arbutuswinch/winch/winchload/result"
	"github.com/arbutuswinch/winch/winchload/table"
	"github.com/arbutuswinch/winch/winchload/target"
)

// loadOptions are the arguments of the commands run and direct.
type loadOptions struct {
	Experiment string        `arg:"--experiment,required" help:"experiment file (JSON)" placeholder:"FILE"`
	Seed       uint64        `arg:"--seed" default:"1" help:"seed for arrivals, lengths and faults"`
	Label      string        `arg:"--label" help:"label of the result; defaults to the experiment's name"`
	Duration   time.Duration `arg:"--duration" help:"override the file's duration"`
	Rate       float64       `arg:"--rate" help:"factor by which the file's rate is multiplied"`
	NoFaults   bool          `arg:"--no-faults" help:"do not inject the file's faults"`
	Out        string        `arg:"--out,required" help:"result file (JSON); the plot is written next to it" placeholder:"FILE"`
}

// loadExperiment reads the experiment and applies the command line's duration and rate to it.
func (o loadOptions) loadExperiment() (experiment.Experiment, error) {
	exp, err := experiment.Load(o.Experiment)
	if err != nil {
		return experiment.Experiment{}, fmt.Errorf("load %s: %w", o.Experiment, err)
	}
	return withDurationAndRate(exp, o.Duration, o.Rate), nil
}

// withDurationAndRate replaces the duration and multiplies the rate unless they are zero. A shortened
// run keeps at least three quarters of its time after the warm-up.
func withDurationAndRate(exp experiment.Experiment, duration time.Duration, rate float64) experiment.Experiment {
	if duration > 0 {
		exp.Duration = experiment.Duration(duration)
		exp.Warmup = min(exp.Warmup, exp.Duration/4)
	}
	if rate > 0 {
		exp.Rate *= rate
	}
	return exp
}

type runCommand struct {
	loadOptions
	Targets string `arg:"--targets,required" help:"comma-separated caller addresses of the hosts" placeholder:"ADDR,ADDR"`
	Control string `arg:"--control,required" help:"address of the stand-ins' control port" placeholder:"ADDR"`
}

func (c *runCommand) execute(ctx context.Context) error {
	exp, err := c.loadExperiment()
	if err != nil {
		return err
	}
	hosts := []target.Host{}
	for _, address := range strings.Split(c.Targets, ",") {
		hosts = append(hosts, target.Host{Address: address})
	}
	picker := target.NewBalancer(hosts)
	return c.runLoad(ctx, exp, picker, control.New(c.Control), false)
}

type directCommand struct {
	loadOptions
	Control string `arg:"--control,required" help:"address of the stand-ins' control port" placeholder:"ADDR"`
}

func (c *directCommand) execute(ctx context.Context) error {
	exp, err := c.loadExperiment()
	if err != nil {
		return err
	}
	client := control.New(c.Control)
	state, err := client.State(ctx)
	if err != nil {
		return fmt.Errorf("read endpoints: %w", err)
	}
	picker, err := target.NewEndpoints(exp, state)
	if err != nil {
		return fmt.Errorf("choose endpoints: %w", err)
	}
	return c.runLoad(ctx, exp, picker, client, true)
}

func (o loadOptions) runLoad(ctx context.Context, exp experiment.Experiment, picker caller.Picker, client *control.Client, direct bool) error {
	label := o.Label
	if label == "" {
		label = exp.Name
	}
	measured, err := drive.Run(ctx, drive.Options{
		Experiment: exp, Label: label, Seed: o.Seed, Picker: picker, Direct: direct, Control: client, Faults: !o.NoFaults,
		Progress: progress.New(os.Stderr, label, time.Duration(exp.Duration)),
	})
	if err != nil {
		return fmt.Errorf("run load: %w", err)
	}
	return save(o.Out, measured)
}

// save writes the result and its plot to files and prints the result's table.
func save(path string, measured result.Result) error {
	if err := result.Save(path, measured); err != nil {
		return fmt.Errorf("save result: %w", err)
	}
	if err := figure.Save(strings.TrimSuffix(path, ".json")+".svg", measured); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return table.Write(os.Stdout, []result.Result{measured})
}

type tableCommand struct {
	Files     []string `arg:"positional,required" help:"result files" placeholder:"FILE"`
	Scenarios bool     `arg:"--by-scenario" help:"print a line for each experiment and policy, as matrix does"`
}

func (c *tableCommand) execute(out io.Writer) error {
	results := make([]result.Result, 0, len(c.Files))
	for _, path := range c.Files {
		measured, err := result.Load(path)
		if err != nil {
			return fmt.Errorf("load result: %w", err)
		}
		results = append(results, measured)
	}
	if c.Scenarios {
		return table.WriteScenarios(out, results)
	}
	return table.Write(out, results)
}
