// Package billing reports usage to the platform, each window of a shard once.
//
// The host in charge of a shard seals a window some time after its end: the
// figures are written to the key-value service and become valid by a
// compare-and-swap of the shard's head. Only sealed figures are sent, through the
// fenced sender; a successor sends the same figures again when it can't tell that
// they were answered. Counts that arrive after the seal go into a later window as an
// adjustment.
//
// # Usage
//
//	reporter, err := billing.New(billing.Options{
//		Protocol: billing.Own{Address: address}, Shard: 0, Charge: holder, Sender: sender, Store: store, Clock: clock, Host: "host-1",
//	})
//	if err != nil {
//		return err
//	}
//	go reporter.Run(ctx)
//
// The holder's duty is usage/0 for shard 0, and so on; see Duty.
package billing

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/periodic"
	"github.com/arbutuswinch/winch/usage"
	"github.com/arbutuswinch/winch/usage/keyvalue"
)

const (
	defaultWindow    = time.Minute
	defaultGrace     = 10 * time.Second
	defaultRetention = time.Hour
	defaultInterval  = time.Second
	reportPath       = "/v1/usage"
)

// Duty returns the duty of reporting a shard.
func Duty(shard winch.Shard) winch.Duty { return winch.Duty("usage/" + strconv.Itoa(int(shard))) }

// Options are the settings of a reporter. The zero value of a duration stands for its default.
type Options struct {
	// Protocol encodes the reports; see Own for the product's own.
	Protocol    winch.UsageProtocol
	Shard       winch.Shard
	Host        winch.HostID
	Incarnation winch.Incarnation
	Charge      winch.TermGuard
	Sender      winch.FencedSender
	Store       winch.KeyValue
	// Window is the length of a reporting window in whole seconds, the same on all hosts. The default is 60 s.
	Window time.Duration
	// Grace is the time from a window's end to its seal. The default is 10 s.
	Grace time.Duration
	// LongestGrace is the time from a window's end to its seal while counts of hosts are
	// missing. The default is Grace.
	LongestGrace time.Duration
	// CatchUp is the least time from the begin of a term, or from the platform's return, to a
	// seal while counts of hosts are missing. The default is zero.
	CatchUp time.Duration
	// Membership tells whose counts to wait for; nil stands for nobody's.
	Membership winch.Membership
	// Retention is how long counts may still be adjusted. The default is one hour.
	Retention time.Duration
	// Interval is the time between two looks. The default is 1 s.
	Interval time.Duration
	Clock    winch.Clock
	// Windows tells the time by which use is counted in windows; nil stands for Clock.
	Windows winch.Clock
	Logger  hclog.Logger
	Meter   metric.Meter
}

// Reporter seals and reports the windows of one shard while this host is in charge of it.
type Reporter struct {
	options  Options
	lateness metric.Float64Histogram
	adjusted metric.Int64Counter

	ledger *ledger
	// fenced is the term that the platform has refused.
	fencedNumber winch.FencingNumber
	// looked is the newest closed window for which collected counts were read.
	processed usage.Window
	// waits is the window whose wait was logged last.
	loggedWait usage.Window
	// awaited are the hosts that counted not long ago.
	lastSeen lastSeen
}

