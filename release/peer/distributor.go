package peer

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/metric"

	"github.com/arbutuswinch/winch"
)

const (
	defaultFreshness   = 6 * time.Second
	defaultGrace       = 5 * time.Minute
	defaultMargin      = 500 * time.Millisecond
	defaultWatchWait   = time.Second
	defaultLongestStop = 2 * time.Minute
	// progressRequestDuration is how long a host keeps asking its hub for the progress of
	// a revision after an operator's request.
	progressRequestDuration = 30 * time.Second
	// digestDelay is the minimum age of the records in digests. Before that, they are
	// expected to reach other data centres through the platform.
	digestDelay = 2 * time.Second
	// maxBehind bounds the hosts that are listed as behind.
	maxBehind = 16
	// lostMajorityFactor multiplies RosterMemory while no majority of the roster reports.
	// At the defaults, silent hosts are then kept for about an hour.
	lostMajorityFactor = 12
)

// Options are the settings of a Distributor. A zero duration selects the default.
// New returns an error for values that contradict each other.
type Options struct {
	Membership  winch.Membership
	Log         winch.ReleaseLog
	Clock       winch.Clock
	Incarnation winch.Incarnation
	// Logger may be nil.
	Logger hclog.Logger
	// Meter may be nil.
	Meter metric.Meter
	// FreshnessLimit is how long a host accepts keys after its last proof. It must be the same on all hosts. The default is 6 s.
	FreshnessLimit time.Duration
	// IsolationGrace is how much longer than FreshnessLimit the hosts of a disconnected
	// data centre keep accepting the keys that they know. It must be the same on all hosts. The default is five minutes;
	// a negative value means none.
	IsolationGrace time.Duration
	// Margin covers the difference in rate between the hosts' clocks. The default is 500 ms.
	Margin time.Duration
	// RosterMemory is how long a host is counted for its data centre's majority after it was
	// last listed by the membership or sent a report; see forgetSilentHosts for when it is
	// counted longer. The default is FreshnessLimit + IsolationGrace.
	RosterMemory time.Duration
	// LongestStop is the longest time between a host's leaving and its exit. A host that
	// runs longer is no longer counted for the majority, which is unsafe. The default is
	// two minutes.
	LongestStop time.Duration
	// WatchWait is the maximum wait of one watch call, at most a third of FreshnessLimit.
	// A proof is dated to the start of its call, so its age reaches twice WatchWait before
	// the next one arrives; the remaining time is for passing it on. The default is 1 s.
	WatchWait time.Duration
}

// Distributor distributes the configuration on one host. It is safe for concurrent use.
type Distributor struct {
	options Options
	self    winch.Host
	started time.Time
	// incarnationTag is the hash that identifies this incarnation in messages.
	incarnationTag winch.Incarnation

	// visible is a copy of state, which requests read without waiting for mu.
	visible atomic.Pointer[state]

	mu         sync.Mutex
	state      *state
	roster     *roster
	acceptance *acceptance
	changed    chan struct{}
	// announcedAuthority is the authority that was logged last.
	announcedAuthority winch.Authority
	// lastPlatformRead is the time just before the last successful call to the platform.
	lastPlatformRead time.Time
	// hubIncarnation, token and hubRevision are from the last summary.
	hubIncarnation winch.Incarnation
	token          int64
	hubRevision    winch.Revision
	// requestedRevision is the revision whose progress operators ask for, until requestedUntil.
	requestedRevision winch.Revision
	requestedUntil    time.Time
	// hubProgress is the progress that the hub sent last.
	hubProgress winch.ReleaseProgress
	// rosterTag is the tag of the roster in the last summary that contained one.
	rosterTag string
	// savedRoster is the roster that the platform holds.
	savedRoster []winch.HostID
	// snapshot is the cached encoding of the configuration at snapshotRevision.
	snapshot         []byte
	snapshotRevision winch.Revision
}

var _ winch.ReleaseTracker = (*Distributor)(nil)

