package endpoint

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/arbutuswinch/winch"
)

// Dispatcher implements winch.Dispatcher, winch.LoadObserver and winch.EndpointListener. It is safe for concurrent use.
type Dispatcher struct {
	options Options
	logger  hclog.Logger
	metrics *metrics

	lock sync.Mutex
	core *core
	// layout is the one in force. Only New and Run use it.
	layout *layout
	// spareEntries holds slices of log entries for reuse; guarded by lock.
	spareEntries [][]logEntry
	// layoutApplied is closed when the next layout is applied; guarded by lock.
	layoutApplied chan struct{}
}

// New returns a dispatcher that accepts requests at once. Run performs its housekeeping.
func New(options Options) (*Dispatcher, error) {
	if err := options.check(); err != nil {
		return nil, fmt.Errorf("create dispatcher: %w", err)
	}
	self := winch.Host{}
	if options.Membership != nil {
		self = options.Membership.Self()
	}
	d := &Dispatcher{
		options: options, logger: options.Logger.Named("dispatch"),
		core:          newCore(self, options.Policy, options.Settings, options.Seed),
		layoutApplied: make(chan struct{}),
	}
	d.core.home = options.Home
	options.Optional.restrict(&d.core.features)
	measures, err := newMetrics(options.Meter, d)
	if err != nil {
		return nil, fmt.Errorf("create dispatcher: %w", err)
	}
	d.metrics = measures
	now := options.Clock.Now()
	d.setHosts(now)
	d.configure(now)
	return d, nil
}

// Run performs housekeeping until the context ends, and returns the context's error.
func (d *Dispatcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(d.options.Settings.Tick)
	defer ticker.Stop()
	for {
		configured, ordered := d.changeChannels()
		d.configure(d.options.Clock.Now())
		if err := d.housekeep(ctx, ticker, configured, ordered); err != nil {
			return err
		}
	}
}

// changeChannels returns the channels that signal the next change of the configuration and of the
// endpoints ordered from the platform. Callers get them before reading the state, so that no
// change is missed.
func (d *Dispatcher) changeChannels() (configured, ordered <-chan struct{}) {
	configured = d.options.Configurations.Changed()
	if d.options.Source != nil {
		ordered = d.options.Source.Changed()
	}
	return configured, ordered
}

// hostsInterval is the time between updates of the list of live hosts.
const hostsInterval = time.Second

// housekeep runs ticks until the configuration or the ordered endpoints change.
func (d *Dispatcher) housekeep(ctx context.Context, ticker *time.Ticker, configured, ordered <-chan struct{}) error {
	hostsAt := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-configured:
			return nil
		case <-ordered:
			return nil
		case <-ticker.C:
			now, readAt := d.options.Clock.Now(), d.listReadAt()
			if closed(ordered) {
				// The time may be that of a list that was not applied yet.
				return nil
			}
			if now.Sub(hostsAt) >= hostsInterval {
				d.setHosts(now)
				hostsAt = now
			}
			d.runStep(func() {
				d.core.listReadAt = readAt
				d.core.tick(now)
			})
		}
	}
}

func closed(signal <-chan struct{}) bool {
	select {
	case <-signal:
		return true
	default:
		return false
	}
}

func (d *Dispatcher) configure(now time.Time) {
	configuration := d.options.Configurations.Current()
	if configuration == nil {
		return
	}
	// The time is read before the list, so that it is not that of a newer one.
	readAt := d.listReadAt()
	var ordered []winch.EndpointStatus
	if d.options.Source != nil {
		ordered = d.options.Source.Endpoints()
	}
	started := time.Now()
	next := newLayout(d.core.self.DataCentre, d.core.home, configuration, ordered, d.layout)
	var heldFor time.Duration
	d.runStep(func() {
		locked := time.Now()
		d.core.listReadAt = readAt
		d.core.apply(now, next)
		close(d.layoutApplied)
		d.layoutApplied = make(chan struct{})
		heldFor = time.Since(locked)
	})
	d.layout = next
	d.logger.Info("endpoints updated", "Event", EventEndpointsChanged, "Revision", configuration.Revision,
		"Endpoints", len(next.statuses), "Ordered", len(ordered), "Lanes", len(next.lanes.lanes), "Took", time.Since(started), "LockHeld", heldFor)
}

func (d *Dispatcher) relaysReports(now time.Time) bool {
	return d.options.Membership != nil && d.options.Membership.RelaysReports(now)
}

// listReadAt returns when the newest list of endpoints was read, or zero.
func (d *Dispatcher) listReadAt() time.Time {
	if d.options.Source == nil {
		return time.Time{}
	}
	return d.options.Source.ReadAt()
}

func (d *Dispatcher) setHosts(now time.Time) {
	membership := d.options.Membership
	if membership == nil {
		return
	}
	self := membership.Self()
	var others []winch.Host
	for _, centre := range membership.DataCentres() {
		if centre != self.DataCentre {
			others = append(others, membership.Hosts(now, centre)...)
		}
	}
	own := membership.Hosts(now, self.DataCentre)
	d.lock.Lock()
	defer d.lock.Unlock()
	d.core.knownHosts.update(now, self.ID, own)
	d.core.setHosts(own, others)
}

