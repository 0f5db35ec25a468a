package service

import (
	"net/http"
	"time"

	"github.com/arbutuswinch/winch/standin/fault"
	"github.com/arbutuswinch/winch/standin/wire"
)

const pastLimit = 1024

type loadAnswer struct {
	AsOf            time.Time
	Running         int64
	Waiting         int64
	TokensPerSecond float64
	CacheUsed       int64
	CacheLimit      int64
	Models          []struct{}
	Role            string
	State           State
}

// ID returns the service's id.
func (s *Service) ID() string { return s.options.ID }

// SetState changes the state that the service reports.
func (s *Service) SetState(now time.Time, state State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == StateLeaving && s.state != StateLeaving {
		s.noticed = now
	}
	s.state = state
}

func (s *Service) warming() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state == StateWarming
}

// Observe records a sample of the load, which is reported once ReportLag has passed.
func (s *Service) Observe(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.past = append(s.past, past{at: now, running: s.running.Load(), waiting: s.waiting.Load()})
	if len(s.past) > 2*pastLimit {
		s.past = append([]past(nil), s.past[pastLimit:]...)
	}
}

func (s *Service) load(w http.ResponseWriter) {
	now := time.Now()
	lag := s.options.ReportLag
	if late, hit := s.options.Board.Take(now, s.target, fault.ReportLag); hit {
		lag += late.Delay
	}
	wire.Write(w, http.StatusOK, s.loadAt(now.Add(-lag)))
}

func (s *Service) loadAt(instant time.Time) loadAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := loadAnswer{AsOf: instant, State: s.state, Models: []struct{}{}}
	for i := len(s.past) - 1; i >= 0; i-- {
		if !s.past[i].at.After(instant) {
			answer.Running, answer.Waiting = s.past[i].running, s.past[i].waiting
			break
		}
	}
	return answer
}
