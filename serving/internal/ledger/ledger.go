// Package ledger keeps what is known of a request's execution: whether it was sent,
// whether it may have run, and whether it may be given to an endpoint again.
//
// # Usage
//
//	l := ledger.Ledger{Repeatable: false}
//	l, _ = l.Next(ledger.SlotGranted)
//	l, _ = l.Next(ledger.SendStarted)
//	l, _ = l.Next(ledger.ConnectionBroke)
//	l.MayDispatch() // false: the request may have run
package ledger

// RunState is what may be said of a request to its caller.
type RunState string

// The statements about a request.
const (
	NotRun  RunState = "not_run"
	Ran     RunState = "ran"
	Unknown RunState = "outcome_unknown"
)

// Step is the state of a request in its ledger.
type Step int

// The steps of a request.
const (
	// StepQueued: no attempt is under way.
	StepQueued Step = iota
	// StepDispatching: a slot is held and nothing was sent.
	StepDispatching
	// StepSent: bytes may have reached the endpoint.
	StepSent
	// StepAnswered: an endpoint's answer came.
	StepAnswered
	// StepLost: a call that may not be repeated was sent, and no answer came.
	StepLost
)

// Happening moves a ledger on.
type Happening int

// The happenings.
const (
	// SlotGranted: the dispatcher gave a slot.
	SlotGranted Happening = iota
	// SlotReturned: the slot was given back before anything was sent.
	SlotReturned
	// SendStarted: from here on bytes may reach the endpoint.
	SendStarted
	// NothingWritten: the sender is sure that no byte was written.
	NothingWritten
	// EndpointRefused: the endpoint said that it did not run the request.
	EndpointRefused
	// AnswerCame: the endpoint's answer began.
	AnswerCame
	// ConnectionBroke: no answer will come, or the answer broke off.
	ConnectionBroke
)

// Ledger is the record of one request. Its transitions are total:
// a happening that does not fit the state leaves it as it is and is reported as false.
type Ledger struct {
	Step Step
	// Repeatable says that the request may be run more than once.
	Repeatable bool
	// touched says that an earlier attempt may have run.
	mayHaveRun bool
}

// Next returns the ledger after the happening, and whether it fits the state.
func (l Ledger) Next(event Happening) (Ledger, bool) {
	switch {
	case l.Step == StepQueued && event == SlotGranted:
		l.Step = StepDispatching
	case l.Step == StepDispatching && event == SlotReturned:
		l.Step = StepQueued
	case l.Step == StepDispatching && event == SendStarted:
		l.Step = StepSent
	case l.Step == StepSent && (event == NothingWritten || event == EndpointRefused):
		l.Step = StepQueued
	case l.Step == StepSent && event == AnswerCame:
		l.Step = StepAnswered
	case (l.Step == StepSent || l.Step == StepAnswered) && event == ConnectionBroke:
		l.mayHaveRun = true
		l.Step = StepLost
		if l.Repeatable {
			l.Step = StepQueued
		}
	default:
		return l, false
	}
	return l, true
}

// MayDispatch reports whether the request may be given to an endpoint.
func (l Ledger) MayDispatch() bool { return l.Step == StepQueued }

// RunState returns the strongest true statement about the request.
func (l Ledger) RunState() RunState {
	switch {
	case l.Step == StepAnswered:
		return Ran
	case l.Step == StepSent, l.Step == StepLost, l.mayHaveRun:
		return Unknown
	}
	return NotRun
}
