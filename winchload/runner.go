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

// usageSettle is the time for the last usage window to close and to be reported.
const usageSettle = 2*bench.UsageWindow + 3*time.Second

// setOptions are the arguments of the commands that start deployments.
type setOptions struct {
	Standin string `arg:"--standin" default:"bin/standin" help:"the stand-ins' program"`
	Out     string `arg:"--out,required" help:"directory for results, plots, settings and logs" placeholder:"DIR"`
}

// runner starts a deployment for each run and saves the results in files.
type runner struct {
	setOptions
	faults   bool
	logLevel string
	// probe measures release notes during the run.
	probe  bool
	settle time.Duration
	// resume reuses results whose files exist instead of running them again.
	resume bool
	// audit checks the hosts' logged decisions after each run. It needs log level info.
	audit bool
}

func seedsOf(list string) ([]uint64, error) {
	seeds := []uint64{}
	for _, text := range strings.Split(list, ",") {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("read seeds: %w", err)
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

// turned returns the variants in reverse order for every second seed. It may reverse
// the slice in place.
func turned(sides []variant, number int) []variant {
	if number%2 == 1 {
		slices.Reverse(sides)
	}
	return sides
}

// seed runs all variants with one seed, one after another, and plots them together.
func (r runner) seed(ctx context.Context, loaded experiment.Experiment, seed uint64, ordered []variant) ([]result.Result, error) {
	results := []result.Result{}
	for _, side := range ordered {
		measured, err := r.kept(ctx, loaded, seed, side)
		if err != nil {
			return nil, fmt.Errorf("run %s %s with seed %d: %w", loaded.Name, side.label, seed, err)
		}
		results = append(results, measured)
	}
	path := filepath.Join(r.Out, fmt.Sprintf("%s-%d.svg", loaded.Name, seed))
	if err := figure.Save(path, results...); err != nil {
		return nil, fmt.Errorf("save plot: %w", err)
	}
	return results, nil
}

// kept runs a variant and saves its result. With resume, it returns a result that was
// saved before instead.
func (r runner) kept(ctx context.Context, loaded experiment.Experiment, seed uint64, side variant) (result.Result, error) {
	directory := filepath.Join(r.Out, fmt.Sprintf("%s-%s-%d", loaded.Name, side.label, seed))
	if r.resume {
		measured, err := result.Load(directory + ".json")
		if err == nil || !errors.Is(err, fs.ErrNotExist) {
			return measured, err
		}
		// Logs of an interrupted run would otherwise be audited together with the new ones.
		if err := os.RemoveAll(directory); err != nil {
			return result.Result{}, fmt.Errorf("remove what is left of a run: %w", err)
		}
	}
	measured, err := r.run(ctx, loaded, seed, side, directory)
	if err != nil {
		return result.Result{}, err
	}
	if r.audit {
		if measured.Audit, err = audited(directory, defaultNotice, defaultStarvation, nil); err != nil {
			return result.Result{}, err
		}
	}
	if err := result.Save(directory+".json", measured); err != nil {
		return result.Result{}, fmt.Errorf("save result: %w", err)
	}
	return measured, nil
}

// run starts a deployment, sends the load, and stops the deployment.
func (r runner) run(ctx context.Context, loaded experiment.Experiment, seed uint64, side variant, directory string) (result.Result, error) {
	set, err := bench.Start(ctx, bench.Options{
		Experiment: loaded, Policy: side.policy, Seed: seed, Winchd: side.build, Standin: r.Standin, LogLevel: r.logLevel,
		Directory: directory,
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
	options := drive.Options{
		Experiment: loaded, Label: side.label, Seed: seed, Picker: balancer, Hosts: set,
		Control: control.New(set.Control()), Faults: r.faults, Processes: set.Processes, Settle: r.settle,
		Progress: progress.New(os.Stderr, fmt.Sprintf("%s %s seed %d", loaded.Name, side.label, seed), time.Duration(loaded.Duration)),
	}
	if r.probe {
		options.Probe = set.Prober().Run
	}
	return drive.Run(ctx, options)
}
