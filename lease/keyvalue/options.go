package keyvalue

import (
	"cmp"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/arbutuswinch/winch"
)

// Options are the dependencies and settings of a holder. A duration that is zero has its default value.
type Options struct {
	Store winch.KeyValue
	Duty  winch.Duty
	// DataCentre limits the candidates to one data centre. Empty means all data centres.
	DataCentre  winch.DataCentreID
	Membership  winch.Membership
	Incarnation winch.Incarnation
	// Standbys is the number of hosts that may acquire the lease beside the candidate that Membership
	// names: those that rank next, unless they are leaving. If it is zero and the candidate cannot reach the store, no
	// host performs the duty, except a former holder for a limited time.
	Standbys int
	// TTL is the time for which the record must be unchanged before another host may
	// acquire the lease. The default is 6 s.
	TTL time.Duration
	// RenewEvery is the time between renewals. The default is 2 s.
	RenewEvery time.Duration
	// InFlight is the longest time that a call of a term may take to have its effect, which
	// the caller has to ensure. A successor's term begins only after it. The default is 2 s.
	InFlight time.Duration
	// Drift is subtracted from the validity to allow for clock drift. The default is 200 ms.
	Drift time.Duration
	// Informed reports whether this process has heard from other hosts how far the service has come. No term begins before, because a
	// service that has come back from an older copy may give out low numbers again. A process that reaches no other host is not informed
	// at all: its terms may begin once TTL and InFlight have passed since the start of Run. Informed may be nil.
	Informed func() bool
	Clock    winch.Clock
	Logger   hclog.Logger
	Meter    metric.Meter
}

func withDefaults(options Options) Options {
	options.TTL = cmp.Or(options.TTL, defaultTTL)
	options.RenewEvery = cmp.Or(options.RenewEvery, defaultRenewEvery)
	options.InFlight = cmp.Or(options.InFlight, defaultInFlight)
	options.Drift = cmp.Or(options.Drift, defaultDrift)
	options.Incarnation = cmp.Or(options.Incarnation, winch.Incarnation(uuid.NewString()))
	options.Logger = cmp.Or[hclog.Logger](options.Logger, hclog.NewNullLogger())
	options.Meter = cmp.Or[metric.Meter](options.Meter, noop.Meter{})
	return options
}

func check(options Options) error {
	switch {
	case options.Store == nil:
		return fmt.Errorf("lease option Store is missing: %w", winch.ErrInvalid)
	case options.Membership == nil:
		return fmt.Errorf("lease option Membership is missing: %w", winch.ErrInvalid)
	case options.Clock == nil:
		return fmt.Errorf("lease option Clock is missing: %w", winch.ErrInvalid)
	case options.Duty == "":
		return fmt.Errorf("lease option Duty is empty: %w", winch.ErrInvalid)
	case options.TTL <= options.RenewEvery+options.Drift:
		return fmt.Errorf("lease option TTL must exceed RenewEvery and Drift together: %w", winch.ErrInvalid)
	}
	return nil
}