// Acquire waits for a slot on an endpoint, and before that for a layout that has the request's class, model or route if one is about to be applied.
func (d *Dispatcher) Acquire(ctx context.Context, now time.Time, work winch.Work) (winch.Slot, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("acquire slot: %w", err)
	}
	s := newSlot(d)
	if err := d.arrive(ctx, now, work, s); err != nil {
		return nil, err
	}
	select {
	case err := <-s.ready:
		if err != nil {
			return nil, err
		}
		return s, nil
	case <-ctx.Done():
		return nil, d.abandon(ctx, s)
	}
}

// abandon removes the request of a disconnected caller from the queue, or releases the
// slot if it was granted in the meantime.
func (d *Dispatcher) abandon(ctx context.Context, s *slot) error {
	now := d.options.Clock.Now()
	d.runStep(func() {
		if s.request != nil && d.core.cancel(now, s.request) {
			d.core.emit(effect{kind: effectCancelled, at: now, request: s.request, lane: s.request.lane})
		}
	})
	select {
	case err := <-s.ready:
		if err == nil {
			s.Release(now, winch.OutcomeCancelled)
		}
	default:
	}
	return fmt.Errorf("acquire slot: %w", ctx.Err())
}

// Retry spends one retry from the budget of the work's model or route. It reports whether the retry is allowed.
func (d *Dispatcher) Retry(now time.Time, work winch.Work) bool {
	d.lock.Lock()
	allowed := d.core.budget(group{model: work.Model, route: work.Route}).Spend(now, d.core.retryFloor())
	d.lock.Unlock()
	if !allowed {
		d.logger.Info("retry refused: retry budget exhausted", "Event", EventRetryRefused, "At", formatTime(now), "Request", string(work.Request),
			"Class", string(work.Class), "Group", group{model: work.Model, route: work.Route}.String())
	}
	return allowed
}

// ObserveLoad applies an endpoint's load report.
func (d *Dispatcher) ObserveLoad(now time.Time, report winch.LoadReport) {
	d.runStep(func() { d.core.observeLoad(now, report) })
}

// ObserveWord applies what an endpoint has said of itself.
func (d *Dispatcher) ObserveWord(now, startedAt time.Time, word winch.EndpointWord) {
	d.runStep(func() { d.core.observeWord(now, startedAt, word) })
}

// ObserveCache applies an engine's cache event.
func (d *Dispatcher) ObserveCache(_ time.Time, event winch.CacheEvent) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.core.observeCache(event)
}

// runStep runs a step of the core under the lock and applies its effects. It logs and counts the
// effects after unlocking.
func (d *Dispatcher) runStep(step func()) {
	d.lock.Lock()
	step()
	if len(d.core.effects) == 0 {
		d.lock.Unlock()
		return
	}
	entries := d.takeEntries()
	for i := range d.core.effects {
		e := &d.core.effects[i]
		entries = append(entries, d.core.newLogEntry(e))
		d.notifyWaiter(e)
	}
	clear(d.core.effects)
	d.core.effects = d.core.effects[:0]
	d.lock.Unlock()
	logged := d.logger.IsInfo()
	for i := range entries {
		if logged {
			d.log(&entries[i])
		}
		d.metrics.count(&entries[i])
	}
	d.returnEntries(entries)
}

func (d *Dispatcher) takeEntries() []logEntry {
	if last := len(d.spareEntries) - 1; last >= 0 {
		entries := d.spareEntries[last]
		d.spareEntries = d.spareEntries[:last]
		return entries
	}
	return nil
}

const maxSpareEntries = 64

func (d *Dispatcher) returnEntries(entries []logEntry) {
	clear(entries)
	d.lock.Lock()
	defer d.lock.Unlock()
	if len(d.spareEntries) < maxSpareEntries {
		d.spareEntries = append(d.spareEntries, entries[:0])
	}
}

// notifyWaiter passes a decision to the goroutine that waits for the request or streams it.
func (d *Dispatcher) notifyWaiter(e *effect) {
	if e.request == nil {
		return
	}
	s, found := e.request.waiter.(*slot)
	if !found {
		return
	}
	switch e.kind {
	case effectGranted:
		s.grant(e)
	case effectRefused:
		refusal := e.refusal
		s.request = nil
		d.core.recycle(e.request)
		s.ready <- &refusal
	case effectCancelled, effectReleased:
		s.request = nil
		d.core.recycle(e.request)
	case effectPreempted, effectMoved:
		close(s.preempted)
	}
}

func (s *slot) grant(e *effect) {
	if e.endpoint != nil {
		s.endpoint = e.endpoint.spec
		s.endpoint.Software = s.dispatcher.core.knownSoftware(e.at, e.endpoint)
		s.startedAt = e.endpoint.startedAt
		s.endpointLastHeard = &e.endpoint.lastHeard
	} else {
		host := s.dispatcher.core.receivingHost(e.remote, e.request)
		s.endpoint = winch.Endpoint{
			ID: winch.EndpointID(host.ID), DataCentre: e.remote.dataCentre, Kind: winch.EndpointPeer, Address: host.PeerAddress,
		}
	}
	s.ready <- nil
}

// recordFirstToken passes a first token to the core without waiting for the next tick, for
// policies that choose by pending prefill.
func (d *Dispatcher) recordFirstToken(now time.Time, s *slot) {
	if !d.core.features.prefillAware {
		return
	}
	d.runStep(func() {
		if s.request != nil {
			d.core.readProgress(now, s.request)
			d.core.fillByChoice(now)
		}
	})
}
