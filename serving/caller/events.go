package caller

import "github.com/arbutuswinch/winch"

// The events that the caller port logs.
const (
	// EventRequestDone: a request ended; the line is the record of its routing.
	EventRequestDone winch.EventNumber = 2001
	// EventAttemptBroken: an attempt at an endpoint ended early.
	EventAttemptBroken winch.EventNumber = 2002
	// EventKeysEnded: open requests were ended because their keys are no longer valid.
	EventKeysEnded winch.EventNumber = 2003
	// EventCancelFailed: an engine was not reached to cancel a stream.
	EventCancelFailed winch.EventNumber = 2004
	// EventClaimNotConcluded: the outcome of a keyed call could not be kept.
	EventClaimNotConcluded winch.EventNumber = 2005
	// EventDrainBegun: the graceful stop began.
	EventDrainBegun winch.EventNumber = 2006
	// EventDrainEnded: the graceful stop ended.
	EventDrainEnded winch.EventNumber = 2007
)
