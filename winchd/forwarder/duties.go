package forwarder

import (
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/lease/fenced"
	lease "github.com/arbutuswinch/winch/lease/keyvalue"
	"github.com/arbutuswinch/winch/placement/planner"
	placement "github.com/arbutuswinch/winch/placement/platform"
	"github.com/arbutuswinch/winch/platform/duty"
	"github.com/arbutuswinch/winch/usage/billing"
	usagepeer "github.com/arbutuswinch/winch/usage/peer"
	"github.com/arbutuswinch/winch/winchd/process"
)

const (
	// platformDuty is the single duty for all calls to the platform, so that they need only
	// one lease.
	platformDuty winch.Duty = "platform"
	// standbys is the number of hosts that take over the duty if the store rejects the calls of the one that membership names. Each
	// of them reads the lease's record once in its TTL, so not all hosts of a large fleet are.
	standbys = 8
	// renewalsPerLease is the number of renewals within the TTL of a lease.
	renewalsPerLease = 4
	// maxInFlight is the longest time that a call of a duty may be in flight.
	maxInFlight = time.Second
	// callTimeout limits a call of a duty. It must be less than maxInFlight.
	callTimeout = 900 * time.Millisecond
	// usageShards is 1: all organisations are in the same report.
	usageShards = 1
	// After the end of a window, its last counts are stored after usageSettleDelay, its counts are
	// made final (sealed) after usageGrace, and if counts of some hosts are missing after
	// usageLateShare. The delays must be in this order.

	// usageSettleDelay is the delay after the end of a window before its last counts are stored.
	usageSettleDelay = 600 * time.Millisecond
	// usageGrace is the time from the end of a window until it is sealed.
	usageGrace = 1100 * time.Millisecond
	// usageLateShare is the share of the reporting deadline after which a window is sealed even
	// if counts are missing. The remaining time is for another host, in case the lease holder fails.
	usageLateShare = 0.65
	// usageCatchUp is how long a new lease holder, or one that has regained access to the
	// platform, waits for the hosts to store their counts.
	usageCatchUp = 2 * time.Second
	// usageInterval is how often the reporter checks for windows to seal or to report.
	usageInterval = 400 * time.Millisecond
	// usageRetention is how long counts stay in the store.
	usageRetention = 2 * time.Minute
	// planInterval is how often the number of endpoints to order is planned.
	planInterval = 500 * time.Millisecond
	// orderResendAfter is the time after which an unfulfilled order is sent again.
	orderResendAfter = 1500 * time.Millisecond
	// storesPerWindow is the number of times that counts are stored during their window.
	storesPerWindow = 4
)

// duties holds the components that report usage and order endpoints.
type duties struct {
	holder   *lease.Holder
	sender   *fenced.Sender
	counters *usagepeer.Counters
	sealed   *usagepeer.SealedWindows
	tasks    []process.Task
}

func (f *Forwarder) buildDuties() error {
	f.duties = &duties{sealed: usagepeer.NewSealedWindows(f.settings.Host)}
	if err := f.buildCounters(); err != nil {
		return err
	}
	platformDuties := duty.ParseDuties(f.settings.Duties.Kinds)
	if !platformDuties.Usage && !platformDuties.Orders {
		return nil
	}
	if err := f.buildHolder(); err != nil {
		return err
	}
	if platformDuties.Usage {
		if err := f.buildReporter(); err != nil {
			return err
		}
	}
	if platformDuties.Orders {
		return f.buildOrders()
	}
	return nil
}

// buildOrders creates a task for each data centre. All of them use the same lease.
func (f *Forwarder) buildOrders() error {
	plans, err := planner.NewPrefillPlanner(planner.PrefillOptions{
		Configurations: f.configuration, Queues: f.dispatcher, Endpoints: f.endpoints, Evacuations: f.endpoints, Logger: f.logger,
	})
	if err != nil {
		return err
	}
	for _, centre := range f.settings.DataCentres {
		orders, err := placement.New(placement.Options{
			Protocol: duty.Orders{Address: f.settings.Duties.Address}, DataCentre: centre, Holder: f.settings.Host, Incarnation: f.incarnation,
			Lease: f.duties.holder, Sender: f.duties.sender, Store: f.store, Planner: plans, Endpoints: f.endpoints.OrderedEndpoints(centre),
			Interval: planInterval, RepeatEvery: orderResendAfter, InFlight: maxInFlight,
			Clock: f.clock, Logger: f.logger, Meter: f.metrics.Meter(),
		})
		if err != nil {
			return err
		}
		f.duties.tasks = append(f.duties.tasks, process.Task{Name: "orders of " + string(centre), Run: orders.Run})
	}
	return nil
}

func (f *Forwarder) buildHolder() error {
	holder, err := lease.New(lease.Options{
		Store: f.store, Duty: platformDuty, Membership: f.table, Incarnation: f.incarnation, Standbys: standbys,
		TTL: f.settings.Bounds.Lease, RenewEvery: f.settings.Bounds.Lease / renewalsPerLease, InFlight: maxInFlight,
		Informed: f.eras.Heard, Clock: f.clock, Logger: f.logger, Meter: f.metrics.Meter(),
	})
	if err != nil {
		return err
	}
	// NoWatchdog disables the kernel timer of the sender, because kernel timers are not available
	// in the platform's processes. The sender's other safeguards do not need them.
	sender, err := fenced.New(fenced.Options{Clock: f.clock, Timeout: callTimeout, NoWatchdog: true})
	if err != nil {
		return err
	}
	f.duties.holder, f.duties.sender = holder, sender
	f.duties.tasks = append(f.duties.tasks, process.Task{Name: "lease", Run: holder.Run})
	return nil
}

func (f *Forwarder) buildCounters() error {
	window := f.settings.Bounds.UsageWindow
	counters, err := usagepeer.New(usagepeer.Options{
		Store: f.store, Eras: f.store.Eras(), Membership: f.table, Incarnation: f.incarnation, Window: window, Shards: usageShards,
		StoreEvery: window / storesPerWindow, Settle: usageSettleDelay, Retention: usageRetention,
		Clock: f.synced, Logger: f.logger, Meter: f.metrics.Meter(),
	})
	f.duties.counters = counters
	return err
}

func (f *Forwarder) buildReporter() error {
	reporter, err := billing.New(billing.Options{
		Protocol: duty.Usage{Address: f.settings.Duties.Address}, Host: f.settings.Host, Incarnation: f.incarnation,
		Lease: f.duties.holder, Sender: f.duties.sender, Store: f.store, Eras: f.store.Eras(), Window: f.settings.Bounds.UsageWindow,
		Grace: usageGrace, MaxGrace: time.Duration(usageLateShare * float64(f.settings.Bounds.UsageLate)), CatchUpDelay: usageCatchUp,
		Membership: f.table, Retention: usageRetention, Interval: usageInterval, OnTimeFrom: exchangeGroup, Sealed: f.duties.sealed,
		Clock: f.clock, WindowClock: f.synced, Logger: f.logger, Meter: f.metrics.Meter(),
	})
	if err != nil {
		return err
	}
	// The counters count on every host, but are stored only where a reporter may read them.
	f.duties.tasks = append(f.duties.tasks,
		process.Task{Name: "usage counters", Run: f.duties.counters.Run}, process.Task{Name: "usage reports", Run: reporter.Run})
	return nil
}

// Record implements winch.UsageRecorder for the server, which uses the host's own clock. It records
// the usage in the window to which now belongs by the synced clock.
func (f *Forwarder) Record(now time.Time, record winch.UsageRecord) {
	f.duties.counters.Record(f.synced.At(now), record)
}
