// Package bench starts a complete local deployment for an experiment: the stand-ins
// and the hosts of each data centre, with the experiment's release note applied.
//
// # Usage
//
//	deployment, err := bench.Start(ctx, bench.Options{Experiment: exp, Policy: "Winch", Winchd: "bin/winchd", Standin: "bin/standin"})
//	if err != nil {
//		return err
//	}
//	defer deployment.Stop()
//	picker := target.NewBalancer(deployment.Targets())
//
// Only the load tool uses this package. winchd itself starts no other processes.
package bench

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/arbutuswinch/winch/winchload/control"
	"github.com/arbutuswinch/winch/winchload/experiment"
	"github.com/arbutuswinch/winch/winchload/probe"
	"github.com/arbutuswinch/winch/winchload/result"
	"github.com/arbutuswinch/winch/winchload/target"
)

const (
	// Settings of the stand-ins: the time to start an ordered engine, the notice before an
	// endpoint is stopped, and the delay of changes of the host list.
	engineStartDelay = 2 * time.Second
	engineStopNotice = 5 * time.Second
	hostListLag      = time.Second

	// Settings of the hosts for their shutdown.
	readinessDelay = 200 * time.Millisecond
	drainTimeout   = time.Minute

	// Limits of this package. processStopGrace is the time after SIGTERM before a process is killed.
	startTimeout     = 60 * time.Second
	maxStartAttempts = 4
	processStopGrace = drainTimeout + 10*time.Second
	pollInterval     = 100 * time.Millisecond
	callTimeout      = 5 * time.Second
)

// Options are the settings of a deployment.
type Options struct {
	Experiment experiment.Experiment
	// Policy is the dispatch policy of the hosts.
	Policy string
	Seed   uint64
	// Winchd and Standin are the paths of the executables.
	Winchd  string
	Standin string
	// Directory receives the settings files and logs.
	Directory string
	LogLevel  string
	// BasePort is the first of consecutive ports; with zero, free ports are chosen.
	BasePort int
}

// Deployment is a local deployment whose processes are running.
type Deployment struct {
	options  Options
	http     *http.Client
	standins *process
	settings []hostSettings
	// control is the address of the stand-ins' control port.
	control string

	mu      sync.Mutex
	stopped bool
	// hosts are the host processes, in the order of the settings.
	hosts []*process
	// exitedCosts holds the costs of stopped and killed host processes at the start of the fault.
	exitedCosts []result.Process
	// pendingFaults counts host faults that have not ended.
	pendingFaults sync.WaitGroup
}

// Start starts all processes and returns when each host serves the experiment's models.
// If a host exits during the start, for example because another program took its port,
// Start deletes the directory and tries again with other ports, unless BasePort is set.
func Start(ctx context.Context, options Options) (*Deployment, error) {
	for attempt := 1; ; attempt++ {
		deployment, err := startOnce(ctx, options)
		if !errors.Is(err, errHostExited) || attempt == maxStartAttempts || options.BasePort != 0 {
			return deployment, err
		}
		if err := os.RemoveAll(options.Directory); err != nil {
			return nil, fmt.Errorf("remove files of a failed start: %w", err)
		}
	}
}

func startOnce(ctx context.Context, options Options) (*Deployment, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := os.MkdirAll(options.Directory, 0o755); err != nil {
		return nil, fmt.Errorf("create directory: %w", err)
	}
	d := &Deployment{options: options, http: &http.Client{Timeout: callTimeout}}
	if err := d.start(ctx); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	ports := newPorts(d.options.BasePort)
	addresses, err := d.startStandins(ctx, ports)
	if err != nil {
		return err
	}
	if d.settings, err = newHosts(d.options.Experiment, addresses, d.options, ports); err != nil {
		return err
	}
	if err := control.New(d.control).SetHosts(ctx, hostList(d.settings)); err != nil {
		return fmt.Errorf("set host list: %w", err)
	}
	for _, host := range d.settings {
		started, err := d.startHost(host)
		if err != nil {
			return err
		}
		d.hosts = append(d.hosts, started)
	}
	if err := d.waitForAll(ctx, d.checkHealth); err != nil {
		return err
	}
	if err := d.commitNoteWithRetry(ctx, newNote(d.options.Experiment, addresses)); err != nil {
		return err
	}
	return d.waitForAll(ctx, d.checkServing)
}

