package tunnel

import "github.com/arbutuswinch/winch"

// Event numbers of the log lines of this package; docs/EVENTS.md describes them.
const (
	// EventDetourBegan: an endpoint is reached through other hosts, since this one does not reach it.
	EventDetourBegan winch.EventNumber = 2601
	// EventDetourEnded: an endpoint is reached directly again.
	EventDetourEnded winch.EventNumber = 2602
	// EventDrainIncomplete: tunnels were still open when this host had to stop.
	EventDrainIncomplete winch.EventNumber = 2603
)
