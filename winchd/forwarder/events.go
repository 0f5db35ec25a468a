package forwarder

import "github.com/arbutuswinch/winch"

// The events of the forwarding process.
const (
	// EventSecretUnknown: the secret that the hosts share could not be read yet.
	EventSecretUnknown winch.EventNumber = 1101
)
