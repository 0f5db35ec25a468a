package winch

import (
	"errors"
	"time"
)

// Errors that cross the borders of the slices. Callers test them with errors.Is.
var (
	// ErrNotFound: the key or item does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict: the item was changed by somebody else.
	ErrConflict = errors.New("conflict")
	// ErrOutcomeUnknown: the call may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrUnavailable: the service did not take the call; it had no effect.
	ErrUnavailable = errors.New("unavailable")
	// ErrRateLimited: the service refused the call for its rate; it had no effect.
	ErrRateLimited = errors.New("rate limited")
	// ErrFenced: the receiver has seen a higher fencing number.
	ErrFenced = errors.New("fenced")
	// ErrNotInCharge: the process holds no valid term of the duty.
	ErrNotInCharge = errors.New("not in charge")
	// ErrUnauthorized: the key is unknown or withdrawn.
	ErrUnauthorized = errors.New("unauthorized")
	// ErrIsolated: the data centre is cut off for longer than its keys may be trusted.
	ErrIsolated = errors.New("isolated")
	// ErrRefused: the request was not run.
	ErrRefused = errors.New("refused")
	// ErrPreempted: the slot was taken back for a higher tier or for a leaving endpoint.
	ErrPreempted = errors.New("preempted")
	// ErrInvalid: the input breaks a rule; the text names the field.
	ErrInvalid = errors.New("invalid")
)

// Isolation says since when keys cannot be confirmed here. It matches ErrIsolated.
type Isolation struct {
	Since time.Time
}

// Error returns the sentinel's text.
func (i *Isolation) Error() string { return ErrIsolated.Error() }

// Is reports whether target is ErrIsolated.
func (i *Isolation) Is(target error) bool { return target == ErrIsolated }
