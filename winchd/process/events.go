package process

import "github.com/arbutuswinch/winch"

// The events of the process.
const (
	// EventStarted: the process serves.
	EventStarted winch.EventNumber = 1001
	// EventStopping: a planned stop has begun.
	EventStopping winch.EventNumber = 1002
	// EventStopped: the process has ended its work.
	EventStopped winch.EventNumber = 1003
	// EventPartFailed: a part of the process ended with an error, and the process ends.
	EventPartFailed winch.EventNumber = 1004
	// EventLibrary: a line of the HTTP library.
	EventLibrary winch.EventNumber = 1005
	// EventDrainIncomplete: requests were still open at the end of a planned stop.
	EventDrainIncomplete winch.EventNumber = 1006
)
