package era

import (
	"fmt"

	"github.com/arbutuswinch/winch"
)

// Call is a call to the service: what was known when it was sent.
type Call struct {
	sentAt position
}

// Era returns the newest era that was known when the call was sent.
func (c Call) Era() winch.Era { return c.sentAt.era }

// Answer is what the answer to a call tells of the service, also if the call failed.
type Answer struct {
	// Era is the era that the answer names, if HasEra is set.
	Era    winch.Era
	HasEra bool
	// Revision is the service's revision when it carried out the call, zero if the answer does not tell it.
	Revision winch.StoreRevision
}

// Reading is what follows from an answer.
type Reading struct {
	// Era is the era of the answer.
	Era winch.Era
	// Late is set if the answer is from an era before the newest one, or may be.
	Late bool
}

// source says how a host learned of an era.
type source string

const (
	// sourceAnswer: an answer of the service named it.
	sourceAnswer source = "answer"
	// sourceInferred: the revision of the service fell.
	sourceInferred source = "inferred"
	// sourceHost: another host told it.
	sourceHost source = "host"
)

// position is an era and the highest revision that is known in it.
type position struct {
	era      winch.Era
	revision winch.StoreRevision
}

// change is the step to a newer era. It is empty if there was none.
type change struct {
	from, to position
	source   source
}

// happened reports whether there was a step.
func (c change) happened() bool { return c.source != "" }

// state is the newest era that is known. It decides without I/O.
type state struct {
	newest position
	// named is set once an answer has named its era. From then on nothing is inferred from revisions.
	named bool
}

// begin returns the record of a call that is about to be sent.
func (s *state) begin() Call { return Call{sentAt: s.newest} }

// answered processes the answer to the call. The error matches winch.ErrInvalid if the answer tells an era or a revision that is out of
// range; the answer must then not be used.
func (s *state) answered(call Call, answer Answer) (Reading, change, error) {
	if answer.Revision < 0 || answer.Revision > winch.MaxStoreRevision {
		return Reading{}, change{}, fmt.Errorf("revision %d is not within 0 and %d: %w", answer.Revision, winch.MaxStoreRevision, winch.ErrInvalid)
	}
	if !answer.HasEra {
		return s.answeredWithoutEra(call, answer.Revision)
	}
	if err := check(answer.Era); err != nil {
		return Reading{}, change{}, err
	}
	s.named = true
	if answer.Era < s.newest.era {
		return Reading{Era: answer.Era, Late: true}, change{}, nil
	}
	return Reading{Era: answer.Era}, s.advance(position{era: answer.Era, revision: answer.Revision}, sourceAnswer), nil
}

// answeredWithoutEra processes an answer that does not name its era. If an era has begun since the call was sent, the answer may be from
// either one. Calls that are in flight at the same time can be answered in any order, so that only a revision below one that had
// arrived before the call was sent shows that the service has come back from an older copy.
func (s *state) answeredWithoutEra(call Call, revision winch.StoreRevision) (Reading, change, error) {
	if call.sentAt.era < s.newest.era {
		return Reading{Era: call.sentAt.era, Late: true}, change{}, nil
	}
	answered := position{era: s.newest.era, revision: revision}
	if s.named || revision == 0 || revision >= call.sentAt.revision {
		return Reading{Era: answered.era}, s.advance(answered, sourceInferred), nil
	}
	answered.era++
	if err := check(answered.era); err != nil {
		return Reading{}, change{}, err
	}
	return Reading{Era: answered.era}, s.advance(answered, sourceInferred), nil
}

// learned processes a position that another host knows. That host had seen the revision before it told of it, so that the answer to a
// call that this host sends from now on has at least that revision, unless the service has come back from an older copy since. What
// this host has seen in an era before is not compared with it, which would count one return of the service twice.
func (s *state) learned(told position) change {
	if told.era < s.newest.era {
		return change{}
	}
	return s.advance(told, sourceHost)
}

// advance takes over a position that is not of an earlier era than the newest one.
func (s *state) advance(to position, from source) change {
	before := s.newest
	if to.era == before.era {
		s.newest.revision = max(before.revision, to.revision)
		return change{}
	}
	s.newest = to
	return change{from: before, to: to, source: from}
}

// check returns an error that matches winch.ErrInvalid if the era is out of range.
func check(era winch.Era) error {
	if era < 0 || era > winch.MaxEra {
		return fmt.Errorf("era %d is not within 0 and %d: %w", era, winch.MaxEra, winch.ErrInvalid)
	}
	return nil
}
