// Package experiment describes a load and the deployment for which it is meant, and
// generates its requests and faults from a seed.
//
// # Usage
//
//	exp, err := experiment.Load("experiments/probababa.json")
//	if err != nil {
//		return err
//	}
//	for _, request := range exp.Requests(seed) {
//		...
//	}
//
// The load is an open loop: arrival times do not depend on how long earlier requests
// take. Unknown fields in the file are errors. A file may set Base to the path of
// another file, relative to its own directory, and inherits all fields from it that it
// does not set itself.
package experiment

import (
	"errors"
	"fmt"
	"time"
)

// ErrInvalid reports that an experiment file is invalid. The error text names the field.
var ErrInvalid = errors.New("invalid experiment")

// Duration is a time.Duration that is encoded as text in Go's syntax, such as "1.5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("parse duration: %w", err)
	}
	*d = Duration(parsed)
	return nil
}

// Experiment is the content of an experiment file.
type Experiment struct {
	Name string
	// Notes describe properties of the deployment that a local deployment does not reproduce.
	Notes string
	// Duration is the time during which requests arrive, including Warmup. Requests of
	// the warm-up are sent but not counted.
	Duration Duration
	Warmup   Duration
	// Rate is the base rate of all classes together, in requests per second.
	Rate          float64
	Bursts        []Burst
	Classes       []Class
	Organisations []Organisation
	DataCentres   []DataCentre
	Engines       []EngineGroup
	Services      []ServiceGroup
	Faults        []Fault
}

// Burst raises the rate for some time. Empty Classes or Organisations stand for all of them.
type Burst struct {
	Start  Duration
	Length Duration
	// Factor is the ratio of the rate during the burst to the base rate.
	Factor        float64
	Classes       []string
	Organisations []string
}

// Class is a request class and describes its requests. Either Model or Route is set.
type Class struct {
	ID               string
	Tier             int
	FirstTokenTarget Duration
	InterTokenTarget Duration
	MaxWait          Duration
	QueueLimit       int
	Floor            float64
	// Share is the class's fraction of the base rate; the shares of all classes add up to one.
	Share float64
	Model string
	Route string
	// Keyed requests carry an idempotency key and are repeated with the same key, up to
	// Repeats times.
	Keyed      bool
	Repeats    int
	Idempotent bool
	// Timeout is sent with each request.
	Timeout      Duration
	PromptTokens Lengths
	OutputTokens Lengths
	// PrefixTokens is the length of the prompt prefix that an organisation's requests share.
	PrefixTokens int
}

// Lengths is a lognormal distribution of lengths in tokens.
type Lengths struct {
	Median float64
	Sigma  float64
	Max    int
}

// Organisation is a tenant that sends requests.
type Organisation struct {
	ID string
	// Load is the organisation's number of requests relative to the other organisations.
	Load float64
	// Weight is the organisation's fair-share weight in the configuration.
	Weight int
}

// DataCentre is one data centre with its entry hosts.
type DataCentre struct {
	ID    string
	Hosts int
	// ChecksFencing is set if the data centre's order interface rejects old fencing numbers.
	ChecksFencing bool
}

// EngineGroup is a group of identical engines in one data centre. If Pool is set, none
// of them runs at the start, and the system orders between Min and Max of them.
type EngineGroup struct {
	DataCentre string
	Model      string
	Count      int
	Pool       string
	Min        int
	Max        int
	// Supply is "Steady" or "Cheap".
	Supply string
	// Cost is the price of one engine in thousandths of the currency unit per hour.
	Cost                   int64
	BatchLimit             int
	WaitLimit              int
	StepBase               Duration
	StepPerSequence        Duration
	PrefillTokensPerSecond int
	CacheTokens            int
	ReportLag              Duration
	ChecksFencing          bool
}

// ServiceGroup is a group of identical plain services in one data centre.
type ServiceGroup struct {
	DataCentre string
	Route      string
	Count      int
	Cost       int64
	Time       Duration
	Slots      int
}

// Fault is a fault on one of the targets or on all of them. The seed determines its
// time, between At and At plus Spread. A target is a target of the stand-ins, or
// "host/" with a host's id. Hosts have the kinds "stop" (graceful shutdown; the host is
// restarted after Duration), "kill" (the same without a graceful shutdown) and "pause"
// (the process is suspended for Duration).
type Fault struct {
	At     Duration
	Spread Duration
	// Targets are the possible targets.
	Targets []string
	// All injects the fault into all targets at the same time, instead of one of them.
	All      bool
	Kind     string
	Duration Duration
	Delay    Duration
	Factor   float64
	Count    int
}

func fieldError(field, rule string) error {
	return fmt.Errorf("%s: %w: %s", field, ErrInvalid, rule)
}

const shareTolerance = 0.001

// Check returns an error that names the first invalid field.
func (e Experiment) Check() error {
	if e.Duration <= 0 || e.Rate <= 0 {
		return fieldError("Duration, Rate", "must be positive")
	}
	if len(e.Organisations) == 0 {
		return fieldError("Organisations", "missing")
	}
	shares := 0.0
	for i, class := range e.Classes {
		if (class.Model == "") == (class.Route == "") {
			return fieldError(fmt.Sprintf("Classes[%d]", i), "must have either Model or Route")
		}
		shares += class.Share
	}
	if shares < 1-shareTolerance || shares > 1+shareTolerance {
		return fieldError("Classes", fmt.Sprintf("shares add up to %.3f instead of 1", shares))
	}
	for i, group := range e.Engines {
		if (group.Pool == "") == (group.Count == 0) || group.Min > group.Max {
			return fieldError(fmt.Sprintf("Engines[%d]", i), "must have either Count, or Pool with Min not above Max")
		}
	}
	for i, fault := range e.Faults {
		if len(fault.Targets) == 0 {
			return fieldError(fmt.Sprintf("Faults[%d].Targets", i), "missing")
		}
	}
	return nil
}
