// Package drive sends an experiment's load and injects its faults.
//
// # Usage
//
//	measured, err := drive.Run(ctx, drive.Options{Experiment: exp, Seed: 1, Picker: picker, Control: client})
//
// Each request is sent at its planned time, whether or not earlier ones have
// completed. The run ends when the last request has completed.
package drive

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/arbutuswinch/winch/winchload/caller"
	"github.com/arbutuswinch/winch/winchload/control"
	"github.com/arbutuswinch/winch/winchload/experiment"
	"github.com/arbutuswinch/winch/winchload/progress"
	"github.com/arbutuswinch/winch/winchload/result"
)

const (
	// connectAttempts is the number of targets to try when connections are refused.
	connectAttempts = 4
	// minSettle is the shortest wait after the last request. The stand-ins need it to count
	// requests whose connection has just ended.
	minSettle = 500 * time.Millisecond
)

// Options are the settings of a run.
type Options struct {
	Experiment experiment.Experiment
	Label      string
	Seed       uint64
	Picker     caller.Picker
	// Direct is set if the targets are engines and services instead of hosts.
	Direct  bool
	Control *control.Client
	// Hosts injects host faults; nil if the load tool did not start the hosts.
	Hosts FaultInjector
	// Probe measures release notes until its context is done; it may be nil.
	Probe func(ctx context.Context) result.Notes
	// Settle is the time after the load for the last usage windows to be reported.
	Settle time.Duration
	// Faults enables the experiment's faults.
	Faults   bool
	Progress *progress.Line
	// Processes returns the cost of each process of the deployment; it may be nil.
	Processes func() []result.Process
}

// FaultInjector injects faults into hosts.
type FaultInjector interface {
	// Fault stops, kills or pauses a host.
	Fault(host, kind string, duration time.Duration) error
}

// Run sends the load and returns the measurements.
func Run(ctx context.Context, options Options) (result.Result, error) {
	info := result.RunInfo{Label: options.Label, Seed: options.Seed, Started: time.Now()}
	var err error
	if info.Before, err = options.Control.State(ctx); err != nil {
		return result.Result{}, fmt.Errorf("read state before run: %w", err)
	}
	collector := result.NewCollector(options.Experiment)
	client := caller.New(caller.Options{Picker: options.Picker, Direct: options.Direct, ConnectAttempts: connectAttempts})
	defer client.Close()
	stopProgress := options.Progress.Start(collector)
	if options.Faults {
		go injectFaults(ctx, options, time.Now())
	}
	costStates, notes := readCostStates(ctx, options, time.Now()), startProbe(ctx, options)
	send(ctx, options, client, collector)
	stopProgress()
	if options.Processes != nil {
		info.Processes = options.Processes()
	}
	info.Notes = notes()
	sleepUntil(ctx, time.Now().Add(max(minSettle, options.Settle)))
	if info.After, err = options.Control.State(ctx); err != nil {
		return result.Result{}, fmt.Errorf("read state after run: %w", err)
	}
	info.Open, info.Close = costStates()
	return collector.Result(info), ctx.Err()
}

// startProbe starts the probe. The returned function stops it and returns what it measured.
func startProbe(ctx context.Context, options Options) func() result.Notes {
	if options.Probe == nil {
		return func() result.Notes { return result.Notes{} }
	}
	ctx, cancel := context.WithCancel(ctx)
	notes := make(chan result.Notes, 1)
	go func() { notes <- options.Probe(ctx) }()
	return func() result.Notes {
		cancel()
		return <-notes
	}
}

// readCostStates reads the paid endpoint time at the end of the warm-up and at the end of the
// arrivals. The difference leaves out the warm-up and the time in which the last long answers
// complete. The returned function waits for both states. A state that could not be read is zero.
func readCostStates(ctx context.Context, options Options, start time.Time) func() (warmupEnd, arrivalsEnd control.State) {
	states := [2]control.State{}
	group := sync.WaitGroup{}
	for i, at := range []experiment.Duration{options.Experiment.Warmup, options.Experiment.Duration} {
		group.Go(func() {
			if sleepUntil(ctx, start.Add(time.Duration(at))) {
				states[i], _ = options.Control.BriefState(ctx)
			}
		})
	}
	return func() (control.State, control.State) {
		group.Wait()
		return states[0], states[1]
	}
}

// send sends the requests at their planned times and waits until all have completed.
func send(ctx context.Context, options Options, client *caller.Client, collector *result.Collector) {
	group := sync.WaitGroup{}
	requests := options.Experiment.Requests(options.Seed)
	start := time.Now()
	for _, request := range requests {
		planned := start.Add(request.At)
		if !sleepUntil(ctx, planned) {
			break
		}
		if time.Since(planned) > result.LateSend {
			collector.CountLateSend()
		}
		group.Go(func() { collector.Add(request, client.Do(ctx, planned, request)) })
	}
	group.Wait()
}

// sleepUntil waits for the given time. It returns false if ctx is done first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	delay := time.Until(at)
	if delay <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// injectFaults injects the seed's faults at their planned times. Run does not wait for it: faults
// that are planned after the last arrivals may be injected while the last requests complete.
func injectFaults(ctx context.Context, options Options, start time.Time) {
	for _, planned := range options.Experiment.PlannedFaults(options.Seed) {
		if !sleepUntil(ctx, start.Add(planned.At)) {
			return
		}
		if err := injectFault(ctx, options, planned); err != nil {
			options.Progress.Println(fmt.Sprintf("cannot inject fault %s into %s: %v", planned.Fault.Kind, planned.Target, err))
			continue
		}
		options.Progress.Println(fmt.Sprintf("%s: %s on %s", planned.At.Round(time.Millisecond), planned.Fault.Kind, planned.Target))
	}
}

func injectFault(ctx context.Context, options Options, planned experiment.PlannedFault) error {
	host, ofHost := strings.CutPrefix(planned.Target, "host/")
	if !ofHost {
		return options.Control.Fault(ctx, control.Fault{
			Target: planned.Target, Kind: planned.Fault.Kind, Duration: planned.Fault.Duration,
			Delay: planned.Fault.Delay, Factor: planned.Fault.Factor, Count: planned.Fault.Count,
		})
	}
	if options.Hosts == nil {
		return errors.New("hosts were not started by the load tool")
	}
	return options.Hosts.Fault(host, planned.Fault.Kind, time.Duration(planned.Fault.Duration))
}
