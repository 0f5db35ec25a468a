package forward

import "github.com/arbutuswinch/winch"

// The events that the forwarding port logs.
const (
	// EventForwardDone: a forwarded request ended; the line is the record of it.
	EventForwardDone winch.EventNumber = 2201
	// EventAttemptFailed: an attempt at an endpoint gave no answer.
	EventAttemptFailed winch.EventNumber = 2202
	// EventDrainBegun: the graceful stop began.
	EventDrainBegun winch.EventNumber = 2203
	// EventDrainEnded: the graceful stop ended.
	EventDrainEnded winch.EventNumber = 2204
)
