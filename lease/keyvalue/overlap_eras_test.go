package keyvalue

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// longestLoss is how many changes the service loses at most when it comes back from a copy.
	longestLoss = 12
	// longestEra is how long the service keeps all that it has acknowledged, and longestRun how long a process runs, at most.
	longestEra, longestRun = 60 * time.Second, 30 * time.Second
)

// TestTermsNeverOverlapAcrossEras is TestTermsNeverOverlap with a service that comes back from older copies, and processes that begin
// anew and have read nothing of before.
func TestTermsNeverOverlapAcrossEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t}
		for i := range 3 {
			s.processes = append(s.processes, s.newProcess(i))
		}
		nextReturn, nextRestart := s.upTo(longestEra), s.upTo(longestRun)
		for range simulatedSteps {
			index := rapid.IntRange(0, 2).Draw(t, "process")
			switch {
			case s.now >= nextReturn:
				s.comeBack()
				nextReturn = s.upTo(longestEra)
			case s.now >= nextRestart:
				s.restart(index)
				nextRestart = s.upTo(longestRun)
			default:
				s.step(s.processes[index])
			}
			s.check()
		}
	})
}

// upTo returns a time from now on, at most the duration later.
func (s *simulation) upTo(longest time.Duration) time.Duration {
	return s.now + time.Duration(rapid.Float64Range(0, 1).Draw(s.t, "wait")*float64(longest))
}

func (s *simulation) newProcess(number int) *process {
	return &process{
		state:  newStateMachine(fmt.Sprintf("host-%d", number)),
		rate:   rapid.Float64Range(0.99, 1.01).Draw(s.t, "rate"),
		offset: time.Duration(rapid.IntRange(0, 10000).Draw(s.t, "offset")) * time.Second,
	}
}

// restart replaces the process by a new one. Calls of the old one may still be in flight.
func (s *simulation) restart(index int) {
	s.ended = append(s.ended, s.processes[index])
	s.processes[index] = s.newProcess(len(s.ended) + len(s.processes))
}

// comeBack begins a new era with an older state of the service. Its revisions are given out again.
func (s *simulation) comeBack() {
	lost := rapid.IntRange(0, min(longestLoss, len(s.copies))).Draw(s.t, "lost")
	s.copies = s.copies[:len(s.copies)-lost]
	saved := savedState{}
	if len(s.copies) > 0 {
		saved = s.copies[len(s.copies)-1]
	}
	s.era++
	s.revision, s.current, s.record = saved.revision, saved.current, saved.record
}
