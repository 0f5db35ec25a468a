// Package dependency logs when something that is called at a pace is lost and regained.
//
// # Usage
//
//	store := dependency.New("configuration source", logger, EventSourceFailed, EventSourceRegained)
//	store.Note(err) // after each call
package dependency

import (
	"context"
	"errors"

	"github.com/hashicorp/go-hclog"

	"github.com/arbutuswinch/winch"
)

// warnEvery is the number of failed calls between two warnings.
const warnEvery = 10

// Dependency counts the failed calls in a row. It must not be used concurrently.
type Dependency struct {
	name     string
	logger   hclog.Logger
	lost     winch.EventNumber
	regained winch.EventNumber
	failures int
}

// New returns a dependency that is logged under the name, with the events for its loss and its return.
func New(name string, logger hclog.Logger, lost, regained winch.EventNumber) *Dependency {
	return &Dependency{name: name, logger: logger, lost: lost, regained: regained}
}

// Note takes the result of a call in. A call that was cancelled tells nothing.
func (d *Dependency) Note(err error) {
	switch {
	case errors.Is(err, context.Canceled):
	case err != nil:
		if d.failures%warnEvery == 0 {
			d.logger.Warn(d.name+" failed", "Event", d.lost, "Failures", d.failures, "Error", err)
		}
		d.failures++
	case d.failures > 0:
		d.logger.Info(d.name+" regained", "Event", d.regained, "Failures", d.failures)
		d.failures = 0
	}
}
