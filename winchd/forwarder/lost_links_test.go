package forwarder

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch/platform/platformtest"
)

// startDraftSystem starts hosts, and engines of one version.
func startDraftSystem(t *testing.T, hosts, engines int) ([]*hostProcess, *fleet) {
	t.Helper()
	p, started := newPlatform(t), []*hostProcess{}
	p.store.Set(platformtest.ConfigurationKey, []byte(platformtest.DraftConfiguration))
	f := newFleet(t, p.store, slices.Repeat([]string{"v1"}, engines)...)
	f.idleTime = "20"
	for i := range hosts {
		started = append(started, p.newHost(fmt.Sprintf("h-%d", i)))
	}
	for _, h := range started {
		waitFor(t, startLimit, "the host to serve", func() bool { return h.draft(t.Context(), "aa", "bb") == http.StatusOK })
	}
	return started, f
}

func TestLostLinksToEnginesAreNotTakenForCrashes(t *testing.T) {
	t.Parallel()
	const (
		before  = 2 * time.Second
		outage  = 2 * time.Second
		settle  = 2 * time.Second
		checked = 4 * time.Second
	)
	hosts, f := startDraftSystem(t, 3, 6)
	healed := make(chan struct{})
	go func() {
		<-time.After(before)
		for _, e := range f.engines {
			e.loseLink()
		}
		<-time.After(outage)
		for _, e := range f.engines {
			e.restoreLink()
		}
		close(healed)
	}()
	group, early, after := sync.WaitGroup{}, &soundRequests{}, &soundRequests{}
	// Each host keeps connections to each engine.
	for i := range 60 * len(hosts) {
		group.Go(func() { early.send(t.Context(), hosts[i%len(hosts)], "aa", "bb") })
	}
	pace := time.NewTicker(20 * time.Millisecond)
	defer pace.Stop()
	counts, healedAt := early, time.Time{}
	for i := 0; healedAt.IsZero() || time.Since(healedAt) < settle+checked; i++ {
		select {
		case <-healed:
			healed, healedAt = nil, time.Now()
		default:
		}
		if !healedAt.IsZero() && time.Since(healedAt) > settle {
			counts = after
		}
		current, h := counts, hosts[i%len(hosts)]
		group.Go(func() { current.send(t.Context(), h, "aa", []string{"bb", "cc"}[i%2]) })
		<-pace.C
	}
	group.Wait()
	t.Logf("before and while links are lost %d of %d served, later %d of %d", early.served.Load(), early.sent.Load(), after.served.Load(), after.sent.Load())
	assert.Assert(t, 100*after.served.Load() >= 98*after.sent.Load(), "%d of %d requests served after the links were back", after.served.Load(), after.sent.Load())
}
