// Package bench starts a complete local deployment for an experiment: the stand-ins
// and the hosts of each data centre, with the experiment's release note applied.
//
// # Usage
//
//	set, err := bench.Start(ctx, bench.Options{Experiment: loaded, Policy: "Winch", Winchd: "bin/winchd", Standin: "bin/standin"})
//	if err != nil {
//		return err
//	}
//	defer set.Stop()
//	picker := target.NewBalancer(set.Targets())
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
	startDelay     = 2 * time.Second
	stopNotice     = 5 * time.Second
	hostListLag    = time.Second
	readinessDelay = 200 * time.Millisecond
	drainTimeout   = time.Minute

	startTimeout = 60 * time.Second
	startTries   = 4
	stopGrace    = drainTimeout + 10*time.Second
	pollInterval = 100 * time.Millisecond
	callTimeout  = 5 * time.Second
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

// Set is a running deployment.
type Set struct {
	options  Options
	http     *http.Client
	platform *process
	settings []hostSettings
	// control is the address of the stand-ins' control port.
	control string

	mu      sync.Mutex
	stopped bool
	// hosts are the host processes, in the order of the settings.
	hosts []*process
	// paid holds the costs of host processes that were replaced.
	paid []result.Process
	// repairs counts host faults that have not ended.
	repairs sync.WaitGroup
}

// Start starts all processes and returns when each host serves the experiment's models.
// If a host exits during the start, for example because another program took its port,
// Start deletes the directory and tries again with other ports, unless BasePort is set.
func Start(ctx context.Context, options Options) (*Set, error) {
	for try := 1; ; try++ {
		set, err := startOnce(ctx, options)
		if !errors.Is(err, errEnded) || try == startTries || options.BasePort != 0 {
			return set, err
		}
		if err := os.RemoveAll(options.Directory); err != nil {
			return nil, fmt.Errorf("remove what is left of a start: %w", err)
		}
	}
}

func startOnce(ctx context.Context, options Options) (*Set, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := os.MkdirAll(options.Directory, 0o755); err != nil {
		return nil, fmt.Errorf("create directory: %w", err)
	}
	s := &Set{options: options, http: &http.Client{Timeout: callTimeout}}
	if err := s.start(ctx); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

func (s *Set) start(ctx context.Context) error {
	ports := newPorts(s.options.BasePort)
	addresses, err := s.startPlatform(ctx, ports)
	if err != nil {
		return err
	}
	if s.settings, err = newHosts(s.options.Experiment, addresses, s.options, ports); err != nil {
		return err
	}
	if err := control.New(s.control).SetHosts(ctx, listed(s.settings)); err != nil {
		return fmt.Errorf("set host list: %w", err)
	}
	for _, host := range s.settings {
		started, err := s.startHost(host)
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, started)
	}
	if err := s.waitAll(ctx, s.ready); err != nil {
		return err
	}
	if err := s.applyNote(ctx, newNote(s.options.Experiment, addresses)); err != nil {
		return err
	}
	return s.waitAll(ctx, s.serving)
}

func (s *Set) startPlatform(ctx context.Context, ports *portCounter) (map[string]string, error) {
	path, err := s.write("standin", newPlatformSettings(s.options.Experiment, s.options.Seed, ports))
	if err != nil {
		return nil, err
	}
	if s.platform, err = startProcess(s.options.Directory, "standin", s.options.Standin, "--settings", path); err != nil {
		return nil, err
	}
	line, err := s.platform.firstLine(ctx)
	if err != nil {
		return nil, err
	}
	addresses := map[string]string{}
	if err := json.Unmarshal([]byte(line), &addresses); err != nil {
		return nil, fmt.Errorf("read addresses of the stand-ins: %w", err)
	}
	s.control = addresses["control"]
	return addresses, nil
}

func (s *Set) startHost(host hostSettings) (*process, error) {
	path, err := s.write(host.Host, host)
	if err != nil {
		return nil, err
	}
	return startProcess(s.options.Directory, host.Host, s.options.Winchd, "run", "--settings", path)
}

func (s *Set) write(name string, value any) (string, error) {
	encoded, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return "", fmt.Errorf("encode settings of %s: %w", name, err)
	}
	path := filepath.Join(s.options.Directory, name+".json")
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		return "", fmt.Errorf("write settings of %s: %w", name, err)
	}
	return path, nil
}

// errEnded reports that a host process exited during the start.
var errEnded = errors.New("process ended")

// waitAll polls each host in turn until the check returns nil for it.
func (s *Set) waitAll(ctx context.Context, check func(context.Context, hostSettings) error) error {
	for i, host := range s.settings {
		for {
			err := check(ctx, host)
			if err == nil {
				break
			}
			if !s.hosts[i].running() {
				return fmt.Errorf("%w: %s, see %s", errEnded, host.Host, s.hosts[i].log.Name())
			}
			if !pause(ctx) {
				return fmt.Errorf("wait for %s: %w", host.Host, err)
			}
		}
	}
	return nil
}

// applyNote retries until the note is committed. Retries are safe because a note with
// the same id is committed only once.
func (s *Set) applyNote(ctx context.Context, added note) error {
	for {
		err := s.apply(ctx, added)
		if err == nil || !pause(ctx) {
			return err
		}
	}
}

func pause(ctx context.Context) bool {
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
func (s *Set) Targets() []target.Host {
	out := make([]target.Host, 0, len(s.settings))
	for _, host := range s.settings {
		out = append(out, target.Host{Address: host.Caller.Address, Health: host.Operator.Address})
	}
	return out
}

// Prober returns a prober that measures how release notes take effect on the hosts.
func (s *Set) Prober() *probe.Prober {
	hosts := []probe.Host{}
	for _, host := range s.settings {
		hosts = append(hosts, probe.Host{Caller: host.Caller.Address, Operator: host.Operator.Address})
	}
	return probe.New(probe.Options{
		Hosts: hosts, OperatorSecret: operatorSecret, Organisation: s.options.Experiment.Organisations[0].ID,
	})
}

// Control returns the address of the stand-ins' control port.
func (s *Set) Control() string { return s.control }

// Mark makes Processes count CPU time from now on.
func (s *Set) Mark() {
	for _, p := range s.all() {
		p.mark()
	}
}

// Processes returns the cost of each process since the last Mark: first the stand-ins,
// then the hosts, then host processes that were replaced.
func (s *Set) Processes() []result.Process {
	out := []result.Process{}
	for _, p := range s.all() {
		out = append(out, p.cost())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(out, s.paid...)
}

func (s *Set) all() []*process {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []*process{}
	if s.platform != nil {
		out = append(out, s.platform)
	}
	return append(out, s.hosts...)
}

// Stop waits for host faults to end, then stops the hosts and after them the stand-ins.
func (s *Set) Stop() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.repairs.Wait()
	group := sync.WaitGroup{}
	for _, host := range s.hosts {
		group.Go(func() { host.stop(stopGrace) })
	}
	group.Wait()
	if s.platform != nil {
		s.platform.stop(stopGrace)
	}
}
