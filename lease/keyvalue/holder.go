// Package keyvalue lets one process at a time perform a duty, by a lease
// with fencing numbers in the platform's key-value service.
//
// The lease is one entry that is changed only by compare-and-swap. The version at
// which a process acquired it is the term's fencing number, which increases with
// every term and is never reused: the version rises also if the service comes back
// from an older copy, which begins a new era (see winch.Version). The validity counts from before the request was
// sent, on a clock that continues during a suspend, less an allowance for clock
// drift. When the response to a write was lost, the entry is read back to find out
// whether the write took effect. A successor acquires the lease after the entry has
// been unchanged for its whole TTL, measured by the successor's own clock. Its term
// begins only after a further wait, the longest time that a call of its
// predecessor may be in flight. In a new era, in which the record of a holder may be lost,
// no term begins before the TTL and that time have passed since the process first saw the era;
// a term that is valid goes on if its record is in the copy. The clocks of hosts need not be
// synchronised.
//
// Only the candidate that Membership names acquires the lease, and the hosts that rank next if
// Options.Standbys is set. A holder that is neither any more releases it.
// If the new candidate does not acquire it, the former holder takes it back for a
// while.
//
// # Usage
//
//	holder, err := keyvalue.New(keyvalue.Options{
//		Store: store, Duty: "orders/yard-1", DataCentre: "yard-1", Membership: membership, Clock: clock, Logger: logger,
//	})
//	if err != nil {
//		return err
//	}
//	go holder.Run(ctx)
//	term, held := holder.Term(clock.Now())
//
// Work that must be finished before the lease is released early runs between Begin and
// the call of the function done that Begin returns.
package keyvalue

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/arbutuswinch/winch"
)

const (
	defaultTTL        = 6 * time.Second
	defaultRenewEvery = 2 * time.Second
	defaultInFlight   = 2 * time.Second
	defaultDrift      = 200 * time.Millisecond
	keyPrefix         = "charge/"
	// ticksPerRenewal is the number of steps of the state machine in one renewal period.
	ticksPerRenewal = 20
	// standbyTicksPerRenewal is the same for a standby.
	standbyTicksPerRenewal = 4
	// releaseTick is the time between checks whether work of the term is still in progress.
	releaseTick = 5 * time.Millisecond
	// warnEvery is the number of renewal periods between warnings about failed calls.
	warnEvery = 10
)

// Holder acquires and holds the lease of a duty. It implements winch.LeaseGuard and is safe for concurrent use.
type Holder struct {
	options Options
	key     string
	mu      sync.Mutex
	state   stateMachine
	// activeWork is the number of calls of Begin whose done was not called yet.
	activeWork int
	// startedAt is when Run began, zero before, and informed whether Options.Informed has reported so.
	startedAt time.Time
	informed  bool
	// reportedHeld is whether reportTerm last reported a term.
	reportedHeld bool
	// interval is the time until the next step. Only Run uses it.
	interval time.Duration
	// nextWarning is when the next failed call is logged as a warning. Only Run uses it.
	nextWarning time.Time
	gauge       metric.Int64Gauge
}

var _ winch.LeaseGuard = (*Holder)(nil)

// New returns a holder. Run must be called for it to acquire the lease.
func New(options Options) (*Holder, error) {
	options = withDefaults(options)
	if err := check(options); err != nil {
		return nil, err
	}
	gauge, err := options.Meter.Int64Gauge("winch_charge_held", metric.WithDescription("Whether this host is in charge of the duty."))
	if err != nil {
		return nil, fmt.Errorf("create lease gauge: %w", err)
	}
	return &Holder{
		options: options,
		key:     keyPrefix + string(options.Duty),
		gauge:   gauge,
		state: stateMachine{settings: settings{
			holder:      options.Membership.Self().ID,
			incarnation: options.Incarnation,
			ttl:         options.TTL,
			renewEvery:  options.RenewEvery,
			inFlight:    options.InFlight,
			drift:       options.Drift,
		}},
	}, nil
}

// Term returns the current term, and whether this process may perform the duty: it holds the
// lease, its term has begun and is valid.
func (h *Holder) Term(now time.Time) (winch.Term, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.term(now)
}

func (h *Holder) term(now time.Time) (winch.Term, bool) {
	term, held := h.state.term(now)
	if !held || !h.mayBegin(now) {
		return winch.Term{Duty: h.options.Duty}, false
	}
	term.Duty = h.options.Duty
	return term, true
}

// mayBegin reports whether this process knows enough for a term to begin; see Options.Informed. It is called with the lock.
func (h *Holder) mayBegin(now time.Time) bool {
	if h.informed || h.options.Informed == nil {
		return true
	}
	h.informed = h.options.Informed()
	return h.informed || !h.startedAt.IsZero() && now.Sub(h.startedAt) >= h.options.TTL+h.options.InFlight
}

