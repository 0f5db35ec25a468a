package endpoint

import (
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/metric"

	"github.com/arbutuswinch/winch"
)

// Policy names a way to choose endpoints and to order queues.
type Policy string

// The policies. All but PolicyWinch and PolicyPrompts are baselines to measure against: they keep
// the configured slot limits, know no tiers and refuse only when a queue is full or a wait is over.
const (
	PolicyWinch         Policy = "Winch"
	PolicyRandom        Policy = "Random"
	PolicyLeastReported Policy = "LeastReported"
	PolicyFirstCome     Policy = "FirstCome"
	// PolicyPrompts chooses by the prompts that endpoints have still to read, and gives
	// what arrives to an endpoint at once while one has a slot.
	PolicyPrompts Policy = "Prompts"
)

// Settings tune the decisions. The zero value of a field stands for its default.
type Settings struct {
	// Tick is the time between housekeeping rounds.
	Tick time.Duration
	// ReportHorizon is the age at which a load report counts for nothing.
	ReportHorizon time.Duration
	// DigestHorizon is the age at which another host's figures are dropped.
	DigestHorizon time.Duration
	// SilenceLimit is how long an endpoint with streams under way may be silent before it is ejected.
	SilenceLimit time.Duration
	// FailureLimit is the number of failures in a row that ejects an endpoint.
	FailureLimit int
	// EjectionTime is the first ejection's length; it doubles up to EjectionMax.
	EjectionTime time.Duration
	EjectionMax  time.Duration
	// RampTime is the time over which a new endpoint is brought to its limit.
	RampTime time.Duration
	// LeaveMargin is how long before its end a leaving endpoint's streams are moved.
	LeaveMargin time.Duration
	// RiskShare is the share of the first-token target after which a wait counts as at risk.
	RiskShare float64
	// RefuseShare is the predicted wait, as a share of the first-token target, from
	// which a request is turned away; for long targets, two seconds less than the target.
	RefuseShare float64
	// RetryShare is the share of successes that may be spent on retries, and RetryFloor the retries a
	// second that are always allowed.
	RetryShare float64
	RetryFloor float64
	// RetryFloorAll are the retries a second that are always allowed to all hosts together; when
	// it is set, each host takes its part in place of RetryFloor.
	RetryFloorAll float64
	// RetryHosts is the least number of hosts among which RetryFloorAll is divided: a host that
	// knows few others may be cut off from them.
	RetryHosts int
	// RetryWindow is the time over which the share of successes fades; zero stands for no end.
	RetryWindow time.Duration
	// LongInput and LongOutput are the tokens from which work is long; LongShare is its
	// share of an endpoint that also serves a more urgent class.
	LongInput  winch.Tokens
	LongOutput winch.Tokens
	LongShare  float64
	// UnreadLimit is how many tokens of prompts may wait to be read at an endpoint that
	// serves a more urgent class when the lowest tier adds its own.
	UnreadLimit winch.Tokens
	// OutputWeight is the charge for an output token relative to an input token.
	OutputWeight float64
	// Aperture is the number of endpoints of a class and model up to which a host uses all.
	Aperture int
	// RetryAfterMin and RetryAfterMax bound the time to come back in refusals.
	RetryAfterMin time.Duration
	RetryAfterMax time.Duration
}

// Options are what a dispatcher needs. Source and Membership may be nil.
type Options struct {
	Configurations winch.Configurations
	Source         winch.EndpointSource
	Membership     winch.Membership
	Clock          winch.Clock
	Logger         hclog.Logger
	Meter          metric.Meter
	Policy         Policy
	Seed           uint64
	// Home is the data centre whose endpoints are nearer than others. It matters where the
	// hosts of all data centres exchange their figures, and Membership names none.
	Home     winch.DataCentreID
	Settings Settings
}

func (o *Options) check() error {
	if o.Configurations == nil {
		return errors.New("check options: Configurations is missing")
	}
	if o.Clock == nil {
		return errors.New("check options: Clock is missing")
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	switch o.Policy {
	case "":
		o.Policy = PolicyWinch
	case PolicyWinch, PolicyPrompts, PolicyRandom, PolicyLeastReported, PolicyFirstCome:
	default:
		return fmt.Errorf("check options: Policy %q: %w", o.Policy, winch.ErrInvalid)
	}
	o.Settings = o.Settings.withDefaults()
	return nil
}

func defaultDuration(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}

func defaultFloat(value *float64, fallback float64) {
	if *value == 0 {
		*value = fallback
	}
}

func (s Settings) withDefaults() Settings {
	defaultDuration(&s.Tick, 100*time.Millisecond)
	defaultDuration(&s.ReportHorizon, 15*time.Second)
	defaultDuration(&s.DigestHorizon, 3*time.Second)
	defaultDuration(&s.SilenceLimit, 2*time.Second)
	defaultDuration(&s.EjectionTime, time.Second)
	defaultDuration(&s.EjectionMax, 30*time.Second)
	defaultDuration(&s.RampTime, 10*time.Second)
	defaultDuration(&s.LeaveMargin, 5*time.Second)
	defaultDuration(&s.RetryAfterMin, time.Second)
	defaultDuration(&s.RetryAfterMax, time.Minute)
	defaultFloat(&s.RiskShare, 0.15)
	defaultFloat(&s.RefuseShare, 0.5)
	defaultFloat(&s.RetryShare, 0.1)
	defaultFloat(&s.RetryFloor, 1)
	defaultFloat(&s.LongShare, 0.5)
	defaultFloat(&s.OutputWeight, 2)
	if s.FailureLimit == 0 {
		s.FailureLimit = 3
	}
	if s.LongInput == 0 {
		s.LongInput = 4096
	}
	if s.UnreadLimit == 0 {
		s.UnreadLimit = 2048
	}
	if s.LongOutput == 0 {
		s.LongOutput = 1024
	}
	if s.Aperture == 0 {
		s.Aperture = 64
	}
	return s
}

// features are the guards of the policy. Tests turn single ones off to show what each is for.
type features struct {
	tiers           bool // lanes are served by tier, and lower tiers give way
	preemption      bool
	floors          bool
	fairness        bool
	adaptiveLimit   bool
	ejection        bool
	observedLatency bool // slowness is judged from own answers
	correctReports  bool // reports are corrected by dispatches since
	earlyRefusal    bool
	sharing         bool // limits are shared with the other hosts
	longWorkLimit   bool
	prefillAware    bool // endpoints are judged by the prompts that they have still to read
	chooseFunc      func(c *core, now time.Time, l *lane, r *request) *endpoint
}

func featuresOf(policy Policy) features {
	switch policy {
	case PolicyRandom:
		return features{chooseFunc: chooseRandom}
	case PolicyLeastReported:
		return features{chooseFunc: chooseLeastReported}
	case PolicyFirstCome:
		return features{chooseFunc: chooseRoundRobin}
	case PolicyPrompts:
		return features{
			tiers: true, floors: true, fairness: true, ejection: true, observedLatency: true, correctReports: true,
			earlyRefusal: true, prefillAware: true, chooseFunc: chooseLowestPrefill,
		}
	}
	return features{
		tiers: true, preemption: true, floors: true, fairness: true, adaptiveLimit: true, ejection: true,
		observedLatency: true, correctReports: true, earlyRefusal: true, sharing: true, longWorkLimit: true, chooseFunc: chooseByScore,
	}
}
