package winch

import (
	"errors"
	"time"
)

// Errors that are returned across subsystems. Check for them with errors.Is.
var (
	// ErrNotFound: the key or item does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict: the item was changed concurrently.
	ErrConflict = errors.New("conflict")
	// ErrOutcomeUnknown: the call may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrUnavailable: the call failed and had no effect.
	ErrUnavailable = errors.New("unavailable")
	// ErrRateLimited: the service rejected the call because of its rate limit; it had no effect.
	ErrRateLimited = errors.New("rate limited")
	// ErrFenced: the receiver has seen a higher fencing number.
	ErrFenced = errors.New("fenced")
	// ErrNotLeaseHolder: the process does not hold the lease of the duty.
	ErrNotLeaseHolder = errors.New("not in charge")
	// ErrUnauthorized: the key is unknown or withdrawn.
	ErrUnauthorized = errors.New("unauthorized")
	// ErrIsolated: the host could not confirm its keys for longer than the limit allows, usually
	// because its data centre is isolated.
	ErrIsolated = errors.New("isolated")
	// ErrRefused: the request was not executed.
	ErrRefused = errors.New("refused")
	// ErrPreempted: the slot was revoked for a higher tier, or because the endpoint is shutting down.
	ErrPreempted = errors.New("preempted")
	// ErrOriginUnknown: it is not known which software version began a stream, and several have served.
	ErrOriginUnknown = errors.New("software version that began the stream is unknown")
	// ErrInvalid: the input is invalid; the text names the field.
	ErrInvalid = errors.New("invalid")
)

// IsolationError is an ErrIsolated with the time since which keys could not be confirmed.
type IsolationError struct {
	// Since is the time from which on the keys could not be confirmed.
	Since time.Time
}

// Error returns the text of ErrIsolated.
func (i *IsolationError) Error() string { return ErrIsolated.Error() }

// Is reports whether target is ErrIsolated.
func (i *IsolationError) Is(target error) bool { return target == ErrIsolated }
