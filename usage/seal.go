package usage

import (
	"cmp"
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
)

// Figure holds the counts that a report states for one organisation.
type Figure struct {
	Organisation winch.OrganisationID
	Counts       Counts
	// Adjustment is set when the counts belong to earlier windows that were already sealed.
	Adjustment bool
}

// NextToSeal returns the window to seal now and whether there is one. A window is closed once
// grace has passed after its end. The result is the earliest closed window after last, the
// window sealed most recently, that has unaccounted counts. If there is none but windows up to
// last have unaccounted counts, it is the newest closed window, whose seal then includes them
// as adjustments.
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

// Seal returns the figures for the window, sorted by organisation with adjustments last, and
// the increments: the counts that these figures cover beyond the accounted ones.
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
