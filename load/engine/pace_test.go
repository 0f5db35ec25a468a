package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

const testPeriod = 500 * time.Millisecond

// simulateReads simulates 60 s of rounds in which each read is answered at once. It returns
// the reads per second and the longest time between two reads of an endpoint.
func simulateReads(t *testing.T, endpoints int) (loadReads, cacheReads float64, longestGap time.Duration) {
	t.Helper()
	const seconds = 60
	start, jitter := time.Unix(1000, 0), 20*time.Millisecond
	intervals, targets, last := intervalsFor(testPeriod, endpoints), make([]target, endpoints), make([]time.Time, endpoints)
	for i := range targets {
		targets[i].endpoint.Kind = winch.EndpointEngine
	}
	for now := start; now.Before(start.Add(seconds * time.Second)); now = now.Add(testPeriod) {
		jitter = -jitter
		now := now.Add(jitter)
		for i := range targets {
			next, isDue := targets[i].startRead(now, intervals, i, endpoints)
			if !last[i].IsZero() {
				longestGap = max(longestGap, now.Sub(last[i]))
			}
			if !isDue {
				continue
			}
			targets[i].busy, last[i] = false, now
			loadReads++
			if next.cache {
				cacheReads++
			}
		}
	}
	return loadReads / seconds, cacheReads / seconds, longestGap
}

func TestPaces(t *testing.T) {
	t.Run("reads a few endpoints in each period", func(t *testing.T) {
		loadReads, cacheReads, longestGap := simulateReads(t, 2)
		assert.Equal(t, loadReads, 4.0)
		assert.Equal(t, cacheReads, 1.0)
		assert.Assert(t, longestGap < 2*testPeriod, "%v", longestGap)
	})
	t.Run("limits the reads of more endpoints", func(t *testing.T) {
		for _, endpoints := range []int{5, 9, 20} {
			loadReads, cacheReads, longestGap := simulateReads(t, endpoints)
			// The first reads of all endpoints are not limited, nor are the second ones, which
			// are spread over less than the simulated 60 s.
			most := loadReadsPerSecond + float64(2*endpoints)/60
			assert.Assert(t, loadReads <= most && loadReads > most/2, "%d endpoints: %v loads", endpoints, loadReads)
			assert.Assert(t, cacheReads <= cacheReadsPerSecond+float64(2*endpoints)/60, "%d endpoints: %v events", endpoints, cacheReads)
			assert.Assert(t, longestGap <= maxLoadInterval+2*testPeriod, "%d endpoints: %v", endpoints, longestGap)
		}
	})
	t.Run("never exceeds the longest interval", func(t *testing.T) {
		_, _, longestGap := simulateReads(t, 200)
		assert.Assert(t, longestGap <= maxLoadInterval+2*testPeriod)
	})
	t.Run("does not read an endpoint that is being read", func(t *testing.T) {
		now, busy := time.Unix(1000, 0), target{busy: true}
		_, isDue := busy.startRead(now, intervalsFor(testPeriod, 1), 0, 1)
		assert.Assert(t, !isDue)
	})
}
