// Package ledger is a state machine for the execution of a request. It tells whether the
// request may have run and whether it may be dispatched again.
//
// # Usage
//
//	l := ledger.Ledger{Repeatable: false}
//	l, _ = l.Next(ledger.SlotGranted)
//	l, _ = l.Next(ledger.SendStarted)
//	l, _ = l.Next(ledger.ConnectionBroke)
//	l.MayDispatch() // false: the request may have run
package ledger

// RunState is what a caller is told about the execution of its request.
type RunState string

// The run states of a request.
const (
	NotRun  RunState = "not_run"
	Ran     RunState = "ran"
	Unknown RunState = "outcome_unknown"
)

// Step is the state of a ledger.
type Step int

// The states of a ledger.
const (
	// StepQueued: no attempt is in progress.
	StepQueued Step = iota
	// StepDispatching: a slot is held, and nothing was sent yet.
	StepDispatching
	// StepSent: bytes may have reached the endpoint.
	StepSent
	// StepAnswered: the endpoint's response has started.
	StepAnswered
	// StepLost: the connection broke after the call was sent, and the request may not be run again.
	StepLost
)

// Happening is an event that changes the state of a ledger.
type Happening int

// The events of a ledger.
const (
	// SlotGranted: the dispatcher granted a slot.
	SlotGranted Happening = iota
	// SlotReturned: the slot was released before anything was sent.
	SlotReturned
	// SendStarted: bytes may reach the endpoint from now on.
	SendStarted
	// NothingWritten: sending failed before any byte was written.
	NothingWritten
	// EndpointRefused: the endpoint reported that it did not run the request.
	EndpointRefused
	// AnswerCame: the endpoint's response has started.
	AnswerCame
	// ConnectionBroke: the connection broke before or during the response.
	ConnectionBroke
)

// Ledger is the state machine of one request.
type Ledger struct {
	Step Step
	// Repeatable reports whether the request may be run more than once.
	Repeatable bool
	// mayHaveRun reports whether an attempt whose connection broke may have run.
	mayHaveRun bool
}

// Next returns the ledger after the event. An event that is not possible in the current state
// changes nothing, and Next returns false.
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

// MayDispatch reports whether the request may be dispatched to an endpoint.
func (l Ledger) MayDispatch() bool { return l.Step == StepQueued }

// RunState returns Ran if a response has started and its connection has not broken, Unknown if
// an attempt may have run, and NotRun if none can have run.
func (l Ledger) RunState() RunState {
	switch {
	case l.Step == StepAnswered:
		return Ran
	case l.Step == StepSent, l.Step == StepLost, l.mayHaveRun:
		return Unknown
	}
	return NotRun
}
