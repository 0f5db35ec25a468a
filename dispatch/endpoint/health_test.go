package endpoint

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

func TestEjection(t *testing.T) {
	t.Run("ejects an unreachable endpoint and probes it with one request", func(t *testing.T) {
		b := newTestCore(twoClasses(1, 4))
		b.release(b.now, b.request(interactive, 1), winch.OutcomeUnsent)
		assert.Equal(t, b.request(interactive, 2).state, requestQueued)
		assert.Equal(t, b.request(interactive, 3).state, requestQueued)
		b.advance(1100 * time.Millisecond)
		assert.Equal(t, b.onlyEndpoint().running, 1)
		b.release(b.now, b.onlyEndpoint().tier(1).newest, winch.OutcomeDone)
		assert.Equal(t, b.onlyEndpoint().running, 1)
		assert.Equal(t, b.count(effectRestored), 1)
	})
	t.Run("doubles the back-off", func(t *testing.T) {
		b := newTestCore(twoClasses(1, 4))
		for _, want := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
			b.release(b.now, b.request(interactive, 1), winch.OutcomeUnsent)
			assert.Equal(t, b.onlyEndpoint().health.backoff, want*time.Second)
			b.now = b.now.Add(b.onlyEndpoint().health.backoff)
		}
	})
	t.Run("moves streams off a silent endpoint", func(t *testing.T) {
		b := newTestCore(twoClasses(1, 4))
		r := b.request(interactive, 1)
		r.progress.first.Store(b.now.UnixNano())
		b.advance(1900 * time.Millisecond)
		assert.Equal(t, b.count(effectEjected), 0)
		b.advance(300 * time.Millisecond)
		assert.Equal(t, b.count(effectEjected), 1)
		assert.Equal(t, b.count(effectMoved), 1)
	})
}

func TestSilence(t *testing.T) {
	t.Run("does not eject an endpoint after a pause of the host", func(t *testing.T) {
		b := newTestCore(twoClasses(1, 4))
		b.advance(time.Second)
		b.request(interactive, 1).progress.first.Store(b.now.UnixNano())
		b.now = b.now.Add(10 * time.Second)
		b.advance(1500 * time.Millisecond)
		assert.Equal(t, b.count(effectEjected), 0)
		b.advance(time.Second)
		assert.Equal(t, b.count(effectEjected), 1)
	})
	t.Run("allows a longer silence for answers that are not streamed", func(t *testing.T) {
		b := newTestCore(twoClasses(1, 4))
		b.lanes[laneKey{class: background, group: group{model: chat}}].holdTime.add(10, 1)
		b.request(background, 1)
		b.advance(29 * time.Second)
		assert.Equal(t, b.count(effectEjected), 0)
		b.advance(2 * time.Second)
		assert.Equal(t, b.count(effectEjected), 1)
		assert.Equal(t, b.count(effectMoved), 0)
	})
	t.Run("samples no time to first token from an answer that arrived as a whole", func(t *testing.T) {
		b := newTestCore(twoClasses(1, 4))
		r := b.request(interactive, 1)
		b.now = b.now.Add(8 * time.Second)
		r.progress.first.Store(b.now.UnixNano())
		r.progress.last.Store(b.now.UnixNano())
		r.progress.tokens.Store(100)
		b.release(b.now, r, winch.OutcomeDone)
		assert.Equal(t, r.lane.firstToken.samples, 0)
		assert.Equal(t, b.onlyEndpoint().limit.firstToken.samples, 0)
	})
}

func TestProbeEarly(t *testing.T) {
	b := newTestCore(twoClasses(1, 4))
	for range 3 {
		b.release(b.now, b.request(interactive, 1), winch.OutcomeUnsent)
		b.now = b.now.Add(b.onlyEndpoint().health.backoff)
	}
	b.release(b.now, b.request(interactive, 1), winch.OutcomeUnsent)
	assert.Equal(t, b.request(interactive, 2).state, requestQueued)
	report := func(at time.Time) {
		b.observeLoad(b.now, winch.LoadReport{Endpoint: b.onlyEndpoint().spec.ID, AsOf: at, State: winch.EndpointReady})
	}
	t.Run("a report from before the ejection is ignored", func(t *testing.T) {
		report(b.now.Add(-time.Second))
		assert.Equal(t, b.onlyEndpoint().running, 0)
	})
	t.Run("a report from after the ejection allows one probe request", func(t *testing.T) {
		b.now = b.now.Add(time.Second)
		report(b.now)
		assert.Equal(t, b.onlyEndpoint().running, 1)
	})
}
