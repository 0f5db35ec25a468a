// Package capacity measures what the control plane costs a host (CPU time, traffic and memory) and
// how many calls all hosts make to the key-value service, depending on the number of hosts,
// endpoints, organisations and configuration changes. It fits a line to each cost.
//
// # Usage
//
//	samples, err := capacity.Run(ctx, capacity.Options{Winchd: "bin/winchd", Standin: "bin/standin", Directory: "out/capacity"})
//	if err != nil {
//		return err
//	}
//	err = capacity.Write(os.Stdout, samples)
//
// No requests are sent during a measurement, so that only the control plane is measured.
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

// Role distinguishes a data centre's hub, through which it exchanges reports with other data
// centres, from its other hosts.
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
	// Only restricts the measurement to one dimension; empty means all dimensions.
	Only Dimension
	// Progress receives a line for each measured point.
	Progress io.Writer
}

// Cost is the cost of the control plane on one host.
type Cost struct {
	// CPU is the used share of one core.
	CPU float64
	// Bytes is the number of bytes sent and received per second.
	Bytes float64
	// Memory is the peak resident memory in bytes.
	Memory float64
}

// Sample is one point of a measurement.
type Sample struct {
	Dimension Dimension
	Value     float64
	// Hosts holds the mean cost of the hosts of each role.
	Hosts map[Role]Cost
	// Calls is the number of calls of all hosts to the key-value service per second,
	// including long-polling watches.
	Calls float64
}

// Run measures all points one after the other, each with a deployment of its own.
func Run(ctx context.Context, options Options) ([]Sample, error) {
	if options.Measure == 0 {
		options.Measure = defaultMeasure
	}
	samples := []Sample{}
	for _, size := range deploymentSizes() {
		if options.Only != "" && size.dimension != options.Only {
			continue
		}
		sample, err := measure(ctx, options, size)
		if err != nil {
			return nil, fmt.Errorf("measure %s %v: %w", size.dimension, size.value, err)
		}
		samples = append(samples, sample)
		fmt.Fprintf(options.Progress, "%s %v: member %.2f%% of a core, %.0f B/s, %.0f MB; hub %.2f%%, %.0f B/s; %.1f calls/s\n",
			sample.Dimension, sample.Value, 100*sample.Hosts[RoleMember].CPU, sample.Hosts[RoleMember].Bytes,
			sample.Hosts[RoleMember].Memory/(1<<20), 100*sample.Hosts[RoleHub].CPU, sample.Hosts[RoleHub].Bytes, sample.Calls)
	}
	return samples, nil
}

func measure(ctx context.Context, options Options, size deploymentSize) (Sample, error) {
	deployment, err := bench.Start(ctx, bench.Options{
		Experiment: size.newExperiment(), Policy: "Winch", Seed: 1, Winchd: options.Winchd, Standin: options.Standin,
		Directory: filepath.Join(options.Directory, fmt.Sprintf("%s-%v", size.dimension, size.value)), LogLevel: "warn",
	})
	if err != nil {
		return Sample{}, err
	}
	defer deployment.Stop()
	if err := sleep(ctx, settleTime); err != nil {
		return Sample{}, err
	}
	return measureRates(ctx, options, size, deployment)
}

// measureRates reads the counters before and after the measuring time and returns the rates.
func measureRates(ctx context.Context, options Options, size deploymentSize, deployment *bench.Deployment) (Sample, error) {
	client := control.New(deployment.Control())
	before, err := readCounters(ctx, deployment, client)
	if err != nil {
		return Sample{}, err
	}
	deployment.ResetCPUTime()
	started := time.Now()
	changes, stopChanges := context.WithCancel(ctx)
	defer stopChanges()
	go commitChanges(changes, deployment, size.changesPerSecond)
	if err := sleep(ctx, options.Measure); err != nil {
		return Sample{}, err
	}
	processes, seconds := deployment.Processes(), time.Since(started).Seconds()
	after, err := readCounters(ctx, deployment, client)
	if err != nil {
		return Sample{}, err
	}
	sample := Sample{
		Dimension: size.dimension, Value: size.value, Hosts: map[Role]Cost{},
		Calls: float64(after.calls-before.calls) / seconds,
	}
	counts := map[Role]float64{}
	for i, host := range deployment.Hosts() {
		role := RoleMember
		if after.hubs[host.Name] {
			role = RoleHub
		}
		// The first process is the stand-ins'.
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

// counters holds the values of all counters at one instant.
type counters struct {
	// bytes holds the traffic of each host.
	bytes []float64
	calls int64
	hubs  map[string]bool
}

func readCounters(ctx context.Context, deployment *bench.Deployment, client *control.Client) (counters, error) {
	hubs, err := deployment.Hubs(ctx)
	if err != nil {
		return counters{}, err
	}
	state, err := client.State(ctx)
	if err != nil {
		return counters{}, fmt.Errorf("read control state: %w", err)
	}
	current := counters{hubs: hubs}
	for _, count := range state.Calls["keyvalue"] {
		current.calls += count
	}
	for _, host := range deployment.Hosts() {
		bytes, err := deployment.Metric(ctx, host, trafficMetric)
		if err != nil {
			return counters{}, err
		}
		current.bytes = append(current.bytes, bytes)
	}
	return current, nil
}

// commitChanges commits release notes at the given rate per second until ctx is done.
func commitChanges(ctx context.Context, deployment *bench.Deployment, rate float64) {
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
		// A failed change only lowers the measured number of calls.
		_ = deployment.ChangeWeight(ctx, deployment.Hosts()[number%len(deployment.Hosts())], number)
	}
}

func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return fmt.Errorf("wait: %w", ctx.Err())
	case <-timer.C:
		return nil
	}
}
