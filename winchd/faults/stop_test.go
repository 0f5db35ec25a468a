package faults

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// balancer sends a stream after the other to each host that is ready.
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
		end := b.system.stream(h, secret, 20, nil)
		b.mu.Lock()
		b.result.runs++
		if end.how != "done" {
			b.result.violate("stream at %s ended with %q after %q", h.id, end.how, end.text)
		}
		b.mu.Unlock()
	}
}

func (b *balancer) stop() {
	close(b.done)
	b.group.Wait()
}

// rollingRestart stops and replaces every host in turn under load.
func rollingRestart(t *testing.T, readinessDelay string, result *row) {
	s := startSystem(t, func(_ string, settings jsonObject) {
		settings["Shutdown"] = jsonObject{"ReadinessDelay": readinessDelay, "DrainTimeout": "20s"}
	})
	s.applyBase()
	b := s.startBalancer(result)
	for i, h := range s.hosts {
		// The balancer notices that a host is not ready a while after the signal.
		time.AfterFunc(100*time.Millisecond, func() { b.ready[i].Store(false) })
		if err := h.process.stop(); err != nil {
			b.mu.Lock()
			result.violate("host %s ended with %v", h.id, err)
			b.mu.Unlock()
		}
		b.ready[i].Store(false)
		s.startHost(h)
		s.waitFor("host "+h.id+" serves", func() bool { return s.complete(h, secret, 1).status == 200 })
		b.ready[i].Store(true)
	}
	b.stop()
}

func TestFaultsPlannedStop(t *testing.T) {
	t.Run("guarded", func(t *testing.T) {
		result := &row{promise: "a planned stop cuts no request", faults: "every host stopped and replaced in turn under load"}
		rollingRestart(t, "300ms", result)
		result.check(t)
	})
	t.Run("without the readiness delay", func(t *testing.T) {
		result := &row{promise: "a planned stop cuts no request", faults: "the same, and the hosts don't wait for the balancer"}
		rollingRestart(t, "0s", result)
		result.checkGuardOff(t)
	})
}

func TestFaultsAllHostsAtOnce(t *testing.T) {
	s := startSystem(t, nil)
	s.applyBase()
	result := &row{promise: "a restart of all hosts at once stays inside the platform's rates", faults: "all hosts killed and replaced at once"}
	before := s.state().Calls["keyvalue"]
	started := time.Now()
	for _, h := range s.hosts {
		h.process.kill()
	}
	for _, h := range s.hosts {
		s.startHost(h)
	}
	for _, h := range s.hosts {
		s.waitFor("host "+h.id+" serves", func() bool { return s.complete(h, secret, 1).status == 200 })
		result.runs++
	}
	took, calls := time.Since(started), int64(0)
	for kind, count := range s.state().Calls["keyvalue"] {
		calls += count - before[kind]
	}
	t.Logf("all hosts served again after %s, with %d calls to the key-value service", took, calls)
	if refused := s.state().Calls["keyvalue"]["rate_limited"] - before["rate_limited"]; refused > 0 {
		result.violate("%d calls were refused for their rate", refused)
	}
	if took > 30*time.Second {
		result.violate("serving took %s to come back", took)
	}
	result.check(t)
}
