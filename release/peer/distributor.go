package peer

import (
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/metric"

	"github.com/arbutuswinch/winch"
)

const (
	defaultFreshness    = 6 * time.Second
	defaultGrace        = 5 * time.Minute
	defaultMargin       = 500 * time.Millisecond
	defaultWatchWait    = time.Second
	defaultLongestStop  = 2 * time.Minute
	viewRequestDuration = 30 * time.Second
	// digestDelay is how long a record is left to reach other data centres
	// through the platform before it is sent in digests.
	digestDelay = 2 * time.Second
	maxBehind   = 16
	// lostMajorityFactor lengthens the memory of a roster whose majority is silent.
	lostMajorityFactor = 12
)

// Options are the settings of a Distributor. The zero value of a duration
// stands for its default; New says which values do not fit together.
type Options struct {
	Membership  winch.Membership
	Log         winch.ReleaseLog
	Clock       winch.Clock
	Incarnation winch.Incarnation
	Logger      hclog.Logger
	// Meter may be nil.
	Meter metric.Meter
	// FreshnessLimit is how long a host serves on without news. It must be the
	// same on all hosts.
	FreshnessLimit time.Duration
	// IsolationGrace is how long a data centre that is cut off honours the keys
	// that it knows. It must be the same on all hosts; negative stands for none.
	IsolationGrace time.Duration
	// Margin covers the difference in rate of the hosts' clocks.
	Margin time.Duration
	// RosterMemory is how long a host that is no longer listed counts towards
	// its data centre's majority. The default is FreshnessLimit + IsolationGrace.
	RosterMemory time.Duration
	// LongestStop is the time within which a host that is leaving has ended. It
	// must be longer than the hosts' planned stop; the default is two minutes.
	LongestStop time.Duration
	// WatchWait is the longest wait of one watch call.
	WatchWait time.Duration
}

// Distributor is one host's part in the distribution. It is safe for concurrent use.
type Distributor struct {
	options Options
	self    winch.Host
	started time.Time
	// incarnationTag stands for this incarnation in messages.
	incarnationTag winch.Incarnation

	mu                 sync.Mutex
	state              *state
	roster             *roster
	acceptance         *acceptance
	changed            chan struct{}
	announcedAuthority winch.Authority
	// lastPlatformRead is the instant before the last call to the platform that was answered.
	lastPlatformRead time.Time
	// hub, token and hubRevision are what the last summary said.
	hub         winch.Incarnation
	token       int64
	hubRevision winch.Revision
	// requestedRevision is the revision that operators ask about, until wantedUntil.
	requestedRevision winch.Revision
	requestedUntil    time.Time
	hubProgress       winch.ReleaseProgress
	// rosterTag is that of the roster that came with a summary, saved is the
	// roster that the platform holds.
	rosterTag        string
	savedRoster      []winch.HostID
	snapshot         []byte
	snapshotRevision winch.Revision
}

var _ winch.ReleaseTracker = (*Distributor)(nil)

// New returns a Distributor.
func New(options Options) (*Distributor, error) {
	if options.Membership == nil || options.Log == nil || options.Clock == nil || options.Incarnation == "" {
		return nil, fmt.Errorf("distributor: Membership, Log, Clock and Incarnation are needed: %w", winch.ErrInvalid)
	}
	limits, err := options.applyDefaults()
	if err != nil {
		return nil, err
	}
	self := options.Membership.Self()
	d := &Distributor{
		options: options, self: self, started: options.Clock.Now(), incarnationTag: winch.Incarnation(shortHash(string(options.Incarnation))),
		state: newState(limits, options.Clock.Now()), roster: newRoster(self.ID),
		acceptance: newAcceptance(limits, self.DataCentre, options.Membership.DataCentres()),
		changed:    make(chan struct{}),
	}
	return d, d.registerMetrics()
}

