package billing

import (
	"context"
	"errors"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/usage"
	"github.com/arbutuswinch/winch/usage/keyvalue"
)

// maxTellTime is how long a report waits until another host knows of its window.
const maxTellTime = time.Second

// othersKnow reports whether another host knows what was sealed, so that it is known if this process ends now. There may be none.
func (r *Reporter) othersKnow(now time.Time) bool {
	return r.options.Sealed == nil || r.options.Sealed.Told() || !now.Before(r.sealedAt.Add(maxTellTime))
}

// report sends the unreported seals, oldest first, once other hosts know of them. It stops at the first one that fails; the
// next call starts with it.
func (r *Reporter) report(ctx context.Context, now time.Time) error {
	for len(r.ledger.unreported) > 0 && r.othersKnow(now) {
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

// send reports a sealed window. It returns true if no further attempt is needed: the platform
// accepted the report or has different figures.
func (r *Reporter) send(ctx context.Context, seal keyvalue.Seal) bool {
	logger := r.options.Logger.With("Shard", r.options.Shard, "Window", seal.Window.Start(), "FencingNumber", r.ledger.number,
		"Seal", seal.Write, "Digest", usage.DigestOf(seal.Figures).String())
	call, err := r.options.Protocol.Encode(r.buildReport(seal))
	if err == nil {
		_, err = r.options.Sender.Send(ctx, r.options.Lease, call)
	}
	switch {
	case err == nil:
		lateness := r.options.WindowClock.Now().Sub(seal.Window.End(r.options.Window))
		r.lateness.Record(ctx, lateness.Seconds())
		logger.Info("usage window reported", "Event", EventWindowReported, "Lateness", lateness)
		return true
	case errors.Is(err, winch.ErrConflict):
		logger.Error("platform has different figures for the usage window", "Event", EventReportConflict, "Error", err)
		return true
	case errors.Is(err, winch.ErrFenced):
		r.fencedNumber = r.ledger.number
		logger.Error("usage report rejected: fencing number is outdated", "Event", EventReportFenced, "Error", err)
	default:
		logger.Warn("failed to send usage report", "Event", EventReportFailed, "Error", err)
	}
	return false
}
