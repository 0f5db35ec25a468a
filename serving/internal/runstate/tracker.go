// Package runstate is a state machine for the execution of a request. It tells whether the
// request may have run and whether it may be dispatched again.
//
// # Usage
//
//	tracker := runstate.Tracker{Repeatable: false}
//	tracker, _ = tracker.Apply(runstate.SlotGranted)
//	tracker, _ = tracker.Apply(runstate.SendStarted)
//	tracker, _ = tracker.Apply(runstate.ConnectionLost)
//	tracker.MayDispatch() // false: the request may have run
package runstate

// RunState is what a caller is told about the execution of its request.
type RunState string

// The run states of a request.
const (
	NotRun  RunState = "not_run"
	Ran     RunState = "ran"
	Unknown RunState = "outcome_unknown"
)

// State is the state of a tracker.
type State int

// The states of a tracker.
const (
	// StateQueued: no attempt is in progress.
	StateQueued State = iota
	// StateDispatching: a slot is held, and nothing was sent yet.
	StateDispatching
	// StateSent: bytes may have reached the endpoint.
	StateSent
	// StateAnswered: the endpoint's response has started.
	StateAnswered
	// StateOutcomeUnknown: the connection broke after the call was sent, and the request may not be run again.
	StateOutcomeUnknown
)

// Event is an event that changes the state of a tracker.
type Event int

// The events of a tracker.
const (
	// SlotGranted: the dispatcher granted a slot.
	SlotGranted Event = iota
	// SlotReturned: the slot was released before anything was sent.
	SlotReturned
	// SendStarted: bytes may reach the endpoint from now on.
	SendStarted
	// NothingWritten: sending failed before any byte was written.
	NothingWritten
	// EndpointRefused: the endpoint reported that it did not run the request.
	EndpointRefused
	// ResponseStarted: the endpoint's response has started.
	ResponseStarted
	// ConnectionLost: the connection broke before or during the response.
	ConnectionLost
)

// Tracker is the state machine of one request.
type Tracker struct {
	State State
	// Repeatable reports whether the request may be run more than once.
	Repeatable bool
	// mayHaveRun reports whether an attempt whose connection broke may have run.
	mayHaveRun bool
}

// Apply returns the tracker after the event. An event that is not possible in the current state
// changes nothing, and Apply returns false.
func (t Tracker) Apply(event Event) (Tracker, bool) {
	switch {
	case t.State == StateQueued && event == SlotGranted:
		t.State = StateDispatching
	case t.State == StateDispatching && event == SlotReturned:
		t.State = StateQueued
	case t.State == StateDispatching && event == SendStarted:
		t.State = StateSent
	case t.State == StateSent && (event == NothingWritten || event == EndpointRefused):
		t.State = StateQueued
	case t.State == StateSent && event == ResponseStarted:
		t.State = StateAnswered
	case (t.State == StateSent || t.State == StateAnswered) && event == ConnectionLost:
		t.mayHaveRun = true
		t.State = StateOutcomeUnknown
		if t.Repeatable {
			t.State = StateQueued
		}
	default:
		return t, false
	}
	return t, true
}

// MayDispatch reports whether the request may be dispatched to an endpoint.
func (t Tracker) MayDispatch() bool { return t.State == StateQueued }

// RunState returns Ran if a response has started and its connection has not broken, Unknown if
// an attempt may have run, and NotRun if none can have run.
func (t Tracker) RunState() RunState {
	switch {
	case t.State == StateAnswered:
		return Ran
	case t.State == StateSent, t.State == StateOutcomeUnknown, t.mayHaveRun:
		return Unknown
	}
	return NotRun
}
