package forwarder

import "github.com/arbutuswinch/winch"

// The events of the forwarding process.
const (
	// EventSecretUnknown: the shared secret of the hosts could not be read yet.
	EventSecretUnknown winch.EventNumber = 1101
	// EventReloaded: the settings were reloaded.
	EventReloaded winch.EventNumber = 1102
	// EventReloadFailed: the changed settings are invalid; the previous ones stay in effect.
	EventReloadFailed winch.EventNumber = 1103
	// EventSecretReplaced: the store has another shared secret of the hosts than this host had read.
	EventSecretReplaced winch.EventNumber = 1104
)
