package keyvalue

import "github.com/arbutuswinch/winch"

// Events of this package.
const (
	// EventAcquired: this process got the duty; its term begins when its predecessor's orders can no longer be on their way.
	EventAcquired winch.EventNumber = 5001
	// EventBegun: this process is in charge of the duty.
	EventBegun winch.EventNumber = 5002
	// EventLost: another process holds the duty.
	EventLost winch.EventNumber = 5003
	// EventReleased: this process gave the duty up.
	EventReleased winch.EventNumber = 5004
	// EventLapsed: the term ended because it could not be renewed in time.
	EventLapsed winch.EventNumber = 5005
	// EventStoreFailed: a call to the key-value service failed or its answer was lost.
	EventStoreFailed winch.EventNumber = 5006
	// EventReleaseAbandoned: work of the term did not end in time; the term is left to lapse.
	EventReleaseAbandoned winch.EventNumber = 5007
)
