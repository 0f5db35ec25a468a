// Package experiment describes a load and the deployment that it is meant for,
// and draws its requests and faults by seed.
//
// # Usage
//
//	loaded, err := experiment.Load("experiments/probababa.json")
//	if err != nil {
//		return err
//	}
//	for _, request := range loaded.Requests(seed) {
//		...
//	}
//
// The load is an open loop: requests arrive when they arrive, however long the
// earlier ones take. Unknown fields of the file are errors. A file with a Base, the
// path of another from its own directory, takes over all fields that it does not set.
package experiment

import (
	"errors"
	"fmt"
	"time"
)

// ErrInvalid says that the file breaks a rule; the text names the field.
var ErrInvalid = errors.New("invalid experiment")

// Duration is a duration that is written as Go writes it, such as "1.5s".
type Duration time.Duration

// MarshalText returns the duration's text.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads the duration's text.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("parse duration: %w", err)
	}
	*d = Duration(parsed)
	return nil
}

// Experiment is the whole file.
type Experiment struct {
	Name string
	// Notes say what the deployment looks like beyond what the bench shows.
	Notes string
	// Duration is the time during which requests arrive. Those of the warm-up are sent but not counted.
	Duration Duration
	Warmup   Duration
	// Rate is the base rate of all classes together, in requests a second.
	Rate          float64
	Bursts        []Burst
	Classes       []Class
	Organisations []Organisation
	DataCentres   []DataCentre
	Engines       []EngineGroup
	Services      []ServiceGroup
	Faults        []Fault
}

// Burst raises the rate for a while. Without names it concerns all classes or organisations.
type Burst struct {
	Start  Duration
	Length Duration
	// Factor is the rate in the burst over the base rate.
	Factor        float64
	Classes       []string
	Organisations []string
}

// Class is a request class and what its requests look like. Model or Route is set.
type Class struct {
	ID               string
	Tier             int
	FirstTokenTarget Duration
	InterTokenTarget Duration
	MaxWait          Duration
	QueueLimit       int
	Floor            float64
	// Share is the class's part of the base rate; the shares of all classes sum up to one.
	Share float64
	Model string
	Route string
	// Keyed requests carry an idempotency key and are repeated with it, up to Repeats times.
	Keyed      bool
	Repeats    int
	Idempotent bool
	// Timeout is sent with each request.
	Timeout      Duration
	PromptTokens Lengths
	OutputTokens Lengths
	// PrefixTokens is how much of the prompt all requests of an organisation share.
	PrefixTokens int
}

// Lengths is a lognormal distribution of lengths in tokens.
type Lengths struct {
	Median float64
	Sigma  float64
	Max    int
}

// Organisation is a tenant.
type Organisation struct {
	ID string
	// Load is the organisation's part of the requests, relative to the others.
	Load float64
	// Weight is its share of service in the configuration.
	Weight int
}

// DataCentre is one data centre with its entry hosts.
type DataCentre struct {
	ID    string
	Hosts int
	// ChecksFencing says that the order interface there refuses old fencing numbers.
	ChecksFencing bool
}

// EngineGroup is a set of like engines in one data centre. With Pool set they are
// not there from the start: the system orders from Min to Max of them.
type EngineGroup struct {
	DataCentre string
	Model      string
	Count      int
	Pool       string
	Min        int
	Max        int
	// Supply is "Steady" or "Cheap".
	Supply string
	// Cost is the price of one engine, in thousandths of the currency unit an hour.
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

// ServiceGroup is a set of like plain services in one data centre.
type ServiceGroup struct {
	DataCentre string
	Route      string
	Count      int
	Cost       int64
	Time       Duration
	Slots      int
}

// Fault is a fault at a time that the seed draws from Spread after At, on one of
// the targets, or on all of them. Targets are those of the stand-ins, and "host/" with a host's id, for
// which the kinds are "stop" (planned; the host starts again after Duration), "kill"
// (likewise, without a warning) and "pause" (for Duration).
type Fault struct {
	At      Duration
	Spread  Duration
	Targets []string
	// All sets the fault on each of the targets at the same time.
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

// Check returns an error that names the first wrong field.
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
			return fieldError(fmt.Sprintf("Classes[%d]", i), "needs either Model or Route")
		}
		shares += class.Share
	}
	if shares < 1-shareTolerance || shares > 1+shareTolerance {
		return fieldError("Classes", fmt.Sprintf("shares sum up to %.3f", shares))
	}
	for i, group := range e.Engines {
		if (group.Pool == "") == (group.Count == 0) || group.Min > group.Max {
			return fieldError(fmt.Sprintf("Engines[%d]", i), "needs either Count, or Pool with Min and Max")
		}
	}
	for i, fault := range e.Faults {
		if len(fault.Targets) == 0 {
			return fieldError(fmt.Sprintf("Faults[%d].Targets", i), "missing")
		}
	}
	return nil
}
