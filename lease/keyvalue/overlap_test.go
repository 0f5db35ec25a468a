package keyvalue

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/arbutuswinch/winch"
)

// simulatedSteps is the number of steps of one simulation.
const simulatedSteps = 2000

// simulation runs several state machines on one record. Writes take effect late or never,
// and responses are lost.
type simulation struct {
	t   *rapid.T
	now time.Duration
	// revision is the revision given out last, and current that of the record, zero if there is none. They are equal until
	// the service comes back from a copy.
	revision winch.StoreRevision
	current  winch.StoreRevision
	record   record
	// era is the present one, and copies the states from which the service may come back.
	era       winch.Era
	copies    []savedState
	highest   winch.FencingNumber
	processes []*process
	// ended are processes that were replaced by others.
	ended   []*process
	delayed []action
	// paused is a process that makes no steps.
	paused *process
}

// savedState is a state of the service.
type savedState struct {
	revision, current winch.StoreRevision
	record            record
}

type process struct {
	state  stateMachine
	rate   float64
	offset time.Duration
	call   *action
	inTerm bool
	// hadTerm is whether the process has been in a term, and lastInTerm when it was
	// last seen to be.
	lastInTerm time.Duration
	hadTerm    bool
}

func TestTermsNeverOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t}
		for i := range 3 {
			s.processes = append(s.processes, &process{
				state:  newStateMachine(fmt.Sprintf("host-%d", i)),
				rate:   rapid.Float64Range(0.99, 1.01).Draw(t, "rate"),
				offset: time.Duration(rapid.IntRange(0, 10000).Draw(t, "offset")) * time.Second,
			})
		}
		for range simulatedSteps {
			s.step(s.processes[rapid.IntRange(0, 2).Draw(t, "process")])
			s.check()
		}
	})
}

// step simulates one random event: a step of the process, the passage of time, the arrival
// of a delayed write, or a pause of the process instead of the one paused before. The
// ranges of kind set how often each event occurs; 0 to 11 are steps of the process itself.
func (s *simulation) step(p *process) {
	kind := rapid.IntRange(0, 20).Draw(s.t, "step")
	if p == s.paused && kind < 12 {
		return
	}
	switch kind {
	case 0, 1, 2, 3, 4, 5:
		s.startCall(p)
	case 6, 7, 8, 9, 10, 11:
		s.completeCall(p)
	case 12, 13, 14, 15:
		s.now += time.Duration(rapid.IntRange(1, 100).Draw(s.t, "ms")) * time.Millisecond
	case 16, 17:
		s.now += time.Duration(rapid.IntRange(1, 3000).Draw(s.t, "ms")) * time.Millisecond
	case 18, 19:
		if len(s.delayed) > 0 {
			s.applyWrite(s.delayed[0])
			s.delayed = s.delayed[1:]
		}
	case 20:
		s.paused = p
	}
}

func (s *simulation) localTime(p *process) time.Time {
	return start.Add(p.offset + time.Duration(float64(s.now)*p.rate))
}

func (s *simulation) applyWrite(a action) (winch.Version, result) {
	if a.expect.Revision() != s.current {
		return 0, resultConflict
	}
	s.revision++
	s.current, s.record = s.revision, a.record
	s.copies = append(s.copies, savedState{revision: s.revision, current: s.current, record: s.record})
	return s.version(), resultDone
}

// send carries out a write as the client of the service does: one whose condition is of another era is not sent if the client knows of the
// present one, and otherwise its outcome is unknown.
func (s *simulation) send(call action) (winch.Version, result) {
	lost := !call.expect.Special() && call.expect.Era() != s.era
	if lost && rapid.Bool().Draw(s.t, "known") {
		return 0, resultConflict
	}
	version, outcome := s.applyWrite(call)
	if lost && outcome == resultDone {
		return 0, resultUnknown
	}
	return version, outcome
}

// version returns the version of the record.
func (s *simulation) version() winch.Version {
	version, err := winch.NewVersion(s.era, s.current)
	if err != nil {
		s.t.Fatal(err)
	}
	return version
}

// startCall lets the process decide on its next call, unless one is in progress.
func (s *simulation) startCall(p *process) {
	if p.call != nil {
		return
	}
	candidate := rapid.IntRange(0, 9).Draw(s.t, "candidate") > 0
	if next := p.state.next(s.localTime(p), candidate, false); next.step != stepWait {
		p.call = &next
	}
}

// completeCall ends the call that the process has in progress, with a random result. A read
// fails if fate is 0 and succeeds otherwise.
func (s *simulation) completeCall(p *process) {
	if p.call == nil {
		return
	}
	call := *p.call
	p.call = nil
	fate := rapid.IntRange(0, 5).Draw(s.t, "fate")
	if call.step == stepRead {
		s.completeRead(p, fate)
		return
	}
	switch fate {
	case 0: // The write is still in flight when the writer stops waiting for the response.
		s.delayed = append(s.delayed, call)
		p.state.writeCompleted(s.localTime(p), 0, resultUnknown)
	case 1: // The write takes effect, but its response is lost.
		s.applyWrite(call)
		p.state.writeCompleted(s.localTime(p), 0, resultUnknown)
	case 2: // The write has no effect.
		p.state.writeCompleted(s.localTime(p), 0, resultFailed)
	default:
		version, outcome := s.send(call)
		p.state.writeCompleted(s.localTime(p), version, outcome)
	}
}

func (s *simulation) completeRead(p *process, fate int) {
	if fate == 0 {
		p.state.readFailed(s.localTime(p))
		return
	}
	p.state.readCompleted(s.localTime(p), s.current == 0, s.version(), s.record)
}

// check asserts that terms never overlap, and that all calls of a term have had their effect
// before the next term begins.
func (s *simulation) check() {
	for _, p := range s.processes {
		_, held := p.state.term(s.localTime(p))
		if held && !p.inTerm {
			s.checkBegin(p)
		}
		p.inTerm = held
		if held {
			p.lastInTerm, p.hadTerm = s.now, true
		}
	}
}

func (s *simulation) checkBegin(p *process) {
	if p.state.lease.number < s.highest {
		s.t.Fatalf("%s begins with the number %d after %d", p.state.settings.holder, p.state.lease.number, s.highest)
	}
	s.highest = p.state.lease.number
	// The rates of two clocks differ by up to 2 %.
	inFlight := time.Duration(float64(defaultInFlight) * 0.98)
	for _, other := range slices.Concat(s.processes, s.ended) {
		if other == p || !other.hadTerm {
			continue
		}
		if s.now < other.lastInTerm+inFlight {
			s.t.Fatalf("%s begins at %s, the term of %s still ran at %s", p.state.settings.holder, s.now, other.state.settings.holder, other.lastInTerm)
		}
	}
}
