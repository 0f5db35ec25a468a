package main

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
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
	"github.com/arbutuswinch/winch/winchload/target"
)

// usageSettle is the time for the last usage window to close and to be reported: up to one
// window until it closes, the hosts' default Usage.Grace, which equals bench.UsageWindow, and
// three seconds to send the report.
const usageSettle = 2*bench.UsageWindow + 3*time.Second

// deploymentOptions are the arguments of the commands that start deployments.
type deploymentOptions struct {
	Standin string `arg:"--standin" default:"bin/standin" help:"path of the standin executable"`
	Out     string `arg:"--out,required" help:"directory for results, plots, settings and logs" placeholder:"DIR"`
}

// runner starts a deployment for each run and saves the results in files.
type runner struct {
	deploymentOptions
	faults   bool
	logLevel string
	// probe measures during the run how long release notes take to be in force.
	probe  bool
	settle time.Duration
	// resume reuses results whose files exist instead of running them again.
	resume bool
	// audit checks the hosts' logged decisions after each run. It needs log level info.
	audit bool
}

func parseSeeds(list string) ([]uint64, error) {
	seeds := []uint64{}
	for _, text := range strings.Split(list, ",") {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("parse seeds: %w", err)
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

// alternateOrder returns the variants in reverse order for every second seed. It may reverse
// the slice in place.
func alternateOrder(variants []variant, seedIndex int) []variant {
	if seedIndex%2 == 1 {
		slices.Reverse(variants)
	}
	return variants
}

// runSeed runs all variants with one seed, one after another, and plots them together.
func (r runner) runSeed(ctx context.Context, exp experiment.Experiment, seed uint64, ordered []variant) ([]result.Result, error) {
	results := []result.Result{}
	for _, tested := range ordered {
		measured, err := r.runOrLoad(ctx, exp, seed, tested)
		if err != nil {
			return nil, fmt.Errorf("run %s %s with seed %d: %w", exp.Name, tested.label, seed, err)
		}
		results = append(results, measured)
	}
	path := filepath.Join(r.Out, fmt.Sprintf("%s-%d.svg", exp.Name, seed))
	if err := figure.Save(path, results...); err != nil {
		return nil, fmt.Errorf("save plot: %w", err)
	}
	return results, nil
}

// runOrLoad runs a variant and saves its result. With resume, it returns a result that was
// saved before instead.
func (r runner) runOrLoad(ctx context.Context, exp experiment.Experiment, seed uint64, tested variant) (result.Result, error) {
	directory := filepath.Join(r.Out, fmt.Sprintf("%s-%s-%d", exp.Name, tested.label, seed))
	if r.resume {
		measured, err := result.Load(directory + ".json")
		if err == nil || !errors.Is(err, fs.ErrNotExist) {
			return measured, err
		}
		// Logs of an interrupted run would otherwise be audited together with the new ones.
		if err := os.RemoveAll(directory); err != nil {
			return result.Result{}, fmt.Errorf("remove files of an interrupted run: %w", err)
		}
	}
	measured, err := r.run(ctx, exp, seed, tested, directory)
	if err != nil {
		return result.Result{}, err
	}
	if r.audit {
		if measured.Audit, err = auditLogs(directory, defaultNotice, defaultStarvation, nil); err != nil {
			return result.Result{}, err
		}
	}
	if err := result.Save(directory+".json", measured); err != nil {
		return result.Result{}, fmt.Errorf("save result: %w", err)
	}
	return measured, nil
}

// run starts a deployment, sends the load, and stops the deployment.
func (r runner) run(ctx context.Context, exp experiment.Experiment, seed uint64, tested variant, directory string) (result.Result, error) {
	deployment, err := bench.Start(ctx, bench.Options{
		Experiment: exp, Policy: tested.policy, Seed: seed, Winchd: tested.build, Standin: r.Standin, LogLevel: r.logLevel,
		Directory: directory,
	})
	if err != nil {
		return result.Result{}, fmt.Errorf("start deployment: %w", err)
	}
	defer deployment.Stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	balancer := target.NewBalancer(deployment.Targets())
	go balancer.Watch(ctx)
	deployment.ResetCPUTime()
	options := drive.Options{
		Experiment: exp, Label: tested.label, Seed: seed, Picker: balancer, Hosts: deployment,
		Control: control.New(deployment.Control()), Faults: r.faults, Processes: deployment.Processes, Settle: r.settle,
		Progress: progress.New(os.Stderr, fmt.Sprintf("%s %s seed %d", exp.Name, tested.label, seed), time.Duration(exp.Duration)),
	}
	if r.probe {
		options.Probe = deployment.Prober().Run
	}
	return drive.Run(ctx, options)
}
