package process

import "github.com/arbutuswinch/winch"

// The events of the process.
const (
	// EventStarted: the process is about to serve; its ports are open.
	EventStarted winch.EventNumber = 1001
	// EventStopping: a graceful shutdown has begun.
	EventStopping winch.EventNumber = 1002
	// EventStopped: the process has stopped.
	EventStopped winch.EventNumber = 1003
	// EventPartFailed: a background task, named by the field Part, returned an error, and the
	// process stops.
	EventPartFailed winch.EventNumber = 1004
	// EventLibrary: a log line of the HTTP library.
	EventLibrary winch.EventNumber = 1005
	// EventDrainIncomplete: requests were still open at the end of a graceful shutdown and were
	// cancelled.
	EventDrainIncomplete winch.EventNumber = 1006
	// EventStopIncomplete: a server or background tasks did not stop in time and were given up.
	EventStopIncomplete winch.EventNumber = 1007
	// EventMemoryScarce: requests or connections were refused because of the memory budget.
	EventMemoryScarce winch.EventNumber = 1008
	// EventMemoryCalm: the memory budget has refused nothing for some time.
	EventMemoryCalm winch.EventNumber = 1009
)
