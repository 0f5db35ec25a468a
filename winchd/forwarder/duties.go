package forwarder

import (
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/charge/fenced"
	charge "github.com/arbutuswinch/winch/charge/keyvalue"
	"github.com/arbutuswinch/winch/placement/planner"
	placement "github.com/arbutuswinch/winch/placement/platform"
	"github.com/arbutuswinch/winch/platform/duty"
	"github.com/arbutuswinch/winch/usage/billing"
	usagepeer "github.com/arbutuswinch/winch/usage/peer"
	"github.com/arbutuswinch/winch/winchd/process"
)

const (
	// dutyAll is the one duty under which all calls to the platform are made, so that they
	// cost one lease.
	dutyAll winch.Duty = "platform"
	// renewalsPerLease is how often a lease is renewed within its time.
	renewalsPerLease = 4
	// inFlight is the longest time that a call of a duty may be on its way.
	inFlight = time.Second
	// callTimeout bounds a call of a duty.
	callTimeout = 900 * time.Millisecond
	// usageShards: all organisations are reported together.
	usageShards = 1
	// usageSettle is the time after a window's end at which its last counts are stored.
	usageSettle = 600 * time.Millisecond
	// usageGrace is the time from a window's end to its seal.
	usageGrace = 1100 * time.Millisecond
	// usageLateShare is the part of the time for a report after which a window is sealed though
	// counts are missing. The rest is for a successor, should the host in charge end.
	usageLateShare = 0.65
	// usageCatchUp is how long a holder that has just begun, or found the platform again, lets
	// the hosts store what they have.
	usageCatchUp  = 2 * time.Second
	usageInterval = 400 * time.Millisecond
	// usageRetention is how long counts are kept in the store.
	usageRetention = 2 * time.Minute
	planEvery      = 500 * time.Millisecond
	// orderRepeat is the time after which an order is given anew that was not met.
	orderRepeat = 1500 * time.Millisecond
	// storesPerWindow is how often a window's counts are written to the store while it lasts.
	storesPerWindow = 4
)

// duties are the parts that report usage and order endpoints.
type duties struct {
	holder   *charge.Holder
	sender   *fenced.Sender
	counters *usagepeer.Counters
	parts    []process.Part
}

func (f *Forwarder) buildDuties() error {
	f.duties = &duties{}
	if err := f.buildCounters(); err != nil {
		return err
	}
	kinds := duty.Kinds(f.settings.Duties.Kinds)
	if !kinds.Usage && !kinds.Orders {
		return nil
	}
	if err := f.buildHolder(); err != nil {
		return err
	}
	if kinds.Usage {
		if err := f.buildReporter(); err != nil {
			return err
		}
	}
	if kinds.Orders {
		return f.buildOrders()
	}
	return nil
}

// buildOrders makes a part for each data centre; all of them need the one lease.
func (f *Forwarder) buildOrders() error {
	plans, err := planner.NewPrompts(planner.PromptsOptions{
		Configurations: f.configuration, Queues: f.dispatcher, Endpoints: f.endpoints, Logger: f.logger,
	})
	if err != nil {
		return err
	}
	for _, centre := range f.settings.DataCentres {
		orders, err := placement.New(placement.Options{
			Protocol: duty.Orders{Address: f.settings.Duties.Address}, DataCentre: centre, Holder: f.settings.Host, Incarnation: f.incarnation,
			Charge: f.duties.holder, Sender: f.duties.sender, Store: f.store, Planner: plans, Endpoints: f.endpoints.In(centre),
			Interval: planEvery, RepeatEvery: orderRepeat, InFlight: inFlight,
			Clock: f.clock, Logger: f.logger, Meter: f.metrics.Meter(),
		})
		if err != nil {
			return err
		}
		f.duties.parts = append(f.duties.parts, process.Part{Name: "orders of " + string(centre), Run: orders.Run})
	}
	return nil
}

func (f *Forwarder) buildHolder() error {
	holder, err := charge.New(charge.Options{
		Store: f.store, Duty: dutyAll, Membership: f.table, Incarnation: f.incarnation, AnyHost: true,
		TTL: f.settings.Bounds.Lease, RenewEvery: f.settings.Bounds.Lease / renewalsPerLease, InFlight: inFlight,
		Clock: f.clock, Logger: f.logger, Meter: f.metrics.Meter(),
	})
	if err != nil {
		return err
	}
	// The platform's processes have no kernel timers; the sender's other guards do without.
	sender, err := fenced.New(fenced.Options{Clock: f.clock, Timeout: callTimeout, NoWatchdog: true})
	if err != nil {
		return err
	}
	f.duties.holder, f.duties.sender = holder, sender
	f.duties.parts = append(f.duties.parts, process.Part{Name: "lease", Run: holder.Run})
	return nil
}

func (f *Forwarder) buildCounters() error {
	window := f.settings.Bounds.UsageWindow
	counters, err := usagepeer.New(usagepeer.Options{
		Store: f.store, Membership: f.table, Incarnation: f.incarnation, Window: window, Shards: usageShards,
		StoreEvery: window / storesPerWindow, Settle: usageSettle, Retention: usageRetention,
		Clock: f.agreed, Logger: f.logger, Meter: f.metrics.Meter(),
	})
	f.duties.counters = counters
	return err
}

func (f *Forwarder) buildReporter() error {
	reporter, err := billing.New(billing.Options{
		Protocol: duty.Usage{Address: f.settings.Duties.Address}, Host: f.settings.Host, Incarnation: f.incarnation,
		Charge: f.duties.holder, Sender: f.duties.sender, Store: f.store, Window: f.settings.Bounds.UsageWindow,
		Grace: usageGrace, LongestGrace: time.Duration(usageLateShare * float64(f.settings.Bounds.UsageLate)), CatchUp: usageCatchUp,
		Membership: f.table, Retention: usageRetention, Interval: usageInterval,
		Clock: f.clock, Windows: f.agreed, Logger: f.logger, Meter: f.metrics.Meter(),
	})
	if err != nil {
		return err
	}
	f.duties.parts = append(f.duties.parts,
		process.Part{Name: "usage counters", Run: f.duties.counters.Run}, process.Part{Name: "usage reports", Run: reporter.Run})
	return nil
}

// Record counts a use in the window of the agreed time that belongs to now.
func (f *Forwarder) Record(now time.Time, record winch.UsageRecord) {
	f.duties.counters.Record(f.agreed.At(now), record)
}