// Begin returns the current term and prevents the holder from releasing the lease until
// done is called. The term can still expire. Without a current term the error matches
// winch.ErrNotLeaseHolder.
func (h *Holder) Begin(now time.Time) (winch.Term, func(), error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	term, held := h.term(now)
	if !held {
		return winch.Term{}, nil, fmt.Errorf("begin work of duty %s: %w", h.options.Duty, winch.ErrNotLeaseHolder)
	}
	h.activeWork++
	once := sync.Once{}
	return term, func() { once.Do(h.done) }, nil
}

func (h *Holder) done() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.activeWork--
}

// Run acquires, renews and releases the lease until ctx is done. It then releases a lease
// that it holds, for which it takes at most one TTL, and returns nil.
func (h *Holder) Run(ctx context.Context) error {
	started := h.options.Clock.Now()
	h.mu.Lock()
	h.startedAt = started
	h.mu.Unlock()
	timer := time.NewTimer(0)
	defer timer.Stop()
	calls, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stopDeadline := time.Time{}
	for {
		now := h.options.Clock.Now()
		stopping := ctx.Err() != nil
		if stopping && stopDeadline.IsZero() {
			stopDeadline = now.Add(h.options.TTL)
		}
		if stopping && !now.Before(stopDeadline) {
			return nil
		}
		if h.runStep(calls, now, stopping) {
			return nil
		}
		h.waitForStep(ctx, timer, stopping)
	}
}

// waitForStep waits until the next step is due or, if this process was not stopping yet, until it is.
func (h *Holder) waitForStep(ctx context.Context, timer *time.Timer, stopping bool) {
	stop := ctx.Done()
	if stopping {
		stop = nil
	}
	timer.Reset(h.interval)
	select {
	case <-timer.C:
	case <-stop:
	}
}

// stepInterval returns the time between steps. Only the holder and the candidate have to act in time to a fraction of a renewal.
func (h *Holder) stepInterval(candidate, standby, stopping bool) time.Duration {
	h.mu.Lock()
	held := h.state.lease.held
	h.mu.Unlock()
	switch {
	case held || stopping || candidate && !standby:
		return h.options.RenewEvery / ticksPerRenewal
	case candidate:
		return h.options.RenewEvery / standbyTicksPerRenewal
	}
	return h.options.RenewEvery
}

// candidate reports whether this host may acquire the lease, and whether it is only a
// standby for the host that Membership names.
func (h *Holder) candidate(now time.Time) (candidate, standby bool) {
	named := h.options.Membership.Candidate(now, h.options.Duty, h.options.DataCentre)
	if h.options.Standbys == 0 {
		return named, false
	}
	if h.options.Membership.Self().Leaving {
		return false, !named
	}
	return named || h.options.Membership.Rank(now, h.options.Duty, h.options.DataCentre) <= h.options.Standbys, !named
}

// runStep carries out the next action of the state machine, and reports whether the loop is done.
func (h *Holder) runStep(ctx context.Context, now time.Time, stopping bool) bool {
	candidate, standby := h.candidate(now)
	defer func() { h.interval = h.stepInterval(candidate, standby, stopping) }()
	h.mu.Lock()
	h.state.standby = standby
	action := h.state.next(now, candidate, stopping)
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, h.options.RenewEvery)
	defer cancel()
	switch action.step {
	case stepRead:
		h.read(ctx)
	case stepWrite:
		h.write(ctx, action)
	case stepRelease:
		h.release(ctx, action)
	case stepDone:
		return true
	}
	h.reportTerm(ctx)
	return false
}

func (h *Holder) read(ctx context.Context) {
	entry, err := h.options.Store.Get(ctx, h.key)
	absent := errors.Is(err, winch.ErrNotFound)
	if err != nil && !absent {
		h.logFailure("read", err)
		h.applyResult(func(now time.Time) { h.state.readFailed(now) })
		return
	}
	found := record{}
	if !absent {
		if found, err = decodeRecord(entry.Value); err != nil {
			// It may be the record of a live holder of another version. It is treated as one,
			// so that it is replaced only after it has been unchanged for the TTL.
			h.logFailure("decode", err)
			found = record{ttl: h.options.TTL, inFlight: h.options.InFlight}
		}
	}
	h.applyResult(func(now time.Time) { h.state.readCompleted(now, absent, entry.Version, found) })
}

