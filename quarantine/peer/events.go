package peer

import "github.com/arbutuswinch/winch"

// Events that the quarantine logs.
const (
	// EventCrashSeen: an endpoint crashed while a request of this host waited for its first output there.
	EventCrashSeen winch.EventNumber = 2401
	// EventPartHeld: requests with the part are held back from now on.
	EventPartHeld winch.EventNumber = 2402
	// EventPartReleased: requests with the part are sent again.
	EventPartReleased winch.EventNumber = 2403
	// EventTrialFailed: a trial of the part crashed its endpoint.
	EventTrialFailed winch.EventNumber = 2404
	// EventBreakNoCrash: an attempt broke without output, but its endpoint still accepts connections, so that nothing is concluded.
	EventBreakNoCrash winch.EventNumber = 2405
	// EventRequestHeldBack: a request was refused because a part of its prompt is in quarantine.
	EventRequestHeldBack winch.EventNumber = 2406
	// EventCrashRefuted: an endpoint that was taken to have crashed runs on, so that its crashes count no more.
	EventCrashRefuted winch.EventNumber = 2407
	// EventStartUnknown: an endpoint that refused connections did not tell when it started.
	EventStartUnknown winch.EventNumber = 2408
)
