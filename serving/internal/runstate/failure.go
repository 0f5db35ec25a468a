package runstate

import (
	"errors"

	"github.com/arbutuswinch/winch"
)

// Failure is what the error of an attempt proves about it.
type Failure struct {
	// Event is applied to the request's tracker.
	Event Event
	// Outcome is reported to the dispatcher.
	Outcome winch.Outcome
}

// ClassifyFailure returns what the error of an attempt proves. An error that matches refused means that the endpoint refused the
// request. Any error that does not prove otherwise counts as a lost connection, so the request may have run. If
// cancelled is set, this host ended the attempt, which is not a failure of the endpoint.
func ClassifyFailure(err, refused error, cancelled bool) Failure {
	failure := Failure{Event: ConnectionLost, Outcome: winch.OutcomeFailed}
	switch {
	case errors.Is(err, refused):
		failure = Failure{Event: EndpointRefused, Outcome: winch.OutcomeRejected}
	case errors.Is(err, winch.ErrUnavailable):
		failure = Failure{Event: NothingWritten, Outcome: winch.OutcomeUnsent}
	}
	if cancelled {
		failure.Outcome = winch.OutcomeCancelled
	}
	return failure
}
