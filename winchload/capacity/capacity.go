// Package capacity measures what control costs a host: processor time, bytes,
// memory and calls to the platform, by the number of hosts, endpoints,
// organisations and changes, and fits a line to each.
//
// # Usage
//
//	report, err := capacity.Run(ctx, capacity.Options{Winchd: "bin/winchd", Standin: "bin/standin", Directory: "out/capacity"})
//	if err != nil {
//		return err
//	}
//	err = capacity.Write(os.Stdout, report)
//
// No requests run during a measurement: what is measured is control alone.
package capacity

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"time"

	"github.com/arbutuswinch/winch/winchload/bench"
	"github.com/arbutuswinch/winch/winchload/control"
)

const (
	settleTime     = 10 * time.Second
	defaultMeasure = 20 * time.Second
	trafficMetric  = "winch_control_bytes_total"
)

// Role tells a data centre's hub from its other hosts.
type Role string

// The roles of hosts.
const (
	RoleHub    Role = "hub"
	RoleMember Role = "member"
)

// Options are the settings of a measurement.
type Options struct {
	Winchd    string
	Standin   string
	Directory string
	// Measure is the time over which each point is measured.
	Measure time.Duration
	// Only names the one dimension to measure; empty stands for all.
	Only Dimension
	// Progress gets a line for each point.
	Progress io.Writer
}

// Cost is what control costs one host.
type Cost struct {
	// CPU is the share of one core.
	CPU float64
	// Bytes are sent and received each second.
	Bytes float64
	// Memory is the largest resident size in bytes.
	Memory float64
}

// Sample is one point of a measurement.
type Sample struct {
	Dimension Dimension
	Value     float64
	// Hosts has the mean cost of the hosts of each role.
	Hosts map[Role]Cost
	// Calls are the calls of all hosts to the key-value service each second, waiting watches counted.
	Calls float64
}

// Run measures all points, one set of processes after the other.
func Run(ctx context.Context, options Options) ([]Sample, error) {
	if options.Measure == 0 {
		options.Measure = defaultMeasure
	}
	samples := []Sample{}
	for _, point := range points() {
		if options.Only != "" && point.dimension != options.Only {
			continue
		}
		sample, err := measure(ctx, options, point)
		if err != nil {
			return nil, fmt.Errorf("measure %s %v: %w", point.dimension, point.value, err)
		}
		samples = append(samples, sample)
		fmt.Fprintf(options.Progress, "%s %v: member %.2f%% of a core, %.0f B/s, %.0f MB; hub %.2f%%, %.0f B/s; %.1f calls/s\n",
			sample.Dimension, sample.Value, 100*sample.Hosts[RoleMember].CPU, sample.Hosts[RoleMember].Bytes,
			sample.Hosts[RoleMember].Memory/(1<<20), 100*sample.Hosts[RoleHub].CPU, sample.Hosts[RoleHub].Bytes, sample.Calls)
	}
	return samples, nil
}

func measure(ctx context.Context, options Options, point point) (Sample, error) {
	set, err := bench.Start(ctx, bench.Options{
		Experiment: point.experiment(), Policy: "Winch", Seed: 1, Winchd: options.Winchd, Standin: options.Standin,
		Directory: filepath.Join(options.Directory, fmt.Sprintf("%s-%v", point.dimension, point.value)), LogLevel: "warn",
	})
	if err != nil {
		return Sample{}, err
	}
	defer set.Stop()
	if err := wait(ctx, settleTime); err != nil {
		return Sample{}, err
	}
	return observe(ctx, options, point, set)
}

// observe reads the counters, waits, and reads them again.
func observe(ctx context.Context, options Options, point point, set *bench.Set) (Sample, error) {
	port := control.New(set.Control())
	before, err := read(ctx, set, port)
	if err != nil {
		return Sample{}, err
	}
	set.Mark()
	started := time.Now()
	changes, stopChanges := context.WithCancel(ctx)
	defer stopChanges()
	go change(changes, set, point.changesPerSecond)
	if err := wait(ctx, options.Measure); err != nil {
		return Sample{}, err
	}
	processes, seconds := set.Processes(), time.Since(started).Seconds()
	after, err := read(ctx, set, port)
	if err != nil {
		return Sample{}, err
	}
	sample := Sample{
		Dimension: point.dimension, Value: point.value, Hosts: map[Role]Cost{},
		Calls: float64(after.calls-before.calls) / seconds,
	}
	counts := map[Role]float64{}
	for i, host := range set.Hosts() {
		role := RoleMember
		if after.hubs[host.Name] {
			role = RoleHub
		}
		// The first process is that of the stand-ins.
		used := processes[i+1]
		cost := sample.Hosts[role]
		cost.CPU += used.CPU / seconds
		cost.Memory += float64(used.Memory)
		cost.Bytes += (after.bytes[i] - before.bytes[i]) / seconds
		sample.Hosts[role] = cost
		counts[role]++
	}
	for role, cost := range sample.Hosts {
		sample.Hosts[role] = Cost{CPU: cost.CPU / counts[role], Bytes: cost.Bytes / counts[role], Memory: cost.Memory / counts[role]}
	}
	return sample, nil
}

// reading is the state of all counters at one instant.
type reading struct {
	bytes []float64
	calls int64
	hubs  map[string]bool
}

func read(ctx context.Context, set *bench.Set, port *control.Port) (reading, error) {
	hubs, err := set.Hubs(ctx)
	if err != nil {
		return reading{}, err
	}
	state, err := port.State(ctx)
	if err != nil {
		return reading{}, fmt.Errorf("read calls: %w", err)
	}
	now := reading{hubs: hubs}
	for _, count := range state.Calls["keyvalue"] {
		now.calls += count
	}
	for _, host := range set.Hosts() {
		bytes, err := set.Metric(ctx, host, trafficMetric)
		if err != nil {
			return reading{}, err
		}
		now.bytes = append(now.bytes, bytes)
	}
	return now, nil
}

// change commits small notes at the rate until ctx ends.
func change(ctx context.Context, set *bench.Set, rate float64) {
	if rate == 0 {
		return
	}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		// A change that fails is missing from the load, and shows in the calls.
		_ = set.ChangeWeight(ctx, set.Hosts()[number%len(set.Hosts())], number)
	}
}

func wait(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return fmt.Errorf("measure: %w", ctx.Err())
	case <-timer.C:
		return nil
	}
}
