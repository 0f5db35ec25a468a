package endpoint

import (
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/metric"

	"github.com/arbutuswinch/winch"
)

// Policy names an algorithm for choosing endpoints and ordering queues.
type Policy string

// The policies. All except PolicyWinch and PolicyPrefill are baselines for measurements: they use
// fixed slot limits, ignore tiers, serve queues in order of arrival, and refuse only when a queue
// is full or a wait has expired.
const (
	// PolicyWinch chooses the endpoint by a score of its load, and has all features but prefillAware.
	PolicyWinch Policy = "Winch"
	// PolicyRandom chooses a random endpoint.
	PolicyRandom Policy = "Random"
	// PolicyLeastReported chooses the endpoint with the lowest load in its last report.
	PolicyLeastReported Policy = "LeastReported"
	// PolicyRoundRobin chooses endpoints in round-robin order.
	PolicyRoundRobin Policy = "FirstCome"
	// PolicyPrefill chooses the endpoint by its pending prefill work, and limits the prompts that a host has
	// pending to its share of the demand. Only rejections lower its slot limits. It does not preempt, does not limit
	// long work, and neither shares slots with other hosts nor hands requests over.
	PolicyPrefill Policy = "Prompts"
)

// Settings tunes the decisions. A zero field means its default.
type Settings struct {
	// Tick is the time between housekeeping rounds.
	Tick time.Duration
	// ReportMaxAge is the age at which a load report is no longer used.
	ReportMaxAge time.Duration
	// StatsMaxAge is the age at which another host's statistics are dropped.
	StatsMaxAge time.Duration
	// SilenceLimit is how long an endpoint with running streams may send no output before it is ejected.
	SilenceLimit time.Duration
	// FailureLimit is the number of consecutive failures after which an endpoint is ejected.
	FailureLimit int
	// EjectionTime is the back-off after the first ejection. It doubles with each further one, up to EjectionMax.
	EjectionTime time.Duration
	EjectionMax  time.Duration
	// RampTime is the time over which a new endpoint's limit is raised to its full value.
	RampTime time.Duration
	// LeaveMargin is the time before the announced departure of an endpoint at which streams are moved
	// off it.
	LeaveMargin time.Duration
	// RiskWaitShare bounds the wait of a queued request as a share of the time that its first-token target
	// leaves for queueing. A request that waits longer counts as at risk of missing the target.
	RiskWaitShare float64
	// RefuseWaitShare is the predicted wait, as a share of the first-token target, above which a
	// request is refused. The limit is never more than two seconds below the target.
	RefuseWaitShare float64
	// RetryShare is the number of retries allowed per successful request, and RetryFloor the number
	// of retries per second that are always allowed.
	RetryShare float64
	RetryFloor float64
	// RetryFloorTotal is the number of retries per second that are always allowed to all hosts together.
	// If it is set, each host uses its share of it in place of RetryFloor.
	RetryFloorTotal float64
	// RetryMinHosts is the minimum number of hosts by which RetryFloorTotal is divided, since a host that
	// knows of few others may be partitioned from the rest.
	RetryMinHosts int
	// RetryWindow is the time constant with which unspent retries decay; zero disables the decay.
	RetryWindow time.Duration
	// LongInput and LongOutput are the numbers of tokens from which a request counts as long work.
	// LongShare is the share of an endpoint's slots that long work may use if the endpoint also
	// serves a class of a higher tier.
	LongInput  winch.Tokens
	LongOutput winch.Tokens
	LongShare  float64
	// LowerTierPrefillLimit limits the prompts of the lowest tier at an endpoint that also serves a class of a
	// higher tier. A request of the lowest tier is sent there only if it keeps this host's prompt
	// tokens below the highest tier that wait for prefill within the limit, or if there are none.
	LowerTierPrefillLimit winch.Tokens
	// OutputWeight is the charge for an output token relative to an input token in fair queueing.
	OutputWeight float64
	// Aperture is the minimum number of endpoints that a host uses for a class and model or route. If
	// there are no more than that, it uses all of them. A host's aperture is the subset that it uses.
	Aperture int
	// RetryAfterMin and RetryAfterMax bound the retry time given in refusals.
	RetryAfterMin time.Duration
	RetryAfterMax time.Duration
	// AwaitList makes requests wait for a new list of endpoints after this process was stopped for more than two seconds, since endpoints
	// may have been evacuated meanwhile. The wait lasts at most 1.5 s.
	AwaitList bool
	// KeepEvacuatedStreams lets all streams at evacuated endpoints run to their end, for servers that do not move streams.
	KeepEvacuatedStreams bool
}

