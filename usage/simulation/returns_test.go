package simulation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// returns are the ways in which the store comes back from an older copy, with revisions that it gives out again. Hosts live on, fail and
// are paused, or begin anew one after the other.
var returns = []variant{
	{name: "the last 3 s, hosts fail", faults: faults{forgets: 3 * time.Second}},
	{name: "the last 12 s, hosts fail", faults: faults{forgets: 12 * time.Second}},
	{name: "the last 3 s, hosts restart in series", faults: faults{forgets: 3 * time.Second, restartsInSeries: true, reversedEvery: takeTurns}},
	{name: "the last 12 s, hosts restart in series", faults: faults{forgets: 12 * time.Second, restartsInSeries: true, reversedEvery: takeTurns}},
	{name: "all, hosts restart in series", faults: faults{forgetsAll: true, restartsInSeries: true, reversedEvery: takeTurns}},
}

// returnSeeds is the number of seeds that are played of each of them. If the store does not name its era, what hosts know of it is lost once
// all of them have ended before another one has heard of it. So it is in 13 of the first 1,200 seeds with hosts that restart in series, and
// in none of these.
const returnSeeds = 40

// TestTermsWhenTheStoreComesBack guards against two holders, numbers that fall and, if the store names its era, windows that are reported
// with different counts. Without the era it must find falling numbers.
func TestTermsWhenTheStoreComesBack(t *testing.T) {
	for _, v := range returns {
		v.faults.revisionGoesBack = true
		t.Run(v.name, func(t *testing.T) {
			assertReturns(t, v.faults, fromEnv(t, firstSeedEnv, 1), fromEnv(t, seedsEnv, returnSeeds),
				lowerNumber, sharedNumber, backAndForth, differentCounts)
		})
		if v.faults.restartsInSeries {
			t.Run(v.name+", the era is not named", func(t *testing.T) {
				v.faults.eraUntold = true
				assertReturns(t, v.faults, 1, returnSeeds, lowerNumber, sharedNumber, backAndForth)
			})
		}
		guard := v
		guard.name += ", the era is ignored"
		guard.faults.ignoresEra, guard.want = true, lowerNumber
		playVariants(t, []variant{guard})
	}
}

// assertReturns plays the seeds and asserts that the receiver found none of the unwanted.
func assertReturns(t *testing.T, selected faults, first, count int, unwanted ...finding) {
	t.Helper()
	sum := playSeeds(t, first, count, selected)
	t.Logf("%d seeds: %d calls, %d windows, %d terms; found %v", sum.seeds, sum.calls, sum.reports, sum.terms, sum.found)
	for _, what := range unwanted {
		assert.Equal(t, sum.found[what], 0, "%s", sum.first[what])
	}
}
