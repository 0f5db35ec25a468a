package keyvalue

import "github.com/arbutuswinch/winch"

// The events that claims log.
const (
	// EventClaimNotForgotten: a claim whose call was not run could not be removed; repeats get an unknown outcome.
	EventClaimNotForgotten winch.EventNumber = 2101
	// EventShardFull: a shard takes no further claims.
	EventShardFull winch.EventNumber = 2102
	// EventSealFailed: finished claims could not be moved out of a shard's head, or expired ones not deleted.
	EventSealFailed winch.EventNumber = 2103
)