// New returns a Distributor.
func New(options Options) (*Distributor, error) {
	if options.Membership == nil || options.Log == nil || options.Clock == nil || options.Incarnation == "" {
		return nil, fmt.Errorf("create distributor: Membership, Log, Clock and Incarnation are required: %w", winch.ErrInvalid)
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
	d.publish()
	return d, d.registerMetrics()
}

// applyDefaults sets the defaults, checks the options and returns the limits.
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
		return limits{}, fmt.Errorf("create distributor: FreshnessLimit, Margin and RosterMemory must not be negative: %w", winch.ErrInvalid)
	}
	if 3*o.WatchWait > o.FreshnessLimit {
		return limits{}, fmt.Errorf("create distributor: WatchWait %v must be at most a third of FreshnessLimit %v: %w",
			o.WatchWait, o.FreshnessLimit, winch.ErrInvalid)
	}
	return limits{freshness: o.FreshnessLimit, grace: o.IsolationGrace, margin: o.Margin, rosterMemory: o.RosterMemory}, nil
}

// publish makes the state visible to requests. The caller holds the lock.
func (d *Distributor) publish() {
	visible := *d.state
	d.visible.Store(&visible)
}

// unlock makes the state visible to requests and releases the lock.
func (d *Distributor) unlock() {
	d.publish()
	d.mu.Unlock()
}

// Current returns the newest configuration that was received, never nil.
func (d *Distributor) Current() *winch.Configuration {
	return d.visible.Load().current
}

// Authorize returns the key with the hash. It returns winch.ErrUnauthorized if there is
// none, and a *winch.IsolationError if this host may not accept keys.
func (d *Distributor) Authorize(now time.Time, hash winch.KeyHash) (winch.Key, error) {
	return d.visible.Load().authorize(now, hash)
}

// Authority returns which requests this host may serve now.
func (d *Distributor) Authority(now time.Time) winch.Authority {
	return d.visible.Load().authority(now)
}

// Changed returns a channel that is closed at the next change of the configuration or
// of the authority.
func (d *Distributor) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// Accepted returns the newest revision that this host knows to be accepted.
func (d *Distributor) Accepted() winch.Revision {
	return d.visible.Load().accepted
}

// RecentRevision returns the revision of a note if this host has kept its record.
func (d *Distributor) RecentRevision(id winch.NoteID) (winch.Revision, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, kept := range d.state.records {
		if kept.record.Note.ID == id {
			return kept.record.Revision, true
		}
	}
	return 0, false
}

// ApplyCommit applies a commit that this host has made.
func (d *Distributor) ApplyCommit(now time.Time, result winch.ReleaseResult) {
	if result.Record == nil || result.Configuration == nil {
		return
	}
	d.mu.Lock()
	defer d.unlock()
	records := []winch.ReleaseRecord{}
	if result.Revision == d.state.current.Revision+1 {
		records = append(records, *result.Record)
	}
	d.afterUpdate(now, d.state.replaceIfNewer(now, result.Configuration, records))
}

// listedHosts is what the membership lists for this data centre. It is read before d.mu is
// locked: the membership itself calls the section, which locks d.mu, so reading it under
// the lock could deadlock.
type listedHosts struct {
	hosts []winch.Host
	// hub reports whether this host is the hub.
	hub bool
}

func (d *Distributor) readMembership(now time.Time) listedHosts {
	hub, found := d.options.Membership.Hub(now, d.self.DataCentre)
	return listedHosts{
		hosts: d.options.Membership.Hosts(now, d.self.DataCentre),
		hub:   found && hub.ID == d.self.ID,
	}
}

// afterUpdate records that the current revision is committed, and logs and notifies if
// the configuration was replaced. The caller holds the lock.
func (d *Distributor) afterUpdate(now time.Time, replaced bool) {
	if replaced {
		d.options.Logger.Info("revision in force", "Event", EventRevisionInForce, "Revision", d.state.current.Revision)
	}
	d.acceptance.committed.add(now, d.state.current.Revision)
	d.notifyChanges(now, replaced)
}

// notifyChanges closes the channel of Changed if the configuration or the authority
// changed. The caller holds the lock.
func (d *Distributor) notifyChanges(now time.Time, changed bool) {
	authority := d.state.authority(now)
	if authority != d.announcedAuthority {
		d.options.Logger.Warn("authority changed", "Event", EventAuthorityChanged, "Authority", int(authority),
			"Revision", d.state.current.Revision, "ProofAge", now.Sub(d.state.provenAt).String())
		d.announcedAuthority = authority
		changed = true
	}
	if changed {
		d.publish()
		close(d.changed)
		d.changed = make(chan struct{})
	}
}

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
