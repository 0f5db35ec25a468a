// Package billing reports usage to the platform. Each window of a shard is reported with
// one fixed set of figures.
//
// The lease holder of a shard seals each window some time after the window's end: it
// writes the figures to the key-value service, and a compare-and-swap of the entry that
// names the latest seal, the shard's head, makes them valid. Only sealed figures are sent,
// through a winch.FencedSender. When it is not known whether the platform received a report,
// this host or the next lease holder sends the same figures again. Counts that arrive after
// the seal become an adjustment in a later window.
//
// # Usage
//
//	reporter, err := billing.New(billing.Options{
//		Protocol: billing.NativeProtocol{Address: address}, Shard: 0, Lease: holder, Sender: sender, Store: store, Clock: clock, Host: "host-1",
//	})
//	if err != nil {
//		return err
//	}
//	go reporter.Run(ctx)
//
// The duty that the host must hold is usage/0 for shard 0, and so on; see Duty.
package billing

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/metric"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/periodic"
	"github.com/arbutuswinch/winch/usage"
)

// standbySeenEvery is the interval at which a host that is not in charge notes which hosts are alive, which it needs if it takes over.
const standbySeenEvery = time.Second

// Duty returns the name of the duty of reporting a shard.
func Duty(shard winch.Shard) winch.Duty { return winch.Duty("usage/" + strconv.Itoa(int(shard))) }

// Reporter seals and reports the windows of one shard while this host holds its lease.
type Reporter struct {
	options  Options
	lateness metric.Float64Histogram
	adjusted metric.Int64Counter

	ledger *ledger
	// newestSealed is the newest window that this process has sealed or read to be sealed, and sealedAt is when it was, in window time.
	newestSealed usage.Window
	sealedAt     time.Time
	// openedNumber is the number of the last term in which this process has opened the ledger.
	openedNumber winch.FencingNumber
	// era is the newest era of the key-value service that this process has seen, and eraSeenAt is when it did first, in window time.
	era       winch.Era
	eraSeenAt time.Time
	// fencedNumber is the number of the term whose report the platform rejected as outdated.
	fencedNumber winch.FencingNumber
	// processed is the earliest window that was not closed when the closed ones were last
	// completely processed. The collected counts are not read again until it closes.
	processed usage.Window
	// loggedWait is the window whose delayed seal was logged last.
	loggedWait usage.Window
	// lastSeen records when each host was last seen alive, and lastSeenAt is when it was updated.
	lastSeen   lastSeen
	lastSeenAt time.Time
}

// New returns a reporter. It does nothing until Run or Step is called.
func New(options Options) (*Reporter, error) {
	if options.Lease == nil || options.Sender == nil || options.Store == nil || options.Clock == nil || options.Protocol == nil {
		return nil, fmt.Errorf("create usage reporter: options Protocol, Lease, Sender, Store and Clock are required: %w", winch.ErrInvalid)
	}
	options = withDefaults(options)
	if options.Window < time.Second || options.Window%time.Second != 0 {
		return nil, fmt.Errorf("create usage reporter: option Window must be a positive number of whole seconds: %w", winch.ErrInvalid)
	}
	lateness, err := options.Meter.Float64Histogram("winch_usage_report_lateness", metric.WithUnit("s"),
		metric.WithDescription("Time from a window's end to the answer to its report."))
	if err != nil {
		return nil, fmt.Errorf("create lateness histogram: %w", err)
	}
	adjusted, err := options.Meter.Int64Counter("winch_usage_adjusted_tokens",
		metric.WithDescription("Tokens that were reported in a later window than they were used in."))
	if err != nil {
		return nil, fmt.Errorf("create adjustment counter: %w", err)
	}
	return &Reporter{options: options, lateness: lateness, adjusted: adjusted, lastSeen: lastSeen{}}, nil
}

// Run seals and reports windows until ctx ends. It returns nil.
func (r *Reporter) Run(ctx context.Context) error {
	return periodic.Run(ctx, r.options.Interval, func(ctx context.Context) { r.step(ctx, r.options.Clock.Now(), r.options.WindowClock.Now()) })
}

// Step seals the windows that are due and reports the sealed ones. Run calls it once per
// interval.
func (r *Reporter) Step(ctx context.Context, now time.Time) { r.step(ctx, now, now) }

// step takes the time by two clocks: now by Options.Clock, which terms and the membership use,
// and windowTime by Options.WindowClock. After a failure it discards the ledger, which is then read
// again, because the last write may or may not have taken effect.
func (r *Reporter) step(ctx context.Context, now, windowTime time.Time) {
	r.noteEra(windowTime)
	term, held := r.options.Lease.Term(now)
	if held || now.Sub(r.lastSeenAt) >= standbySeenEvery {
		r.lastSeen.update(r.options.Membership, now, windowTime)
		r.lastSeenAt = now
	}
	if !held || term.Number == r.fencedNumber {
		r.ledger = nil
		return
	}
	if err := r.sealAndReport(ctx, windowTime, term); err != nil {
		r.options.Logger.Warn("failed to read or write the stored usage state; retrying in the next step", "Event", EventSealFailed, "Shard", r.options.Shard, "Error", err)
		r.ledger = nil
	}
}

