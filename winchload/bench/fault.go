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
func (s *Set) Fault(host, kind string, duration time.Duration) error {
	at := -1
	for i, settings := range s.settings {
		if settings.Host == host {
			at = i
		}
	}
	if at < 0 {
		return fmt.Errorf("no host %s", host)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return nil
	}
	hit := s.hosts[at]
	switch kind {
	case faultPause:
		s.repairs.Go(func() { hit.pause(duration) })
	case faultKill:
		s.paid = append(s.paid, hit.cost())
		s.repairs.Go(func() { s.replace(at, hit.kill, duration) })
	case faultStop:
		s.paid = append(s.paid, hit.cost())
		s.repairs.Go(func() { s.replace(at, func() { hit.stop(stopGrace) }, duration) })
	default:
		return fmt.Errorf("hosts have no fault %s", kind)
	}
	return nil
}

// replace ends the host's process and starts a new one after the delay.
func (s *Set) replace(at int, end func(), after time.Duration) {
	end()
	time.Sleep(after)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	if started, err := s.startHost(s.settings[at]); err == nil {
		s.hosts[at] = started
	}
}
