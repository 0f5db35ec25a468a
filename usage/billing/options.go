package billing

import (
	"cmp"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/arbutuswinch/winch"
)

const (
	defaultWindow    = time.Minute
	defaultGrace     = 10 * time.Second
	defaultRetention = time.Hour
	defaultInterval  = time.Second
)

// Options configures a Reporter. A zero duration selects the default.
type Options struct {
	// Protocol encodes the reports. NativeProtocol is arbutuswinch's own protocol.
	Protocol    winch.UsageProtocol
	Shard       winch.Shard
	Host        winch.HostID
	Incarnation winch.Incarnation
	// Lease tells whether this host holds the lease of the shard's duty.
	Lease  winch.LeaseGuard
	Sender winch.FencedSender
	Store  winch.KeyValue
	// Window is the length of a reporting window: whole seconds, the same on all hosts. The
	// default is 60 s.
	Window time.Duration
	// Grace is the minimum time from the end of a window to its seal. The default is 10 s.
	Grace time.Duration
	// MaxGrace is how long after the end of a window its seal waits for missing counts, if
	// CatchUpDelay does not make it wait longer. A value below Grace, such as zero, selects Grace.
	MaxGrace time.Duration
	// CatchUpDelay is the minimum time from the start of a term, or from the first step that succeeds
	// after the key-value service failed, to a seal for which counts of some hosts are missing.
	// The default is zero.
	CatchUpDelay time.Duration
	// Membership lists the hosts whose counts a seal waits for. If it is nil, seals wait for no
	// host.
	Membership winch.Membership
	// OnTimeFrom is the data centre that collects counts, if there is only one and the platform takes no counts that come after the
	// seal of their window. Those are then left out, and only windows that are not sealed are read.
	OnTimeFrom winch.DataCentreID
	// Sealed is what the hosts know of the windows that were sealed. If it is nil, only this process itself remembers its seals.
	Sealed winch.SealedWindows
	// Eras knows the era of Store. If the era has changed, the windows that were due when it was first seen are not reported unless the
	// head has their seals. If Eras is nil, that time is not known: if Sealed knows of a lost seal, only the windows up to it are left
	// out, otherwise all that are due at the next start of a term.
	Eras winch.EraSource
	// Retention is how long after a window its counts may still be adjusted. The default is one
	// hour.
	Retention time.Duration
	// Interval is the time between two steps of Run. The default is 1 s.
	Interval time.Duration
	Clock    winch.Clock
	// WindowClock is the clock by which usage is assigned to windows. The default is Clock.
	WindowClock winch.Clock
	Logger      hclog.Logger
	Meter       metric.Meter
}

func withDefaults(options Options) Options {
	options.Window = cmp.Or(options.Window, defaultWindow)
	options.Grace = cmp.Or(options.Grace, defaultGrace)
	options.MaxGrace = max(options.MaxGrace, options.Grace)
	options.Retention = cmp.Or(options.Retention, defaultRetention)
	options.Interval = cmp.Or(options.Interval, defaultInterval)
	options.Incarnation = cmp.Or(options.Incarnation, winch.Incarnation(uuid.NewString()))
	options.WindowClock = cmp.Or(options.WindowClock, options.Clock)
	options.Logger = cmp.Or[hclog.Logger](options.Logger, hclog.NewNullLogger())
	options.Meter = cmp.Or[metric.Meter](options.Meter, noop.Meter{})
	return options
}