func (d *Deployment) startStandins(ctx context.Context, ports *portAllocator) (map[string]string, error) {
	path, err := d.writeJSON("standin", newStandinSettings(d.options.Experiment, d.options.Seed, ports))
	if err != nil {
		return nil, err
	}
	if d.standins, err = startProcess(d.options.Directory, "standin", d.options.Standin, "--settings", path); err != nil {
		return nil, err
	}
	line, err := d.standins.firstLine(ctx)
	if err != nil {
		return nil, err
	}
	addresses := map[string]string{}
	if err := json.Unmarshal([]byte(line), &addresses); err != nil {
		return nil, fmt.Errorf("decode addresses of the stand-ins: %w", err)
	}
	d.control = addresses["control"]
	return addresses, nil
}

func (d *Deployment) startHost(host hostSettings) (*process, error) {
	path, err := d.writeJSON(host.Host, host)
	if err != nil {
		return nil, err
	}
	return startProcess(d.options.Directory, host.Host, d.options.Winchd, "run", "--settings", path)
}

func (d *Deployment) writeJSON(name string, value any) (string, error) {
	encoded, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return "", fmt.Errorf("encode settings of %s: %w", name, err)
	}
	path := filepath.Join(d.options.Directory, name+".json")
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		return "", fmt.Errorf("write settings of %s: %w", name, err)
	}
	return path, nil
}

// errHostExited reports that a host process exited during the start.
var errHostExited = errors.New("process exited during start")

// waitForAll polls each host in turn until the check returns nil for it.
func (d *Deployment) waitForAll(ctx context.Context, check func(context.Context, hostSettings) error) error {
	for i, host := range d.settings {
		for {
			err := check(ctx, host)
			if err == nil {
				break
			}
			if !d.hosts[i].running() {
				return fmt.Errorf("%w: %s, see %s", errHostExited, host.Host, d.hosts[i].log.Name())
			}
			if !sleepPollInterval(ctx) {
				return fmt.Errorf("wait for %s: %w", host.Host, err)
			}
		}
	}
	return nil
}

// commitNoteWithRetry commits the note, again after each failure, until it succeeds or ctx is done.
// Retries are safe because a note with the same id is committed only once.
func (d *Deployment) commitNoteWithRetry(ctx context.Context, added note) error {
	for {
		err := d.commitNote(ctx, added)
		if err == nil || !sleepPollInterval(ctx) {
			return err
		}
	}
}

func sleepPollInterval(ctx context.Context) bool {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Targets returns the addresses to which a balancer sends requests and readiness checks.
func (d *Deployment) Targets() []target.Host {
	out := make([]target.Host, 0, len(d.settings))
	for _, host := range d.settings {
		out = append(out, target.Host{Address: host.Caller.Address, Health: host.Operator.Address})
	}
	return out
}

// Prober returns a prober that measures how release notes take effect on the hosts.
func (d *Deployment) Prober() *probe.Prober {
	hosts := []probe.Host{}
	for _, host := range d.settings {
		hosts = append(hosts, probe.Host{Caller: host.Caller.Address, Operator: host.Operator.Address})
	}
	return probe.New(probe.Options{
		Hosts: hosts, OperatorSecret: operatorSecret, Organisation: d.options.Experiment.Organisations[0].ID,
	})
}

// Control returns the address of the stand-ins' control port.
func (d *Deployment) Control() string { return d.control }

// ResetCPUTime makes Processes count CPU time from now on.
func (d *Deployment) ResetCPUTime() {
	for _, p := range d.allProcesses() {
		p.resetCPUTime()
	}
}

// Processes returns the cost of each process since the last ResetCPUTime: first the
// stand-ins, then the hosts, then host processes that were stopped or killed by a fault. Between
// the fault and the restart, the old process is also listed as a host; once it has exited, that
// entry's CPU time is zero minus its time before ResetCPUTime.
func (d *Deployment) Processes() []result.Process {
	out := []result.Process{}
	for _, p := range d.allProcesses() {
		out = append(out, p.cost())
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return append(out, d.exitedCosts...)
}

func (d *Deployment) allProcesses() []*process {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := []*process{}
	if d.standins != nil {
		out = append(out, d.standins)
	}
	return append(out, d.hosts...)
}

// Stop waits for host faults to end, then stops the hosts and after them the stand-ins.
func (d *Deployment) Stop() {
	d.mu.Lock()
	d.stopped = true
	d.mu.Unlock()
	d.pendingFaults.Wait()
	group := sync.WaitGroup{}
	for _, host := range d.hosts {
		group.Go(func() { host.stop(processStopGrace) })
	}
	group.Wait()
	if d.standins != nil {
		d.standins.stop(processStopGrace)
	}
}
