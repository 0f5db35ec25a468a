package httpjson

import (
	"errors"
	"fmt"

	"github.com/arbutuswinch/winch"
)

// WithoutEffect returns the error of a call that changes nothing: a lost answer leaves no
// outcome unknown, and is winch.ErrUnavailable. Other errors and nil are returned as they are.
func WithoutEffect(err error) error {
	if errors.Is(err, winch.ErrOutcomeUnknown) {
		return fmt.Errorf("%w: %s", winch.ErrUnavailable, err.Error())
	}
	return err
}

// ResultOf names the result of a call, as a label of metrics.
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
