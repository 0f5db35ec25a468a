package forward

import "github.com/arbutuswinch/winch"

// Events that the forwarding server logs.
const (
	// EventForwardDone: a caller's request has ended, whether it was forwarded or refused.
	// It is logged once for each request.
	EventForwardDone winch.EventNumber = 2201
	// EventAttemptFailed: an attempt at an endpoint failed.
	EventAttemptFailed winch.EventNumber = 2202
	// EventDrainStarted: the graceful shutdown has begun.
	EventDrainStarted winch.EventNumber = 2203
	// EventDrainEnded: the graceful shutdown has ended.
	EventDrainEnded winch.EventNumber = 2204
	// EventStartUnread: an endpoint did not tell when it started, before a stream was to go on there.
	EventStartUnread winch.EventNumber = 2205
	// EventOriginDoubted: a stream has begun at an endpoint that has started again since it was listed.
	EventOriginDoubted winch.EventNumber = 2206
	// EventEndNotProved: the body of an endpoint's response had neither a length nor chunks and ended with its connection.
	EventEndNotProved winch.EventNumber = 2207
)
