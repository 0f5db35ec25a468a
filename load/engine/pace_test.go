package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

const testPeriod = 500 * time.Millisecond

// countReads steps the endpoints through a minute of rounds, each read answered at once.
func countReads(t *testing.T, endpoints int) (loads, events float64, oldest time.Duration) {
	t.Helper()
	const minute = 60
	start, jitter := time.Unix(1000, 0), 20*time.Millisecond
	paces, targets, last := pacesOf(testPeriod, endpoints), make([]target, endpoints), make([]time.Time, endpoints)
	for i := range targets {
		targets[i].spec.Kind = winch.EndpointEngine
	}
	for now := start; now.Before(start.Add(minute * time.Second)); now = now.Add(testPeriod) {
		jitter = -jitter
		now := now.Add(jitter)
		for i := range targets {
			next, isDue := targets[i].next(now, paces, i, endpoints)
			if !last[i].IsZero() {
				oldest = max(oldest, now.Sub(last[i]))
			}
			if !isDue {
				continue
			}
			targets[i].busy, last[i] = false, now
			loads++
			if next.cache {
				events++
			}
		}
	}
	return loads / minute, events / minute, oldest
}

func TestPaces(t *testing.T) {
	t.Run("reads few endpoints at each period", func(t *testing.T) {
		loads, events, oldest := countReads(t, 2)
		assert.Equal(t, loads, 4.0)
		assert.Equal(t, events, 1.0)
		assert.Assert(t, oldest < 2*testPeriod, "%v", oldest)
	})
	t.Run("stays within the budget with more", func(t *testing.T) {
		for _, endpoints := range []int{5, 9, 20} {
			loads, events, oldest := countReads(t, endpoints)
			// The first reads come on top.
			most := loadsPerSecond + float64(2*endpoints)/60
			assert.Assert(t, loads <= most && loads > most/2, "%d endpoints: %v loads", endpoints, loads)
			assert.Assert(t, events <= eventsPerSecond+float64(2*endpoints)/60, "%d endpoints: %v events", endpoints, events)
			assert.Assert(t, oldest <= slowestRead+2*testPeriod, "%d endpoints: %v", endpoints, oldest)
		}
	})
	t.Run("never reads so seldom that reports are of no use", func(t *testing.T) {
		_, _, oldest := countReads(t, 200)
		assert.Assert(t, oldest <= slowestRead+2*testPeriod)
	})
	t.Run("does not read an endpoint that is being read", func(t *testing.T) {
		now, busy := time.Unix(1000, 0), target{busy: true}
		_, isDue := busy.next(now, pacesOf(testPeriod, 1), 0, 1)
		assert.Assert(t, !isDue)
	})
}
