package faults

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// balancer sends one stream after another to each host that is ready.
type balancer struct {
	system *system
	ready  []atomic.Bool
	done   chan struct{}
	group  sync.WaitGroup

	mu     sync.Mutex
	result *row
}

func (s *system) startBalancer(result *row) *balancer {
	b := &balancer{system: s, ready: make([]atomic.Bool, len(s.hosts)), done: make(chan struct{}), result: result}
	for i := range s.hosts {
		b.ready[i].Store(true)
		b.group.Go(func() { b.run(i) })
	}
	return b
}

func (b *balancer) run(i int) {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-b.done:
			return
		case <-ticker.C:
		}
		if !b.ready[i].Load() {
			continue
		}
		h := b.system.hosts[i]
		end := b.system.stream(h, callerKey, 20, nil)
		b.mu.Lock()
		b.result.runs++
		if end.outcome != "done" {
			b.result.addViolation("stream at %s ended with %q after %q", h.id, end.outcome, end.text)
		}
		b.mu.Unlock()
	}
}

func (b *balancer) stop() {
	close(b.done)
	b.group.Wait()
}

// rollingRestart stops and restarts the hosts one by one under load.
func rollingRestart(t *testing.T, readinessDelay string, result *row) {
	s := startSystem(t, func(_ string, settings jsonObject) {
		settings["Shutdown"] = jsonObject{"ReadinessDelay": readinessDelay, "DrainTimeout": "20s"}
	})
	s.applyBase()
	b := s.startBalancer(result)
	for i, h := range s.hosts {
		// The balancer detects that a host is not ready some time after the signal.
		time.AfterFunc(100*time.Millisecond, func() { b.ready[i].Store(false) })
		if err := h.process.stop(); err != nil {
			b.mu.Lock()
			result.addViolation("host %s exited with %v", h.id, err)
			b.mu.Unlock()
		}
		b.ready[i].Store(false)
		s.startHost(h)
		s.waitFor("host "+h.id+" serves", func() bool { return s.complete(h, callerKey, 1).status == 200 })
		b.ready[i].Store(true)
	}
	b.stop()
}

func TestFaultsGracefulShutdown(t *testing.T) {
	t.Run("guarded", func(t *testing.T) {
		result := &row{promise: "a graceful shutdown interrupts no request", faults: "hosts stopped and restarted one by one under load"}
		rollingRestart(t, "300ms", result)
		result.check(t)
	})
	t.Run("without the readiness delay", func(t *testing.T) {
		result := &row{promise: "a graceful shutdown interrupts no request", faults: "hosts stopped and restarted one by one under load, without waiting for the load balancer"}
		rollingRestart(t, "0s", result)
		result.checkGuardOff(t)
	})
}

func TestFaultsRestartOfAllHosts(t *testing.T) {
	s := startSystem(t, nil)
	s.applyBase()
	result := &row{promise: "a simultaneous restart of all hosts stays within the platform's rate limits", faults: "all hosts killed and restarted at once"}
	before := s.state().Calls["keyvalue"]
	started := time.Now()
	for _, h := range s.hosts {
		h.process.kill()
	}
	for _, h := range s.hosts {
		s.startHost(h)
	}
	for _, h := range s.hosts {
		s.waitFor("host "+h.id+" serves", func() bool { return s.complete(h, callerKey, 1).status == 200 })
		result.runs++
	}
	took, calls := time.Since(started), int64(0)
	for kind, count := range s.state().Calls["keyvalue"] {
		calls += count - before[kind]
	}
	t.Logf("all hosts served again after %s, with %d calls to the key-value service", took, calls)
	if refused := s.state().Calls["keyvalue"]["rate_limited"] - before["rate_limited"]; refused > 0 {
		result.addViolation("%d calls were rejected by the rate limit", refused)
	}
	if took > 30*time.Second {
		result.addViolation("hosts served again only after %s", took)
	}
	result.check(t)
}