// New returns a reporter, which does nothing until Run.
func New(options Options) (*Reporter, error) {
	if options.Charge == nil || options.Sender == nil || options.Store == nil || options.Clock == nil || options.Protocol == nil {
		return nil, fmt.Errorf("usage options Protocol, Charge, Sender, Store and Clock are needed: %w", winch.ErrInvalid)
	}
	options = withDefaults(options)
	if options.Window < time.Second || options.Window%time.Second != 0 {
		return nil, fmt.Errorf("usage option Window must be whole seconds: %w", winch.ErrInvalid)
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

func withDefaults(options Options) Options {
	options.Window = cmp.Or(options.Window, defaultWindow)
	options.Grace = cmp.Or(options.Grace, defaultGrace)
	options.LongestGrace = max(options.LongestGrace, options.Grace)
	options.Retention = cmp.Or(options.Retention, defaultRetention)
	options.Interval = cmp.Or(options.Interval, defaultInterval)
	options.Incarnation = cmp.Or(options.Incarnation, winch.Incarnation(uuid.NewString()))
	options.Windows = cmp.Or(options.Windows, options.Clock)
	options.Logger = cmp.Or[hclog.Logger](options.Logger, hclog.NewNullLogger())
	options.Meter = cmp.Or[metric.Meter](options.Meter, noop.Meter{})
	return options
}

// Run seals and reports until ctx ends. It returns nil.
func (r *Reporter) Run(ctx context.Context) error {
	return periodic.Run(ctx, r.options.Interval, func(ctx context.Context) { r.step(ctx, r.options.Clock.Now(), r.options.Windows.Now()) })
}

// Step seals what is due now and reports what is sealed; Run does so once in an interval.
func (r *Reporter) Step(ctx context.Context, now time.Time) { r.step(ctx, now, now) }

// step takes the present time by the clock of the term, and by that of the windows. After
// a failure the ledger is read anew, since what became of its last write is not known.
func (r *Reporter) step(ctx context.Context, now, windowTime time.Time) {
	r.lastSeen.update(r.options.Membership, now, windowTime)
	term, held := r.options.Charge.Term(now)
	if !held || term.Number == r.fencedNumber {
		r.ledger = nil
		return
	}
	if err := r.sealAndReport(ctx, windowTime, term); err != nil {
		r.options.Logger.Warn("usage not sealed", "Event", EventSealFailed, "Shard", r.options.Shard, "Error", err)
		r.ledger = nil
	}
}

func (r *Reporter) sealAndReport(ctx context.Context, now time.Time, term winch.Term) error {
	if r.ledger == nil || r.ledger.number != term.Number {
		ledger, err := openLedger(ctx, now, r.options, term.Number)
		if err != nil {
			return err
		}
		r.ledger, r.processed = ledger, 0
	}
	if err := r.report(ctx); err != nil {
		return err
	}
	if err := r.sealClosed(ctx, now); err != nil {
		return err
	}
	return r.report(ctx)
}

// seal seals the windows that are due. Collected counts are read once for each closed window.
func (r *Reporter) sealClosed(ctx context.Context, now time.Time) error {
	closed := usage.WindowOf(now.Add(-r.options.Grace), r.options.Window)
	if closed <= r.processed {
		return nil
	}
	if err := r.ledger.readCollected(ctx); err != nil {
		return err
	}
	if waiting, err := r.sealDue(ctx, now); waiting || err != nil {
		return err
	}
	// Counts of the newest window may be missing altogether.
	newest := closed - usage.Window(r.options.Window/time.Second)
	if len(r.missing(now, newest)) > 0 {
		return nil
	}
	cutoff := usage.WindowOf(now.Add(-r.options.Retention-2*r.options.Window), r.options.Window)
	if err := r.ledger.prune(ctx, cutoff, r.options.Retention); err != nil {
		return err
	}
	r.processed = closed
	return nil
}

// sealDue seals the windows that are due, up to one that waits for counts.
func (r *Reporter) sealDue(ctx context.Context, now time.Time) (waiting bool, err error) {
	for {
		window, due := usage.NextToSeal(now, r.options.Window, r.options.Grace, r.ledger.head.Last, r.ledger.collected, r.ledger.accounted)
		if !due {
			return false, nil
		}
		if missing := r.missing(now, window); len(missing) > 0 {
			r.logWait(now, window, missing)
			return true, nil
		}
		seal, err := r.ledger.seal(ctx, window)
		if err != nil {
			return false, err
		}
		r.logSeal(ctx, seal)
	}
}

// waitsUntil returns when the window is sealed though counts are missing.
func (r *Reporter) sealDeadline(window usage.Window) time.Time {
	deadline := window.End(r.options.Window).Add(r.options.LongestGrace)
	if caughtUp := r.ledger.openedAt.Add(r.options.CatchUp); caughtUp.After(deadline) {
		return caughtUp
	}
	return deadline
}

// missing returns the hosts whose counts of the window are worth waiting for.
func (r *Reporter) missing(now time.Time, window usage.Window) []winch.HostID {
	if !now.Before(r.sealDeadline(window)) {
		return nil
	}
	return r.lastSeen.missing(window.Start(), r.ledger.complete[window])
}

// logWait tells once for each window that its seal waits.
func (r *Reporter) logWait(now time.Time, window usage.Window, missing []winch.HostID) {
	if r.loggedWait == window {
		return
	}
	r.loggedWait = window
	r.options.Logger.Info("seal waits for counts", "Event", EventSealWaits, "Shard", r.options.Shard,
		"Window", window.Start(), "Hosts", missing, "Until", r.sealDeadline(window), "Now", now)
}

func (r *Reporter) logSeal(ctx context.Context, seal keyvalue.Seal) {
	total, late := usage.Counts{}, usage.Counts{}
	for _, figure := range seal.Figures {
		total = total.Plus(figure.Counts)
		if figure.Adjustment {
			late = late.Plus(figure.Counts)
		}
	}
	r.adjusted.Add(ctx, int64(late.InputTokens+late.OutputTokens))
	r.options.Logger.Info("window sealed", "Event", EventWindowSealed, "Shard", r.options.Shard, "Window", seal.Window.Start(),
		"Requests", total.Requests, "Tokens", total.InputTokens+total.OutputTokens, "AdjustedTokens", late.InputTokens+late.OutputTokens)
}

// report sends the sealed windows that are not known as answered, oldest first. A
// report that fails is sent again at the next step.
func (r *Reporter) report(ctx context.Context) error {
	for len(r.ledger.unreported) > 0 {
		seal := r.ledger.unreported[0]
		if !r.send(ctx, seal) {
			return nil
		}
		if err := r.ledger.markReported(ctx, seal.Window); err != nil {
			return err
		}
	}
	return nil
}

func (r *Reporter) buildReport(seal keyvalue.Seal) winch.UsageReport {
	report := winch.UsageReport{
		Shard: r.options.Shard, Window: seal.Window.Start(), Length: r.options.Window, Holder: r.options.Host, Number: r.ledger.number,
	}
	for _, figure := range seal.Figures {
		report.Figures = append(report.Figures, winch.UsageFigure{
			Organisation: figure.Organisation, Requests: figure.Counts.Requests, InputTokens: figure.Counts.InputTokens,
			OutputTokens: figure.Counts.OutputTokens, Adjustment: figure.Adjustment,
		})
	}
	return report
}

// send sends a sealed window and reports whether its report is settled.
func (r *Reporter) send(ctx context.Context, seal keyvalue.Seal) bool {
	logger := r.options.Logger.With("Shard", r.options.Shard, "Window", seal.Window.Start(), "FencingNumber", r.ledger.number)
	call, err := r.options.Protocol.Encode(r.buildReport(seal))
	if err == nil {
		_, err = r.options.Sender.Send(ctx, r.options.Charge, call)
	}
	switch {
	case err == nil:
		lateness := r.options.Windows.Now().Sub(seal.Window.End(r.options.Window))
		r.lateness.Record(ctx, lateness.Seconds())
		logger.Info("window reported", "Event", EventWindowReported, "Lateness", lateness)
		return true
	case errors.Is(err, winch.ErrConflict):
		logger.Error("report differs", "Event", EventReportDiffers, "Error", err)
		return true
	case errors.Is(err, winch.ErrFenced):
		r.fencedNumber = r.ledger.number
		logger.Error("report fenced", "Event", EventReportFenced, "Error", err)
	default:
		logger.Warn("report failed", "Event", EventReportFailed, "Error", err)
	}
	return false
}
