// Package peer counts what organisations use on this host and copies the counters to
// other hosts through the periodic exchange (see winch.Section).
//
// Each host reports its counters to the hub, the host of its data centre that gathers all
// reports. The hub copies them to a backup host, which is the first other host of the data
// centre, and writes them to the key-value service together with the names of the hosts whose
// counts of the window are complete. A host keeps its counters until it knows that they are stored, and stores them
// itself when the hub is late. The backup host stores the copies when the hub is replaced
// or late. Copies are merged by maximum, so repeated and reordered messages are harmless.
// A host that is killed loses what it counted since its last exchange.
//
// # Usage
//
//	counters, err := peer.New(peer.Options{
//		Store: store, Membership: membership, Clock: clock, Window: time.Minute, Shards: 4,
//	})
//	if err != nil {
//		return err
//	}
//	go counters.Run(ctx)
//	counters.Record(clock.Now(), record)
//
// Counters is a winch.Section and must be registered with the exchange. When its context
// ends, Run writes the remaining counters to the key-value service.
package peer

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/usage"
)

const (
	defaultWindow     = time.Minute
	defaultShards     = 4
	defaultStoreEvery = 15 * time.Second
	defaultSettle     = 3 * time.Second
	defaultRetention  = time.Hour
	// keptWindows is the number of past windows whose stored counters are kept in memory. The
	// entry of an older window must be read before it is written with late counters.
	keptWindows      = 3
	maxStoreAttempts = 3
	// maxMissedStores is the number of writes that a hub may miss before other hosts store
	// counters themselves.
	maxMissedStores = 2
	// reporterMaxAge is the age of its last report up to which a host counts as one that reports to this one.
	reporterMaxAge = 3 * time.Second
	// shutdownStoreTimeout bounds the writes at the end of Run, which are retried every
	// shutdownRetryInterval.
	shutdownStoreTimeout  = 20 * time.Second
	shutdownRetryInterval = 250 * time.Millisecond
)

// Options configures Counters. A zero value selects the default.
type Options struct {
	Store winch.KeyValue
	// Eras tells that Store came back from an older copy. If it is nil, it never does.
	Eras        winch.EraSource
	Membership  winch.Membership
	Incarnation winch.Incarnation
	// Window is the length of a reporting window: whole seconds, the same on all hosts. The
	// default is 60 s.
	Window time.Duration
	// Shards is the number of shards that organisations are divided into, the same on all
	// hosts. The default is 4.
	Shards int
	// StoreEvery is the time between two writes of the counters. The default is 15 s.
	StoreEvery time.Duration
	// Settle is the time from the end of a window to an additional write of its counters. The
	// default is 3 s.
	Settle time.Duration
	// Retention is how long counters that cannot be stored are kept. The default is one hour.
	Retention time.Duration
	Clock     winch.Clock
	Logger    hclog.Logger
	Meter     metric.Meter
}

// writtenPart describes an entry that this process wrote.
type writtenPart struct {
	version winch.Version
	// removalCount is the value of Counters.removalCount at the write, when this process held all
	// counters of the entry.
	removalCount int
}

// hostState is what this process, while it is the hub, knows about one host that reports to it.
type hostState struct {
	incarnation winch.Incarnation
	// received is the sequence number up to which the counters of the host are in this table.
	received uint64
	// asOf is the window time up to which this hub has everything that the host counted.
	asOf time.Time
	// stored is the sequence number up to which the counters are in the key-value service.
	stored uint64
	// copied is the sequence number up to which the host has copies of this process's table.
	copied uint64
	// reportedAt is when the host reported last.
	reportedAt time.Time
	// forwarded is set if this host is the head of the host's group and reports its counters to the hub.
	forwarded bool
	// awaitedReport is the number of this host's report to the hub that has the counters up to the sequence number awaited. It
	// is zero if none is awaited.
	awaitedReport, awaited uint64
}

