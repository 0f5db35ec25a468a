package caller

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/internal/runstate"
)

// TestGuardsAreNeeded disables one guard at a time and checks that its guarantee breaks. For
// the second key check it also checks that the guarantee holds with the guard.
func TestGuardsAreNeeded(t *testing.T) {
	t.Run("without at-most-once a call whose connection broke is executed twice", func(t *testing.T) {
		backend := newFakeService(t)
		backend.breakConnection.Store(true)
		server := newTestServer(t, func(o *Options) { o.guardSwitches.noAtMostOnce = true }, backend.endpoint("s1"), backend.endpoint("s2"))
		server.send(t, "POST", "/services/booking/holds", `{}`)
		assertExecuted(t, backend, 2)
	})
	t.Run("without the second key check a queued request of a withdrawn key runs", func(t *testing.T) {
		backend := newFakeEngine(t, 3)
		server := newTestServer(t, func(o *Options) { o.guardSwitches.noKeyChecks = true }, backend.endpoint("e1"))
		server.dispatcher.onGrant = server.configurations.withdrawKeys
		assertCompleteStream(t, server.send(t, "POST", "/v1/chat/completions", chatBody).body, 3)
	})
	t.Run("with the second key check the request does not run", func(t *testing.T) {
		backend := newFakeEngine(t, 3)
		server := newTestServer(t, nil, backend.endpoint("e1"))
		server.dispatcher.onGrant = server.configurations.withdrawKeys
		assertError(t, server.send(t, "POST", "/v1/chat/completions", chatBody), 401, "key_withdrawn", runstate.NotRun)
		assert.Equal(t, len(backend.calls()), 0)
	})
	t.Run("without resume a stream that moves repeats tokens", func(t *testing.T) {
		bad, good := newFakeEngine(t, 12), newFakeEngine(t, 12)
		bad.beforeWord = breakBeforeWord(5)
		server := newTestServer(t, func(o *Options) { o.guardSwitches.noResume = true }, bad.endpoint("e1"), good.endpoint("e2"))
		got := readStream(t, server.send(t, "POST", "/v1/chat/completions", chatBody).body)
		assert.Equal(t, got.text, outputWords(5)+outputWords(12))
	})
}

// TestSlowNonStreamingResponse checks that a non-streaming response, which shows no progress,
// does not count as stalled. The field n prevents its collection from a stream.
func TestSlowNonStreamingResponse(t *testing.T) {
	backend := newFakeEngine(t, 3)
	backend.beforeWord = func(_ http.ResponseWriter, _ *http.Request, _ int) { time.Sleep(100 * time.Millisecond) }
	server := newTestServer(t, func(o *Options) { o.Limits.DefaultStallTimeout = 20 * time.Millisecond }, backend.endpoint("e1"))
	assert.Equal(t, server.send(t, "POST", "/v1/chat/completions", `{"model":"small","n":1}`).StatusCode, 200)
	waitUntil(t, "slot is released", func() bool { return len(server.dispatcher.slot(0).outcomes()) == 1 })
	assert.DeepEqual(t, server.dispatcher.slot(0).outcomes(), []winch.Outcome{winch.OutcomeDone})
}
