package caller

import "github.com/arbutuswinch/winch"

// Numbers of the events that this package logs.
const (
	// EventRequestDone: a request ended. The line records how it was routed.
	EventRequestDone winch.EventNumber = 2001
	// EventAttemptFailed: an attempt to run a request on an endpoint failed or was cancelled.
	EventAttemptFailed winch.EventNumber = 2002
	// EventInvalidKeysCancelled: open requests were cancelled because their API keys were withdrawn or
	// could not be verified for UnverifiedKeyGrace.
	EventInvalidKeysCancelled winch.EventNumber = 2003
	// EventCancelFailed: the call to cancel a stream at its engine failed.
	EventCancelFailed winch.EventNumber = 2004
	// EventClaimUpdateFailed: the claim of a call with an idempotency key could not be finished
	// or removed after the call.
	EventClaimUpdateFailed winch.EventNumber = 2005
	// EventDrainBegun: the graceful shutdown began.
	EventDrainBegun winch.EventNumber = 2006
	// EventDrainEnded: the graceful shutdown ended.
	EventDrainEnded winch.EventNumber = 2007
)