func (r *Reporter) sealAndReport(ctx context.Context, now time.Time, term winch.Term) error {
	if r.ledger == nil || r.ledger.number != term.Number || r.knownSealed(now) > r.ledger.head.Last {
		if err := r.open(ctx, now, term); err != nil {
			return err
		}
	}
	// Reports left over from earlier steps or terms do not depend on reading the counts.
	if err := r.report(ctx, now); err != nil {
		return err
	}
	if err := r.sealClosed(ctx, now); err != nil {
		return err
	}
	return r.report(ctx, now)
}

// open reads the stored usage state. If it lacks its last seal, the hosts know of a newer one, or one may have been written in an earlier
// era, the key-value service has lost writes: what was sealed may have been reported, and must not be reported again with other counts.
func (r *Reporter) open(ctx context.Context, now time.Time, term winch.Term) error {
	ledger, err := openLedger(ctx, now, r.options, term.Number)
	if err != nil {
		return err
	}
	r.ledger, r.processed = ledger, 0
	r.logOpened()
	if newest := max(r.mayBeSealed(now), ledger.head.Last); newest > ledger.head.Last || ledger.incomplete {
		r.options.Logger.Error("stored usage state lacks seals", "Event", EventSealsLost, "Shard", r.options.Shard,
			"Last", ledger.head.Last.Start(), "Newest", newest.Start(), "LastSealMissing", ledger.incomplete,
			"HeadEra", ledger.head.Era, "Era", ledger.version.Era())
		if err := ledger.skip(ctx, newest); err != nil {
			return err
		}
	}
	if err := ledger.noteEra(ctx); err != nil {
		return err
	}
	r.openedNumber = term.Number
	r.noteSealed(now, ledger.head.Last)
	return nil
}

// mayBeSealed returns the newest window that may have been sealed, as far as the head does not tell: the newest one that is known to be,
// or, if a seal may be lost of which no host that runs knows, the newest one that was due when this process first saw the era. In a term in
// which this process has read the head before, all seals are its own.
func (r *Reporter) mayBeSealed(now time.Time) usage.Window {
	known := r.knownSealed(now)
	if r.ledger.number == r.openedNumber || !r.ledger.lostWrites() {
		return known
	}
	if r.options.Eras == nil && known > r.ledger.head.Last {
		// A host that knows of a lost seal has run until then. Without Eras it is not known when the era began, and no window that
		// was due since is left out.
		return known
	}
	seenAt := r.latest(now)
	if r.era == r.ledger.version.Era() {
		seenAt = r.eraSeenAt
	}
	// A window is sealed Grace after its end. Half of that allows for clocks that are ahead of this host's.
	firstOpen := usage.WindowOf(seenAt.Add(-r.options.Grace/2), r.options.Window)
	return max(known, firstOpen-usage.Window(r.options.Window/time.Second))
}

// noteEra records when this process first saw the newest era of the key-value service.
func (r *Reporter) noteEra(now time.Time) {
	if r.options.Eras == nil {
		return
	}
	if era := r.options.Eras.Newest(); era > r.era {
		r.era, r.eraSeenAt = era, r.latest(now)
	}
}

// latest returns the present window time, which is later than that of the step if the process was paused since.
func (r *Reporter) latest(now time.Time) time.Time {
	if present := r.options.WindowClock.Now(); present.After(now) {
		return present
	}
	return now
}

// knownSealed returns the newest window that this host knows to be sealed. A window that has not ended by this host's clock does
// not count, so that a host whose clock is wrong cannot stop the reports.
func (r *Reporter) knownSealed(now time.Time) usage.Window {
	known := []usage.Window{r.newestSealed}
	if r.options.Sealed != nil {
		known = append(known, usage.Window(max(r.options.Sealed.Newest(r.options.Shard).Unix(), 0)))
	}
	newest := usage.Window(0)
	for _, window := range known {
		if !window.End(r.options.Window).After(now) {
			newest = max(newest, window)
		}
	}
	return newest
}

// noteSealed remembers that the window was sealed, and tells the other hosts. Zero stands for no window.
func (r *Reporter) noteSealed(now time.Time, window usage.Window) {
	if window == 0 {
		return
	}
	if window > r.newestSealed {
		r.newestSealed, r.sealedAt = window, now
	}
	if r.options.Sealed != nil {
		r.options.Sealed.Note(r.options.Clock.Now(), r.options.Shard, window.Start())
	}
}

// logOpened logs what the stored usage state says.
func (r *Reporter) logOpened() {
	head := r.ledger.head
	r.options.Logger.Info("stored usage state opened", "Event", EventLedgerOpened, "Shard", r.options.Shard, "FencingNumber", r.ledger.number,
		"Version", r.ledger.version, "Last", head.Last.Start(), "LastSeal", head.LastSeal, "Reported", head.Reported.Start(), "Unreported", len(r.ledger.unreported))
}
