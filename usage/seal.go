package usage

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutuswinch/winch"
)

// Figure holds the counts that a report states for one organisation.
type Figure struct {
	Organisation winch.OrganisationID
	Counts       Counts
	// Adjustment is set when the counts belong to earlier windows that were already sealed.
	Adjustment bool
}

// NextToSeal returns the window to seal now, or false if there is none. The window that was
// sealed most recently is last; accounted holds the counts that earlier seals cover. Only
// closed windows are sealed: those that ended at least grace ago. The result is the earliest
// closed window after last that has unaccounted counts. If there is no such window, but last
// or an earlier window received counts after its seal, the result is the newest closed window;
// its seal reports the late counts as adjustments.
func NextToSeal(now time.Time, length, grace time.Duration, last Window, totals, accounted Totals) (Window, bool) {
	newestClosed := WindowOf(now.Add(-grace), length) - Window(length/time.Second)
	if newestClosed <= last {
		return 0, false
	}
	earliest, found, hasLate := newestClosed, false, false
	for source, organisations := range totals {
		if source.Window > newestClosed || !hasUnaccounted(organisations, accounted[source]) {
			continue
		}
		if source.Window <= last {
			hasLate = true
			continue
		}
		earliest, found = min(earliest, source.Window), true
	}
	return earliest, found || hasLate
}

func hasUnaccounted(counted, accounted map[winch.OrganisationID]Counts) bool {
	for organisation, counts := range counted {
		if !counts.ExcessOver(accounted[organisation]).IsZero() {
			return true
		}
	}
	return false
}

// Seal returns the figures of the seal and its increments. The figures of the window itself
// come first, then the adjustments, each sorted by organisation. The increments are the same
// counts split by source; the caller adds them to accounted once the seal is stored.
func Seal(window Window, totals, accounted Totals) ([]Figure, Totals) {
	increments := Totals{}
	onTime := map[winch.OrganisationID]Counts{}
	late := map[winch.OrganisationID]Counts{}
	for source, organisations := range totals {
		if source.Window > window {
			continue
		}
		sums := onTime
		if source.Window < window {
			sums = late
		}
		for organisation, counts := range organisations {
			increment := counts.ExcessOver(accounted[source][organisation])
			if increment.IsZero() {
				continue
			}
			increments.Add(source, organisation, increment)
			sums[organisation] = sums[organisation].Plus(increment)
		}
	}
	return append(sortedFigures(onTime, false), sortedFigures(late, true)...), increments
}

func sortedFigures(sums map[winch.OrganisationID]Counts, adjustment bool) []Figure {
	figures := make([]Figure, 0, len(sums))
	for organisation, counts := range sums {
		figures = append(figures, Figure{Organisation: organisation, Counts: counts, Adjustment: adjustment})
	}
	slices.SortFunc(figures, func(a, b Figure) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return figures
}

// Digest identifies the figures of a report in logs.
type Digest uint64

// String returns the digest in hexadecimal.
func (d Digest) String() string { return fmt.Sprintf("%016x", uint64(d)) }

// DigestOf returns the digest of the figures, which depends on their order.
func DigestOf(figures []Figure) Digest {
	hash := xxhash.New()
	for _, figure := range figures {
		fmt.Fprintf(hash, "%q %d %d %d %t\n", figure.Organisation, figure.Counts.Requests, figure.Counts.InputTokens, figure.Counts.OutputTokens, figure.Adjustment)
	}
	return Digest(hash.Sum64())
}
