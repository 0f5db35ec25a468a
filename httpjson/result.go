package httpjson

import (
	"errors"
	"fmt"

	"github.com/arbutuswinch/winch"
)

// WithoutEffect converts the error of a read-only call. Such a call certainly had no effect when it
// failed, so ErrOutcomeUnknown becomes ErrUnavailable. Other errors and nil are returned unchanged.
func WithoutEffect(err error) error {
	if errors.Is(err, winch.ErrOutcomeUnknown) {
		return fmt.Errorf("%w: %s", winch.ErrUnavailable, err.Error())
	}
	return err
}

// ResultOf returns the result of a call as a metric label.
func ResultOf(err error) string {
	switch {
	case err == nil:
		return "done"
	case errors.Is(err, winch.ErrConflict):
		return "conflict"
	case errors.Is(err, winch.ErrRateLimited):
		return "rate_limited"
	case errors.Is(err, winch.ErrUnavailable):
		return "unavailable"
	case errors.Is(err, winch.ErrOutcomeUnknown):
		return "outcome_unknown"
	}
	return "failed"
}
