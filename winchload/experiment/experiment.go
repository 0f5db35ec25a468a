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

// Burst raises the rate of Classes for some time. All extra requests come from Organisations. Empty
// Classes or Organisations stand for all of them.
type Burst struct {
	Start  Duration
	Length Duration
	// Factor is the ratio of a class's rate during the burst to its base rate. Below one it has
	// no effect.
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
	// MaxWait is the longest time that a request may be queued before it is refused. QueueLimit
	// is the maximum number of requests that one host queues for the class.
	MaxWait    Duration
	QueueLimit int
	// Floor is the share of the slots of its endpoints, from 0 to 0.5, that the class is
	// guaranteed once its requests have waited longer than half of MaxWait.
	Floor float64
	// Share is the class's fraction of the base rate; the shares of all classes add up to one.
	Share float64
	Model string
	Route string
	// Keyed makes the class's requests carry an idempotency key. One without a complete answer
	// is repeated with the same key, up to Repeats times.
	Keyed      bool
	Repeats    int
	Idempotent bool
	// Timeout is sent with each request to a host. The caller itself gives up five seconds later,
	// also if Timeout is zero or the request is sent directly to an endpoint.
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
	Cost int64
	// BatchLimit is the number of requests that an engine runs at once, WaitLimit the number that
	// wait in it. These and the fields below are options of package standin/engine.
	BatchLimit int
	WaitLimit  int
	// A step takes StepBase, StepPerSequence for each request that decodes, and the time of its
	// share of prompt tokens.
	StepBase               Duration
	StepPerSequence        Duration
	PrefillTokensPerSecond int
	CacheTokens            int
	// ReportLag is the age of the engine's load reports.
	ReportLag Duration
	// ChecksFencing is set if the engines reject old fencing numbers.
	ChecksFencing bool
}

// ServiceGroup is a group of identical plain services in one data centre.
type ServiceGroup struct {
	DataCentre string
	Route      string
	Count      int
	// Cost is the price of one service in thousandths of the currency unit per hour.
	Cost int64
	// Time is the time that a call takes, Slots the number of calls that run at once.
	Time  Duration
	Slots int
}

// Fault is a fault on one of the targets or on all of them. The seed determines its
// time, between At and At plus Spread. A target is a stand-in, such as "keyvalue" or
// "engine/ID", or "host/" with a host's id. For the kinds of faults of the stand-ins see
// package standin/fault. Hosts have the kinds "stop" (graceful shutdown; the host is
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
	// Delay is the added time or, when endpoints are taken away, their notice. Factor multiplies
	// times. Count is the number of calls that the fault affects; zero means no limit.
	Delay  Duration
	Factor float64
	Count  int
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
