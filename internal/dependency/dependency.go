// Package dependency logs when a periodically called service starts to fail and when it recovers.
//
// # Usage
//
//	store := dependency.New("configuration source", logger, EventSourceFailed, EventSourceRecovered)
//	store.Note(err) // after each call
package dependency

import (
	"context"
	"errors"

	"github.com/hashicorp/go-hclog"

	"github.com/arbutuswinch/winch"
)

// warnEvery is the number of consecutive failed calls after which a warning is repeated. The first
// failed call is always logged.
const warnEvery = 10

// Dependency counts consecutive failed calls. It must not be used concurrently.
type Dependency struct {
	name           string
	logger         hclog.Logger
	failedEvent    winch.EventNumber
	recoveredEvent winch.EventNumber
	failures       int
}

// New returns a dependency that is logged under the name, with the events for its failure and its recovery.
func New(name string, logger hclog.Logger, failed, recovered winch.EventNumber) *Dependency {
	return &Dependency{name: name, logger: logger, failedEvent: failed, recoveredEvent: recovered}
}

// Note records the result of a call. Cancelled calls are ignored. The logged field Failures of a
// warning is the number of failed calls before this one.
func (d *Dependency) Note(err error) {
	switch {
	case errors.Is(err, context.Canceled):
	case err != nil:
		if d.failures%warnEvery == 0 {
			d.logger.Warn(d.name+": call failed", "Event", d.failedEvent, "Failures", d.failures, "Error", err)
		}
		d.failures++
	case d.failures > 0:
		d.logger.Info(d.name+" recovered", "Event", d.recoveredEvent, "Failures", d.failures)
		d.failures = 0
	}
}
