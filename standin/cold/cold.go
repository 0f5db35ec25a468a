// Package cold simulates endpoints that sustain few requests for some time after a start, and crash if they get more.
//
// # Usage
//
//	meter := cold.New(cold.Limit{PerSecond: 21, Duration: 3 * time.Second})
//	meter.Start(now)
//	if meter.Overrun(now) {
//		crash()
//	}
package cold

import (
	"sync"
	"time"
)

// Limit describes how an endpoint behaves when it is cold.
type Limit struct {
	// PerSecond is the largest number of requests in any second that a cold endpoint survives. Zero means that it is never cold.
	PerSecond int
	// Duration is how long the endpoint is cold after a start.
	Duration time.Duration
}

// Meter counts the requests of an endpoint while it is cold. It is safe for concurrent use.
type Meter struct {
	limit Limit

	mu    sync.Mutex
	until time.Time
	// recent holds the times of the requests in the last second.
	recent []time.Time
	most   int
}

// New returns the meter of an endpoint that is not cold.
func New(limit Limit) *Meter { return &Meter{limit: limit} }

// Start makes the endpoint cold, as after a start.
func (m *Meter) Start(now time.Time) {
	m.mu.Lock()
	m.recent = nil
	m.mu.Unlock()
	m.Turn(now, m.limit.Duration)
}

// Turn makes the endpoint cold for the duration.
func (m *Meter) Turn(now time.Time, duration time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.limit.PerSecond <= 0 {
		return
	}
	if !now.Before(m.until) {
		m.recent = nil
	}
	m.until = now.Add(duration)
}

// Remaining returns how long the endpoint stays cold.
func (m *Meter) Remaining(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(0, m.until.Sub(now))
}

// Overrun counts a request and reports whether it is more than the cold endpoint survives.
func (m *Meter) Overrun(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !now.Before(m.until) {
		return false
	}
	kept := m.recent[:0]
	for _, at := range m.recent {
		if now.Sub(at) < time.Second {
			kept = append(kept, at)
		}
	}
	m.recent = append(kept, now)
	m.most = max(m.most, len(m.recent))
	return len(m.recent) > m.limit.PerSecond
}

// Most returns the largest number of requests in a second that the endpoint got while it was cold.
func (m *Meter) Most() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.most
}