// Counters implements winch.UsageRecorder and winch.Section. It is safe for concurrent use.
type Counters struct {
	// Hubs of different data centres exchange no counters, because the key-value service combines
	// them.
	winch.NoDigest
	options Options
	dropped metric.Int64Counter

	mu    sync.Mutex
	table table
	// hubIncarnation is the incarnation of the current hub. ackedSequence is the sequence
	// number up to which that hub has the counters of this process.
	hubIncarnation string
	ackedSequence  uint64
	// heldByHead is the sequence number up to which the head of this host's group has the counters, zero if there is no head. The head
	// stores them if the hub is late: all hosts of a large fleet would otherwise write the same entry at the same time.
	heldByHead uint64
	hosts      map[winch.HostID]hostState
	// membersAsOf is, for the hosts of groups, the window time up to which this hub has everything that they counted.
	membersAsOf map[winch.HostID]time.Time
	// copiedFrom is the incarnation of the hub whose copies this host has, up to
	// copiedSequence.
	copiedFrom     string
	copiedSequence uint64
	// removalCount counts how often copies were removed. After a removal, entries must be read
	// again before they are written, because the table may no longer have all their counters.
	removalCount int

	// versions, complete, nextStore and lastSettled are used only by Run and Step and need no
	// mutex.
	versions map[part]writtenPart
	// complete holds the hosts that the stored entries list as complete.
	complete    map[part]usage.HostSet
	nextStore   time.Time
	lastSettled usage.Window
	// era is that of the key-value service in which counters were stored, and eraBegan when this host learned of it.
	era      winch.Era
	eraBegan time.Time
}

var (
	_ winch.UsageRecorder = (*Counters)(nil)
	_ winch.Section       = (*Counters)(nil)
)

// New returns a new Counters with all counters at zero.
func New(options Options) (*Counters, error) {
	if options.Store == nil || options.Membership == nil || options.Clock == nil {
		return nil, fmt.Errorf("create usage counters: options Store, Membership and Clock are required: %w", winch.ErrInvalid)
	}
	options = withDefaults(options)
	if options.Window < time.Second || options.Window%time.Second != 0 || options.Shards < 1 {
		return nil, fmt.Errorf("create usage counters: option Window must be a positive number of whole seconds and option Shards at least 1: %w", winch.ErrInvalid)
	}
	dropped, err := options.Meter.Int64Counter("winch_usage_dropped",
		metric.WithDescription("Counts that were given up since they could not be stored, by kind."))
	if err != nil {
		return nil, fmt.Errorf("create usage counter: %w", err)
	}
	return &Counters{
		options:     options,
		dropped:     dropped,
		table:       newTable(options.Incarnation),
		hosts:       map[winch.HostID]hostState{},
		membersAsOf: map[winch.HostID]time.Time{},
		versions:    map[part]writtenPart{},
		complete:    map[part]usage.HostSet{},
	}, nil
}

func withDefaults(options Options) Options {
	options.Window = cmp.Or(options.Window, defaultWindow)
	options.StoreEvery = cmp.Or(options.StoreEvery, defaultStoreEvery)
	options.Settle = cmp.Or(options.Settle, defaultSettle)
	options.Retention = cmp.Or(options.Retention, defaultRetention)
	options.Shards = cmp.Or(options.Shards, defaultShards)
	options.Incarnation = cmp.Or(options.Incarnation, winch.Incarnation(uuid.NewString()))
	options.Logger = cmp.Or[hclog.Logger](options.Logger, hclog.NewNullLogger())
	options.Meter = cmp.Or[metric.Meter](options.Meter, noop.Meter{})
	return options
}

// Record adds the record to the window that contains now.
func (c *Counters) Record(now time.Time, record winch.UsageRecord) {
	counts := usage.Counts{Requests: record.Requests, InputTokens: record.InputTokens, OutputTokens: record.OutputTokens}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.add(usage.WindowOf(now, c.options.Window), record.Organisation, counts)
}

// Run calls Step periodically until ctx ends, and then writes the remaining counters. It
// returns nil.
func (c *Counters) Run(ctx context.Context) error {
	ticker := time.NewTicker(min(time.Second, c.options.StoreEvery/4))
	defer ticker.Stop()
	for {
		c.Step(ctx, c.options.Clock.Now())
		select {
		case <-ctx.Done():
			lastCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownStoreTimeout)
			defer cancel()
			c.storeOnShutdown(lastCtx)
			return nil
		case <-ticker.C:
		}
	}
}

