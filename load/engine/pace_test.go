package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

const testPeriod = 500 * time.Millisecond

// simulateReads simulates 60 s of rounds in which each read is answered at once. It returns
// the reads per second and the longest time that an endpoint had not been read.
func simulateReads(t *testing.T, endpoints int) (loadReads, cacheReads float64, oldest time.Duration) {
	t.Helper()
	const seconds = 60
	start, jitter := time.Unix(1000, 0), 20*time.Millisecond
	intervals, targets, last := intervalsFor(testPeriod, endpoints), make([]target, endpoints), make([]time.Time, endpoints)
	for i := range targets {
		targets[i].spec.Kind = winch.EndpointEngine
	}
	for now := start; now.Before(start.Add(seconds * time.Second)); now = now.Add(testPeriod) {
		jitter = -jitter
		now := now.Add(jitter)
		for i := range targets {
			next, isDue := targets[i].nextRead(now, intervals, i, endpoints)
			if !last[i].IsZero() {
				oldest = max(oldest, now.Sub(last[i]))
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
	return loadReads / seconds, cacheReads / seconds, oldest
}

func TestPaces(t *testing.T) {
	t.Run("reads a few endpoints in each period", func(t *testing.T) {
		loadReads, cacheReads, oldest := simulateReads(t, 2)
		assert.Equal(t, loadReads, 4.0)
		assert.Equal(t, cacheReads, 1.0)
		assert.Assert(t, oldest < 2*testPeriod, "%v", oldest)
	})
	t.Run("limits the reads of more endpoints", func(t *testing.T) {
		for _, endpoints := range []int{5, 9, 20} {
			loadReads, cacheReads, oldest := simulateReads(t, endpoints)
			// The first reads of all endpoints are not limited.
			most := loadReadsPerSecond + float64(2*endpoints)/60
			assert.Assert(t, loadReads <= most && loadReads > most/2, "%d endpoints: %v loads", endpoints, loadReads)
			assert.Assert(t, cacheReads <= cacheReadsPerSecond+float64(2*endpoints)/60, "%d endpoints: %v events", endpoints, cacheReads)
			assert.Assert(t, oldest <= maxLoadInterval+2*testPeriod, "%d endpoints: %v", endpoints, oldest)
		}
	})
	t.Run("never exceeds the longest interval", func(t *testing.T) {
		_, _, oldest := simulateReads(t, 200)
		assert.Assert(t, oldest <= maxLoadInterval+2*testPeriod)
	})
	t.Run("does not read an endpoint that is being read", func(t *testing.T) {
		now, busy := time.Unix(1000, 0), target{busy: true}
		_, isDue := busy.nextRead(now, intervalsFor(testPeriod, 1), 0, 1)
		assert.Assert(t, !isDue)
	})
}
