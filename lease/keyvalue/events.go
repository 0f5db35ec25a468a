package keyvalue

import "github.com/arbutuswinch/winch"

// Events of this package.
const (
	// EventAcquired: this process acquired the lease. Its term begins when its predecessor's calls can no longer be in flight.
	EventAcquired winch.EventNumber = 5001
	// EventTermBegan: the term has begun. This process may perform the duty.
	EventTermBegan winch.EventNumber = 5002
	// EventLost: another process holds the lease, or the record was deleted.
	EventLost winch.EventNumber = 5003
	// EventReleased: this process released the lease.
	EventReleased winch.EventNumber = 5004
	// EventExpired: the term ended because it could not be renewed in time.
	EventExpired winch.EventNumber = 5005
	// EventStoreCallFailed: a call to the key-value service failed, its response was lost, or the stored record could not be decoded.
	EventStoreCallFailed winch.EventNumber = 5006
	// EventReleaseAbandoned: work of the term did not end in time. The lease was not released and expires after its TTL.
	EventReleaseAbandoned winch.EventNumber = 5007
)
