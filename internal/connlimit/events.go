package connlimit

import "github.com/arbutuswinch/winch"

// The events of the limiter.
const (
	// EventBuffersUnbounded: the socket buffers of a port could not be limited.
	EventBuffersUnbounded winch.EventNumber = 1401
	// EventCrowdBegan: connections of a port were refused or ended by the host.
	EventCrowdBegan winch.EventNumber = 1402
	// EventCrowdEnded: no connection of the port was refused or ended for some time.
	EventCrowdEnded winch.EventNumber = 1403
)
