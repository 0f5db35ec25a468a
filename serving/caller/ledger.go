package caller

// runState is what may be said of a request to its caller.
type runState string

const (
	runStateNotRun  runState = "not_run"
	runStateRan     runState = "ran"
	runStateUnknown runState = "outcome_unknown"
)

// step is the state of a request in its ledger.
type step int

const (
	// stepQueued: no attempt is under way.
	stepQueued step = iota
	// stepDispatching: a slot is held and nothing was sent.
	stepDispatching
	// stepSent: bytes may have reached the endpoint.
	stepSent
	// stepAnswered: an endpoint's answer came.
	stepAnswered
	// stepLost: a call that may not be repeated was sent, and no answer came.
	stepLost
)

// happening moves a ledger on.
type happening int

const (
	// slotGranted: the dispatcher gave a slot.
	slotGranted happening = iota
	// slotReturned: the slot was given back before anything was sent.
	slotReturned
	// sendStarted: from here on bytes may reach the endpoint.
	sendStarted
	// nothingWritten: the sender is sure that no byte was written.
	nothingWritten
	// endpointRefused: the endpoint said that it did not run the request.
	endpointRefused
	// answerCame: the endpoint's answer began.
	answerCame
	// connectionBroke: no answer will come, or the answer broke off.
	connectionBroke
)

// ledger keeps what is known of a request's execution. Its transitions are total:
// a happening that does not fit the state leaves it as it is and is reported as false.
type ledger struct {
	step step
	// repeatable says that the request may be run more than once.
	repeatable bool
	// touched says that an earlier attempt may have run.
	touched bool
}

func (l ledger) next(what happening) (ledger, bool) {
	switch {
	case l.step == stepQueued && what == slotGranted:
		l.step = stepDispatching
	case l.step == stepDispatching && what == slotReturned:
		l.step = stepQueued
	case l.step == stepDispatching && what == sendStarted:
		l.step = stepSent
	case l.step == stepSent && (what == nothingWritten || what == endpointRefused):
		l.step = stepQueued
	case l.step == stepSent && what == answerCame:
		l.step = stepAnswered
	case (l.step == stepSent || l.step == stepAnswered) && what == connectionBroke:
		l.touched = true
		l.step = stepLost
		if l.repeatable {
			l.step = stepQueued
		}
	default:
		return l, false
	}
	return l, true
}

// mayDispatch reports whether the request may be given to an endpoint.
func (l ledger) mayDispatch() bool { return l.step == stepQueued }

// runState returns the strongest true statement about the request.
func (l ledger) runState() runState {
	switch {
	case l.step == stepAnswered:
		return runStateRan
	case l.step == stepSent, l.step == stepLost, l.touched:
		return runStateUnknown
	}
	return runStateNotRun
}