// Step writes counters when a write is due and removes old ones. Run calls it once a second, or
// more often if StoreEvery is shorter than 4 s.
func (c *Counters) Step(ctx context.Context, now time.Time) {
	c.followEra(now)
	settledUpTo := usage.WindowOf(now.Add(-c.options.Settle), c.options.Window)
	included := scopeReported
	if c.isHub(now) || c.hubIsLate(now) {
		included = scopeAll
	}
	// A write is due every StoreEvery, once Settle after the end of each window and, if this host
	// stores for all, when further hosts are complete. A failed write is repeated when the next
	// one is due.
	if !now.Before(c.nextStore) || settledUpTo > c.lastSettled || included == scopeAll && c.hasUnstoredCompletion(now) {
		c.nextStore = now.Add(c.options.StoreEvery)
		c.lastSettled = settledUpTo
		c.store(ctx, now, included)
		c.prune(ctx, now)
	}
}

// followEra makes all counters count as not stored when a new era of the key-value service has begun: the older copy from which it came back
// may lack them. The hub stores them at once. The other hosts report theirs again, since the hub may not have them any more.
func (c *Counters) followEra(now time.Time) {
	if c.options.Eras == nil || c.options.Eras.Newest() == c.era {
		return
	}
	c.era, c.eraBegan, c.nextStore = c.options.Eras.Newest(), now, now
	clear(c.versions)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.forgetStored()
	for id, state := range c.hosts {
		state.stored = 0
		c.hosts[id] = state
	}
	c.options.Logger.Info("usage counts are stored again", "Event", EventCountsStoredAgain, "Era", c.era, "Counters", len(c.table.counters))
}

func (c *Counters) isHub(now time.Time) bool {
	self := c.options.Membership.Self()
	hub, found := c.options.Membership.Hub(now, self.DataCentre)
	return found && hub.ID == self.ID
}

// hubIsLate reports whether this host has unstored counters of an ended window, and no head that has them, that the hub
// should have stored by now, even if it missed maxMissedStores writes, also since a new era of the key-value service began. This host then
// stores them itself, as the key-value service may be unavailable only to the hub.
func (c *Counters) hubIsLate(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	earliest := c.table.earliestUnstored(usage.WindowOf(now, c.options.Window), c.heldByHead)
	due := earliest.End(c.options.Window)
	if c.eraBegan.After(due) {
		due = c.eraBegan
	}
	return !now.Before(due.Add(c.options.Settle + maxMissedStores*c.options.StoreEvery))
}

func (c *Counters) prune(ctx context.Context, now time.Time) {
	keepFrom := usage.WindowOf(now.Add(-keptWindows*c.options.Window), c.options.Window)
	dropBefore := usage.WindowOf(now.Add(-c.options.Retention), c.options.Window)
	c.forgetHosts(now)
	c.mu.Lock()
	lost := c.table.prune(keepFrom, dropBefore)
	c.mu.Unlock()
	for key := range c.versions {
		if key.window < keepFrom {
			delete(c.versions, key)
		}
	}
	maps.DeleteFunc(c.complete, func(key part, _ usage.HostSet) bool { return key.window < keepFrom })
	if lost.IsZero() {
		return
	}
	c.options.Logger.Error("usage counts dropped: not stored within the retention", "Event", EventCountsDropped,
		"Requests", lost.Requests, "InputTokens", lost.InputTokens, "OutputTokens", lost.OutputTokens)
	c.dropped.Add(ctx, lost.Requests, metric.WithAttributes(attribute.String("kind", "requests")))
	c.dropped.Add(ctx, int64(lost.InputTokens), metric.WithAttributes(attribute.String("kind", "input_tokens")))
	c.dropped.Add(ctx, int64(lost.OutputTokens), metric.WithAttributes(attribute.String("kind", "output_tokens")))
}

// forgetHosts removes the state of hosts that are no longer alive. A host that returns reports
// all its counters again.
func (c *Counters) forgetHosts(now time.Time) {
	alive := map[winch.HostID]bool{}
	for _, host := range c.options.Membership.Hosts(now, c.options.Membership.Self().DataCentre) {
		alive[host.ID] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.hosts, func(id winch.HostID, _ hostState) bool { return !alive[id] })
	maps.DeleteFunc(c.membersAsOf, func(id winch.HostID, _ time.Time) bool { return !alive[id] })
}
