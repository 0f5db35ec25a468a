package keyvalue

import "github.com/arbutuswinch/winch"

// Numbers of the events that this package logs.
const (
	// EventClaimRemovalFailed: the claim of a call that was not run could not be removed. Until
	// it expires, calls with the same idempotency key get an unknown outcome.
	EventClaimRemovalFailed winch.EventNumber = 2101
	// EventShardFull: a write was refused because the shard's head exceeds HeadLimit.
	EventShardFull winch.EventNumber = 2102
	// EventSealFailed: finished claims could not be moved out of a shard's head, or an expired
	// entry could not be deleted.
	EventSealFailed winch.EventNumber = 2103
)
