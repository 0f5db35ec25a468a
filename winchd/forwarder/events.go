package forwarder

import "github.com/arbutuswinch/winch"

// The events of the forwarding process.
const (
	// EventSecretUnknown: the secret that the hosts share could not be read yet.
	EventSecretUnknown winch.EventNumber = 1101
	// EventReloaded: the settings were read anew.
	EventReloaded winch.EventNumber = 1102
	// EventReloadFailed: changed settings are invalid, and the last good ones count.
	EventReloadFailed winch.EventNumber = 1103
)
