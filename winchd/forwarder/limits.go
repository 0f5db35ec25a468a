package forwarder

import (
	"time"

	"github.com/arbutuswinch/winch/winchd/settings"
)

// keyLimit returns how long after the configuration was last confirmed its keys are accepted. If
// Revoke is short compared with keyMargin, it returns half of Revoke, so that keys are accepted at all.
func keyLimit(bounds settings.ForwardingBounds) time.Duration {
	if bounds.Revoke == 0 {
		return isolationLimit
	}
	return max(bounds.Revoke-keyMargin, bounds.Revoke/2)
}

// rejectLimit returns the maximum age of the last confirmation of the configuration at which a
// missing route or key is a reason to reject a request. With an older one, the caller is told to
// retry, since a newer configuration may contain the route or key. If Apply is short compared
// with rejectMargin, rejectLimit returns half of Apply.
func rejectLimit(bounds settings.ForwardingBounds) time.Duration {
	return max(bounds.Apply-rejectMargin, bounds.Apply/2)
}

// relayedLimit returns the maximum age at which data read by the hub replaces a read by this
// host. It is half of the time in which a configuration must be applied, and is used up by the
// intervals of the hub's reads and of the exchange. The other half is left for a read by this host.
func relayedLimit(bounds settings.ForwardingBounds) time.Duration { return bounds.Apply / 2 }