// Options holds the dependencies and settings of a dispatcher. Source, Membership, Logger and Meter may be nil.
type Options struct {
	Configurations winch.Configurations
	Source         winch.EndpointSource
	Membership     winch.Membership
	Clock          winch.Clock
	Logger         hclog.Logger
	Meter          metric.Meter
	Policy         Policy
	Seed           uint64
	// Home is the data centre whose endpoints are preferred as the nearest. winchd's forwarder sets it:
	// its hosts form one group across data centres, and Membership names that group instead of a data
	// centre.
	Home     winch.DataCentreID
	Settings Settings
	Optional Optional
}

// Optional selects features that are off by default. They have an effect only with a policy that supports them.
type Optional struct {
	// EngineMemory limits the tokens of running requests where the configuration states the memory of the engines.
	EngineMemory bool
	// CachedPrompts estimates what endpoints hold of prompts. It has no effect without EngineMemory or with BeginWithinDeadline.
	CachedPrompts bool
	// BeginWithinDeadline begins a stream only where it is expected to end before its deadline.
	BeginWithinDeadline bool
}

// restrict switches off the optional features that are not selected.
func (o Optional) restrict(f *features) {
	f.tokenLimit = f.tokenLimit && o.EngineMemory
	f.prefixCache = f.prefixCache && o.EngineMemory && o.CachedPrompts && !o.BeginWithinDeadline
	f.completion = f.completion && o.BeginWithinDeadline
}

func (o *Options) check() error {
	if o.Configurations == nil {
		return errors.New("check options: Configurations is required")
	}
	if o.Clock == nil {
		return errors.New("check options: Clock is required")
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	switch o.Policy {
	case "":
		o.Policy = PolicyWinch
	case PolicyWinch, PolicyPrefill, PolicyRandom, PolicyLeastReported, PolicyRoundRobin:
	default:
		return fmt.Errorf("check options: unknown Policy %q: %w", o.Policy, winch.ErrInvalid)
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
	defaultDuration(&s.ReportMaxAge, 15*time.Second)
	defaultDuration(&s.StatsMaxAge, 3*time.Second)
	defaultDuration(&s.SilenceLimit, 2*time.Second)
	defaultDuration(&s.EjectionTime, time.Second)
	defaultDuration(&s.EjectionMax, 30*time.Second)
	defaultDuration(&s.RampTime, 10*time.Second)
	defaultDuration(&s.LeaveMargin, 5*time.Second)
	defaultDuration(&s.RetryAfterMin, time.Second)
	defaultDuration(&s.RetryAfterMax, time.Minute)
	defaultFloat(&s.RiskWaitShare, 0.15)
	defaultFloat(&s.RefuseWaitShare, 0.5)
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
	if s.LowerTierPrefillLimit == 0 {
		s.LowerTierPrefillLimit = 2048
	}
	if s.LongOutput == 0 {
		s.LongOutput = 1024
	}
	if s.Aperture == 0 {
		s.Aperture = 64
	}
	return s
}

// features are the switchable parts of a policy. Tests disable them one at a time to show what
// each one protects against.
type features struct {
	tiers           bool // lanes are served by tier; lower tiers are evicted from full queues, and blocked while a higher one is at risk on another host
	preemption      bool
	floors          bool
	fairness        bool
	adaptiveLimit   bool
	ejection        bool
	observedLatency bool // slow endpoints are detected from this host's own responses
	correctReports  bool // load reports are corrected by the requests dispatched since
	earlyRefusal    bool
	sharing         bool // slots are shared fairly with the other hosts, and requests are handed over to other data centres
	longWorkLimit   bool // long work is limited, and endpoints with pending lower-tier prompts are avoided
	prefillAware    bool // endpoints are chosen by their pending prefill work
	completion      bool // requests with a deadline begin only where they can end before it
	prefixCache     bool // what endpoints hold of prompts is estimated where the memory of the engines is known
	tokenLimit      bool // the tokens of running requests are limited where the memory of the engines is known
	chooseFunc      func(c *core, now time.Time, l *lane, r *request) *endpoint
}

func featuresOf(policy Policy) features {
	switch policy {
	case PolicyRandom:
		return features{chooseFunc: chooseRandom}
	case PolicyLeastReported:
		return features{chooseFunc: chooseLeastReported}
	case PolicyRoundRobin:
		return features{chooseFunc: chooseRoundRobin}
	case PolicyPrefill:
		return features{
			tiers: true, floors: true, fairness: true, ejection: true, observedLatency: true, correctReports: true,
			earlyRefusal: true, prefillAware: true, completion: true, tokenLimit: true, prefixCache: true, chooseFunc: chooseLowestPrefill,
		}
	}
	return features{
		tiers: true, preemption: true, floors: true, fairness: true, adaptiveLimit: true, ejection: true,
		observedLatency: true, correctReports: true, earlyRefusal: true, sharing: true, longWorkLimit: true, tokenLimit: true, chooseFunc: chooseByScore,
	}
}