func (h *Holder) write(ctx context.Context, action action) {
	value, err := encodeRecord(action.record)
	version := winch.Version(0)
	if err == nil {
		version, err = h.options.Store.Put(ctx, h.key, value, action.expect)
	}
	outcome := resultOf(err)
	if outcome == resultUnknown || outcome == resultFailed {
		h.logFailure("write", err)
	}
	h.applyResult(func(now time.Time) { h.state.writeCompleted(now, version, outcome) })
}

// release waits until no work of the term is in progress, and then writes the record. The
// state machine no longer returns the term, so that no new work begins.
func (h *Holder) release(ctx context.Context, action action) {
	if !h.waitIdle() {
		h.options.Logger.Warn("lease not released because work is in progress", "Event", EventReleaseAbandoned, "Duty", h.options.Duty)
		h.applyResult(func(time.Time) { h.state.abandonRelease() })
		return
	}
	h.write(ctx, action)
}

// waitIdle waits until no work is in progress, at most until the term expires. It reports
// whether no work is left.
func (h *Holder) waitIdle() bool {
	for {
		h.mu.Lock()
		activeWork, until := h.activeWork, h.state.lease.validUntil
		h.mu.Unlock()
		if activeWork == 0 {
			return true
		}
		if !h.options.Clock.Now().Before(until) {
			return false
		}
		time.Sleep(releaseTick)
	}
}

// resultOf returns the result of a write that returned err. ErrNotFound means that the
// expected record was deleted. An error of an unknown kind does not exclude that the write
// took effect.
func resultOf(err error) result {
	switch {
	case err == nil:
		return resultDone
	case errors.Is(err, winch.ErrConflict), errors.Is(err, winch.ErrNotFound):
		return resultConflict
	case errors.Is(err, winch.ErrOutcomeUnknown):
		return resultUnknown
	case errors.Is(err, winch.ErrUnavailable), errors.Is(err, winch.ErrRateLimited), errors.Is(err, winch.ErrInvalid):
		return resultFailed
	}
	return resultUnknown
}

// applyResult passes a response on to the state machine, and logs whether the lease was
// acquired, released or lost.
func (h *Holder) applyResult(apply func(now time.Time)) {
	now := h.options.Clock.Now()
	h.mu.Lock()
	before, predecessor := h.state.lease, h.state.observed.record
	apply(now)
	after, observed := h.state.lease, h.state.observed
	released := h.state.released
	h.mu.Unlock()
	switch {
	case !before.held && after.held:
		h.options.Logger.Info("lease acquired", "Event", EventAcquired, "Duty", h.options.Duty,
			"FencingNumber", after.number, "Begins", after.beginsAt,
			"Era", after.version.Era(), "Revision", after.version.Revision(), "Predecessor", predecessor.holder, "PredecessorNumber", predecessor.number, "Released", predecessor.released)
	case before.held && !after.held && released:
		h.options.Logger.Info("lease released", "Event", EventReleased, "Duty", h.options.Duty, "FencingNumber", before.number)
	case before.held && !after.held:
		h.options.Logger.Warn("lease lost", "Event", EventLost, "Duty", h.options.Duty,
			"FencingNumber", before.number, "Holder", observed.record.holder)
	}
}

// reportTerm logs when a term begins or expires, and sets the gauge.
func (h *Holder) reportTerm(ctx context.Context) {
	now := h.options.Clock.Now()
	h.mu.Lock()
	term, held := h.term(now)
	changed := held != h.reportedHeld
	expired := changed && !held && h.state.lease.held && !h.state.releasing
	h.reportedHeld = held
	h.mu.Unlock()
	value := int64(0)
	if held {
		value = 1
	}
	h.gauge.Record(ctx, value, metric.WithAttributes(attribute.String("duty", string(h.options.Duty))))
	if changed && held {
		h.options.Logger.Info("term began", "Event", EventTermBegan, "Duty", h.options.Duty,
			"FencingNumber", term.Number, "ValidUntil", term.ValidUntil)
	}
	if expired {
		h.options.Logger.Warn("term expired before it was renewed", "Event", EventExpired, "Duty", h.options.Duty)
	}
}

// logFailure logs a record that could not be read, decoded or written. At most one failure
// in warnEvery renewal periods is logged as a warning and the others at debug level, since
// in an outage every call of every duty fails.
func (h *Holder) logFailure(call string, err error) {
	now := h.options.Clock.Now()
	level := hclog.Debug
	if !now.Before(h.nextWarning) {
		level = hclog.Warn
		h.nextWarning = now.Add(warnEvery * h.options.RenewEvery)
	}
	h.options.Logger.Log(level, "lease record could not be read, decoded or written", "Event", EventStoreCallFailed, "Duty", h.options.Duty, "Call", call, "Error", err)
}