func (o *Options) applyDefaults() (limits, error) {
	for _, setting := range []struct {
		value        *time.Duration
		defaultValue time.Duration
	}{
		{&o.FreshnessLimit, defaultFreshness}, {&o.IsolationGrace, defaultGrace},
		{&o.Margin, defaultMargin}, {&o.WatchWait, defaultWatchWait},
		{&o.LongestStop, defaultLongestStop},
	} {
		if *setting.value == 0 {
			*setting.value = setting.defaultValue
		}
	}
	o.IsolationGrace = max(0, o.IsolationGrace)
	if o.RosterMemory == 0 {
		o.RosterMemory = o.FreshnessLimit + o.IsolationGrace
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.FreshnessLimit < 0 || o.Margin < 0 || o.RosterMemory < 0 {
		return limits{}, fmt.Errorf("distributor: durations must not be negative: %w", winch.ErrInvalid)
	}
	if 3*o.WatchWait > o.FreshnessLimit {
		return limits{}, fmt.Errorf("distributor: WatchWait %v must be at most a third of FreshnessLimit %v: %w",
			o.WatchWait, o.FreshnessLimit, winch.ErrInvalid)
	}
	return limits{freshness: o.FreshnessLimit, grace: o.IsolationGrace, margin: o.Margin, rosterMemory: o.RosterMemory}, nil
}

// Current returns the newest configuration that was learnt.
func (d *Distributor) Current() *winch.Configuration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.current
}

// Authorize returns the key with the hash.
func (d *Distributor) Authorize(now time.Time, hash winch.KeyHash) (winch.Key, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.authorize(now, hash)
}

// Authority returns what may be served now.
func (d *Distributor) Authority(now time.Time) winch.Authority {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.authority(now)
}

// Changed returns a channel that is closed at the next change.
func (d *Distributor) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// Accepted returns the newest revision that this host knows to be accepted.
func (d *Distributor) Accepted() winch.Revision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.accepted
}

// Recent returns the revision of a note that this host learnt of lately.
func (d *Distributor) Recent(id winch.NoteID) (winch.Revision, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, kept := range d.state.records {
		if kept.record.Note.ID == id {
			return kept.record.Revision, true
		}
	}
	return 0, false
}

// Learn brings in a commit that this host made.
func (d *Distributor) Learn(now time.Time, result winch.ReleaseResult) {
	if result.Record == nil || result.Configuration == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	records := []winch.ReleaseRecord{}
	if result.Revision == d.state.current.Revision+1 {
		records = append(records, *result.Record)
	}
	d.afterUpdate(now, d.state.replaceIfNewer(now, result.Configuration, records))
}

// liveHosts is what membership says. It is asked for without the lock, since
// membership calls the section.
type liveHosts struct {
	hosts []winch.Host
	hub   bool
}

func (d *Distributor) liveHosts(now time.Time) liveHosts {
	hub, found := d.options.Membership.Hub(now, d.self.DataCentre)
	return liveHosts{
		hosts: d.options.Membership.Hosts(now, d.self.DataCentre),
		hub:   found && hub.ID == d.self.ID,
	}
}

// afterUpdate announces a newer revision. The caller holds the lock.
func (d *Distributor) afterUpdate(now time.Time, replaced bool) {
	if replaced {
		d.options.Logger.Info("revision in force", "Event", EventRevision, "Revision", d.state.current.Revision)
	}
	d.acceptance.committed.add(now, d.state.current.Revision)
	d.notifyChanges(now, replaced)
}

// notifyChanges closes the channel when something changed. The caller holds the lock.
func (d *Distributor) notifyChanges(now time.Time, changed bool) {
	authority := d.state.authority(now)
	if authority != d.announcedAuthority {
		d.options.Logger.Warn("authority changed", "Event", EventAuthority, "Authority", int(authority),
			"Revision", d.state.current.Revision, "ProofAge", now.Sub(d.state.provenAt).String())
		d.announcedAuthority = authority
		changed = true
	}
	if changed {
		close(d.changed)
		d.changed = make(chan struct{})
	}
}

// registerMetrics registers the metrics.
func (d *Distributor) registerMetrics() error {
	if d.options.Meter == nil {
		return nil
	}
	revision, err := d.options.Meter.Int64ObservableGauge("winch_release_revision")
	if err != nil {
		return fmt.Errorf("create metric: %w", err)
	}
	accepted, err := d.options.Meter.Int64ObservableGauge("winch_release_accepted_revision")
	if err != nil {
		return fmt.Errorf("create metric: %w", err)
	}
	authority, err := d.options.Meter.Int64ObservableGauge("winch_release_authority")
	if err != nil {
		return fmt.Errorf("create metric: %w", err)
	}
	age, err := d.options.Meter.Float64ObservableGauge("winch_release_proof_age", metric.WithUnit("s"))
	if err != nil {
		return fmt.Errorf("create metric: %w", err)
	}
	_, err = d.options.Meter.RegisterCallback(d.metricsCallback(revision, accepted, authority, age), revision, accepted, authority, age)
	if err != nil {
		return fmt.Errorf("register metrics: %w", err)
	}
	return nil
}
