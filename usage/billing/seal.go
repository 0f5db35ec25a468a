package billing

import (
	"context"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/usage"
	"github.com/arbutuswinch/winch/usage/keyvalue"
)

// sealClosed seals the windows that are due. When no counts of the closed windows are missing,
// it records in processed that the collected counts need not be read again until the next
// window closes.
func (r *Reporter) sealClosed(ctx context.Context, now time.Time) error {
	firstOpen := usage.WindowOf(now.Add(-r.options.Grace), r.options.Window)
	if firstOpen <= r.processed {
		return nil
	}
	if err := r.ledger.readCollected(ctx, firstOpen); err != nil {
		return err
	}
	if waiting, err := r.sealDue(ctx, now); waiting || err != nil {
		return err
	}
	// If the newest closed window has no counts in the key-value service yet, sealDue returns
	// without waiting for them. If hosts may still add counts to it, processed stays unchanged
	// and the next step reads the counts again.
	newest := firstOpen - usage.Window(r.options.Window/time.Second)
	if len(r.missing(now, newest)) > 0 {
		return nil
	}
	// Hosts keep their counters for the retention. Two more windows allow for hosts whose clocks
	// are behind: an entry that is written again after it was deleted would be reported again.
	cutoff := usage.WindowOf(now.Add(-r.options.Retention-2*r.options.Window), r.options.Window)
	if err := r.ledger.prune(ctx, cutoff, r.options.Retention); err != nil {
		return err
	}
	r.processed = firstOpen
	return nil
}

// sealDue seals the windows that are due, oldest first. It stops and returns true at the first
// window for which counts are missing.
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
		r.noteSealed(now, window)
		r.logSeal(ctx, seal)
	}
}

// sealDeadline returns the time at which the window is sealed even if counts are missing.
func (r *Reporter) sealDeadline(window usage.Window) time.Time {
	deadline := window.End(r.options.Window).Add(r.options.MaxGrace)
	if caughtUp := r.ledger.openedAt.Add(r.options.CatchUpDelay); caughtUp.After(deadline) {
		return caughtUp
	}
	return deadline
}

// missing returns the hosts whose counts the seal of the window must wait for. It returns none
// after the deadline. Before it, it also forgets the hosts that disappeared before the window.
func (r *Reporter) missing(now time.Time, window usage.Window) []winch.HostID {
	if !now.Before(r.sealDeadline(window)) {
		return nil
	}
	return r.lastSeen.missing(window.Start(), r.ledger.complete[window])
}

// logWait logs once per window that its seal is delayed.
func (r *Reporter) logWait(now time.Time, window usage.Window, missing []winch.HostID) {
	if r.loggedWait == window {
		return
	}
	r.loggedWait = window
	r.options.Logger.Info("window not sealed yet: usage counts are missing", "Event", EventSealDelayed, "Shard", r.options.Shard,
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
	r.options.Logger.Info("usage window sealed", "Event", EventWindowSealed, "Shard", r.options.Shard, "Window", seal.Window.Start(),
		"Requests", total.Requests, "Tokens", total.InputTokens+total.OutputTokens, "AdjustedTokens", late.InputTokens+late.OutputTokens,
		"Seal", seal.Write, "Previous", seal.Previous, "Digest", usage.DigestOf(seal.Figures).String())
}
