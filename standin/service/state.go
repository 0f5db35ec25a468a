package service

import (
	"net/http"
	"time"

	"github.com/arbutuswinch/winch/standin/counts"
	"github.com/arbutuswinch/winch/standin/fault"
	"github.com/arbutuswinch/winch/standin/wire"
)

const sampleLimit = 1024

// loadResponse has the fields of an engine's load report. Those that only engines have stay zero.
type loadResponse struct {
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
		s.noticeAt = now
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
	s.samples = append(s.samples, loadSample{at: now, running: s.running.Load(), waiting: s.waiting.Load()})
	if len(s.samples) > 2*sampleLimit {
		s.samples = append([]loadSample(nil), s.samples[sampleLimit:]...)
	}
}

func (s *Service) load(w http.ResponseWriter) {
	now := time.Now()
	lag := s.options.ReportLag
	if added, active := s.options.Board.Take(now, s.target, fault.ReportLag); active {
		lag += added.Delay
	}
	wire.Write(w, http.StatusOK, s.loadAt(now.Add(-lag)))
}

func (s *Service) loadAt(instant time.Time) loadResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	response := loadResponse{AsOf: instant, State: s.state, Models: []struct{}{}}
	for i := len(s.samples) - 1; i >= 0; i-- {
		if !s.samples[i].at.After(instant) {
			response.Running, response.Waiting = s.samples[i].running, s.samples[i].waiting
			break
		}
	}
	return response
}

// StartCold makes the service cold, as after a start.
func (s *Service) StartCold(now time.Time) { s.cold.Start(now) }

// overrun counts a request. It reports whether it makes the service crash because it is cold.
func (s *Service) overrun(now time.Time) bool {
	if turned, active := s.options.Board.Take(now, s.target, fault.Cold); active {
		s.cold.Turn(now, turned.Delay)
	}
	if !s.cold.Overrun(now) {
		return false
	}
	s.options.Counts.Add(counts.Service(s.target), "overrun")
	s.options.Overrun()
	return true
}
