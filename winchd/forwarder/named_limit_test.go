package forwarder

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sendSteadily sends requests to the hosts in turn until ctx is done, and returns once all have ended.
func sendSteadily(ctx context.Context, hosts []*hostProcess, pause time.Duration, counts *soundRequests) {
	group := sync.WaitGroup{}
	pace := time.NewTicker(pause)
	defer pace.Stop()
	for i := 0; ctx.Err() == nil; i++ {
		h := hosts[i%len(hosts)]
		// Prompts without a part in common go to all engines.
		part := strconv.FormatInt(int64(i)+1, 16)
		group.Go(func() { counts.send(context.WithoutCancel(ctx), h, part) })
		<-pace.C
	}
	group.Wait()
}

// mostArrivals returns the largest number of requests that the engine got in any window between the times.
func (e *versionedEngine) mostArrivals(from, to time.Time, window time.Duration) int {
	most := 0
	for at := from; !at.Add(window).After(to); at = at.Add(50 * time.Millisecond) {
		most = max(most, e.arrivedBetween(at, at.Add(window)))
	}
	return most
}

func TestEngineThatNamesALimitGetsNoMoreFromAllHostsTogether(t *testing.T) {
	t.Parallel()
	const (
		// The platform counts in windows from this time after a limit was first named.
		stable = 3 * time.Second
		window = 4 * time.Second
		limits = 14 * time.Second
		pause  = 15 * time.Millisecond
	)
	hosts, f := startDraftSystem(t, 5, 6)
	named := map[*versionedEngine]float64{f.engines[0]: 1, f.engines[1]: 1.4, f.engines[2]: 5}
	ctx, cancel := context.WithCancel(t.Context())
	counts, done := &soundRequests{}, make(chan struct{})
	go func() {
		defer close(done)
		sendSteadily(ctx, hosts, pause, counts)
	}()
	<-time.After(2 * time.Second)
	f.engines[0].nameLimit("1")
	f.engines[1].nameLimit("1.4")
	f.engines[2].nameLimit("5")
	from := time.Now().Add(stable)
	<-time.After(limits)
	to := time.Now()
	for e := range named {
		e.nameLimit("")
	}
	<-time.After(window)
	freed := time.Now()
	<-time.After(window)
	cancel()
	<-done
	for e, limit := range named {
		most, allowed := e.mostArrivals(from, to, window), int(1.5*limit*window.Seconds())+5
		total := e.arrivedBetween(from, to)
		later := e.arrivedBetween(freed, freed.Add(window))
		t.Logf("limit %g: at most %d in %s, %d allowed; %d in %s; %d in %s after it", limit, most, window, allowed, total, to.Sub(from), later, window)
		assert.Check(t, most <= allowed, "limit %g: %d requests in %s, %d allowed", limit, most, window, allowed)
		assert.Check(t, float64(total) >= 0.5*limit*to.Sub(from).Seconds(), "limit %g: an engine in need still takes requests", limit)
		assert.Check(t, later > allowed, "limit %g: %d requests in %s after the limit", limit, later, window)
	}
	assert.Assert(t, 100*counts.served.Load() >= 98*counts.sent.Load(), "%d of %d requests served", counts.served.Load(), counts.sent.Load())
}
