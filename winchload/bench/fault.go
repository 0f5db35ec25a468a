package bench

import (
	"fmt"
	"time"
)

// The kinds of faults that a host can have.
const (
	faultStop  = "stop"
	faultKill  = "kill"
	faultPause = "pause"
)

// Fault stops, kills or pauses a host. It returns without waiting for the fault to
// end. A stopped or killed host is restarted with the same settings after the duration.
// The costs of the old process are recorded at the start of the fault, because they
// cannot be read once it has exited. Until the restart it is also still listed as a host.
func (d *Deployment) Fault(host, kind string, duration time.Duration) error {
	index := -1
	for i, settings := range d.settings {
		if settings.Host == host {
			index = i
		}
	}
	if index < 0 {
		return fmt.Errorf("unknown host %s", host)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return nil
	}
	target := d.hosts[index]
	switch kind {
	case faultPause:
		d.pendingFaults.Go(func() { target.pause(duration) })
	case faultKill:
		d.exitedCosts = append(d.exitedCosts, target.cost())
		d.pendingFaults.Go(func() { d.restart(index, target.kill, duration) })
	case faultStop:
		d.exitedCosts = append(d.exitedCosts, target.cost())
		d.pendingFaults.Go(func() { d.restart(index, func() { target.stop(processStopGrace) }, duration) })
	default:
		return fmt.Errorf("unknown kind of host fault %s", kind)
	}
	return nil
}

// restart ends the host's process and starts a new one after the delay. A host that cannot
// be restarted stays away for the rest of the run.
func (d *Deployment) restart(index int, end func(), delay time.Duration) {
	end()
	time.Sleep(delay)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return
	}
	if started, err := d.startHost(d.settings[index]); err == nil {
		d.hosts[index] = started
	}
}
