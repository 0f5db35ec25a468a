// Package era keeps track of the eras of the platform's key-value service.
//
// An era ends when the service comes back from an older copy of itself. Writes that it had acknowledged are then lost and their
// revisions are given out again, so that revisions can be compared only within one era. The service names its era in its answers.
// Where it never does, a new era is inferred when its revision falls. Hosts tell each other the newest era that they know, and the
// highest revision that they have seen in it.
//
// # Usage
//
//	tracker, err := era.New(era.Options{Logger: logger, Meter: meter})
//	if err != nil {
//		return err
//	}
//	call := tracker.Begin()
//	answer := send()
//	reading, err := tracker.Answered(call, answer)
//	if reading.Late {
//		// The answer is from before the service came back and tells nothing of its present state.
//	}
package era

import (
	"context"
	"fmt"
	"sync"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/arbutuswinch/winch"
)

// Options are the dependencies of a Tracker. Both may be nil.
type Options struct {
	Logger hclog.Logger
	// Meter counts the eras that this host learns of, by how it does.
	Meter metric.Meter
}

// Tracker knows the newest era that this host has learned of. It is safe for concurrent use.
type Tracker struct {
	logger  hclog.Logger
	counter metric.Int64Counter

	mu    sync.Mutex
	state state
}

// New returns a tracker that knows of no era.
func New(options Options) (*Tracker, error) {
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	if options.Meter == nil {
		options.Meter = noop.Meter{}
	}
	counter, err := options.Meter.Int64Counter("winch_store_eras", metric.WithDescription("Eras of the key-value service that this host learned of, by source."))
	if err != nil {
		return nil, fmt.Errorf("create counter of eras: %w", err)
	}
	return &Tracker{logger: options.Logger, counter: counter}, nil
}

// Newest returns the newest era that is known, zero if none is.
func (t *Tracker) Newest() winch.Era {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.newest.era
}

// Begin returns the record of a call that is about to be sent.
func (t *Tracker) Begin() Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.begin()
}

// Answered records the answer to the call. The error matches winch.ErrInvalid if the answer tells an era or a revision that is out of
// range; the answer must then not be used.
func (t *Tracker) Answered(call Call, answer Answer) (Reading, error) {
	t.mu.Lock()
	reading, step, err := t.state.answered(call, answer)
	t.mu.Unlock()
	t.report(step, "")
	return reading, err
}

// Position returns the newest era and the highest revision that is known in it.
func (t *Tracker) Position() winch.Version {
	t.mu.Lock()
	defer t.mu.Unlock()
	// Only what is in range has been recorded.
	version, _ := winch.NewVersion(t.state.newest.era, t.state.newest.revision)
	return version
}

// Learned records the Position of another host. The error matches winch.ErrInvalid if it is negative.
func (t *Tracker) Learned(told winch.Version, from winch.HostID) error {
	if told < 0 {
		return fmt.Errorf("position %d: %w", told, winch.ErrInvalid)
	}
	t.mu.Lock()
	step := t.state.learned(position{era: told.Era(), revision: told.Revision()})
	t.mu.Unlock()
	t.report(step, from)
	return nil
}

// report logs and counts a step to a newer era. A revision of zero in the log is not known.
func (t *Tracker) report(step change, host winch.HostID) {
	if !step.happened() {
		return
	}
	level := hclog.Warn
	if step.from == (position{}) {
		// The first answer that this process gets names an era.
		level = hclog.Info
	}
	t.logger.Log(level, "new era of the key-value service", "Event", EventEraLearned, "Era", step.to.era, "Revision", step.to.revision,
		"FormerEra", step.from.era, "FormerRevision", step.from.revision, "Source", string(step.source), "Host", host)
	t.counter.Add(context.Background(), 1, metric.WithAttributes(attribute.String("source", string(step.source))))
}
