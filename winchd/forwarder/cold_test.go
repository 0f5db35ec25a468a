package forwarder

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch/platform/platformtest"
)

// coldPerSecond is the rate of a cold engine.
const coldPerSecond = 5

// coldConfiguration is DraftConfiguration with engines that are cold for three seconds after a start.
func coldConfiguration() []byte {
	return []byte(strings.Replace(platformtest.DraftConfiguration, `{"name":"pool",`, `{"name":"pool","cold_start_s":3.0,"cold_per_s":5.0,`, 1))
}

// turnCold writes the engine's entry every 1.2 s until ctx is done, as one that is cold until the given time.
func (e *versionedEngine) turnCold(ctx context.Context, until time.Time) {
	e.mu.Lock()
	id := e.id
	e.mu.Unlock()
	for ctx.Err() == nil {
		e.fleet.store.Change(platformtest.EndpointPrefix+string(id), func(value []byte) []byte {
			entry := map[string]any{}
			if json.Unmarshal(value, &entry) != nil {
				return value
			}
			entry["cold_remaining_ms"] = max(0, time.Until(until).Milliseconds())
			changed, err := json.Marshal(entry)
			if err != nil {
				return value
			}
			return changed
		})
		select {
		case <-ctx.Done():
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// TestColdEnginesGetNoMoreThanTheirRateFromAllHostsTogether lets all engines turn cold under load, and one of them start again. Hosts may
// learn late that an engine has turned cold.
func TestColdEnginesGetNoMoreThanTheirRateFromAllHostsTogether(t *testing.T) {
	t.Parallel()
	const (
		known   = 2500 * time.Millisecond
		coldFor = 10 * time.Second
		pause   = 15 * time.Millisecond
		allowed = coldPerSecond*3/2 + 5
	)
	hosts, f := startDraftSystem(t, 5, 6)
	f.store.Set(platformtest.ConfigurationKey, []byte(strings.Replace(string(coldConfiguration()), `"version":1`, `"version":2`, 1)))
	<-time.After(5 * time.Second)
	ctx, cancel := context.WithCancel(t.Context())
	counts, done := &soundRequests{}, make(chan struct{})
	go func() {
		defer close(done)
		sendSteadily(ctx, hosts, pause, counts)
	}()
	<-time.After(2 * time.Second)
	turned := time.Now()
	for _, e := range f.engines[1:] {
		go e.turnCold(ctx, turned.Add(coldFor))
	}
	f.engines[0].replace("e-9", "v1", 6*time.Second, 0)
	started := time.Now()
	<-time.After(turned.Add(coldFor).Sub(started))
	ended := time.Now()
	<-time.After(6 * time.Second)
	freed, sent, served := time.Now(), counts.sent.Load(), counts.served.Load()
	<-time.After(3 * time.Second)
	cancel()
	<-done
	total := 0
	for i, e := range f.engines {
		from := turned.Add(known)
		if i == 0 {
			from = started
		}
		most, later := e.mostArrivals(from, ended, time.Second), e.arrivedBetween(freed, freed.Add(3*time.Second))
		total += e.arrivedBetween(from, ended)
		t.Logf("engine %d: at most %d a second, %d allowed; %d in 3 s afterwards", i, most, allowed, later)
		assert.Check(t, most <= allowed, "engine %d: %d requests in a second, %d allowed", i, most, allowed)
		assert.Check(t, later > 0, "engine %d: an engine that is warm again gets requests", i)
	}
	assert.Check(t, float64(total) >= 0.5*5*coldPerSecond*ended.Sub(turned.Add(known)).Seconds(), "%d requests in all: cold engines serve along their rate", total)
	sent, served = counts.sent.Load()-sent, counts.served.Load()-served
	assert.Check(t, 100*served >= 98*sent, "%d of %d requests served once the engines are warm", served, sent)
}
