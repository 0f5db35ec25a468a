package caller

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/internal/ledger"
)

// TestGuardsAreNeeded takes one guard out at a time and sees the promise broken.
func TestGuardsAreNeeded(t *testing.T) {
	t.Run("without the ledger a call that broke off is executed twice", func(t *testing.T) {
		desk := newService(t)
		desk.cut.Store(true)
		b := newBench(t, func(o *Options) { o.unguarded.resends = true }, desk.endpoint("s1"), desk.endpoint("s2"))
		b.send(t, "POST", "/services/booking/holds", `{}`)
		assertExecuted(t, desk, 2)
	})
	t.Run("without the second look a queued request of a withdrawn key runs", func(t *testing.T) {
		engine := newEngine(t, 3)
		b := newBench(t, func(o *Options) { o.unguarded.keys = true }, engine.endpoint("e1"))
		b.dispatcher.granted = b.configurations.withdraw
		assertWhole(t, b.send(t, "POST", "/v1/chat/completions", chatBody).body, 3)
	})
	t.Run("with it the request does not run", func(t *testing.T) {
		engine := newEngine(t, 3)
		b := newBench(t, nil, engine.endpoint("e1"))
		b.dispatcher.granted = b.configurations.withdraw
		assertFault(t, b.send(t, "POST", "/v1/chat/completions", chatBody), 401, "key_withdrawn", ledger.NotRun)
		assert.Equal(t, len(engine.calls()), 0)
	})
	t.Run("without resuming a stream that moves has tokens twice", func(t *testing.T) {
		bad, good := newEngine(t, 12), newEngine(t, 12)
		bad.before = breakAt(5)
		b := newBench(t, func(o *Options) { o.unguarded.resume = true }, bad.endpoint("e1"), good.endpoint("e2"))
		got := readStream(t, b.send(t, "POST", "/v1/chat/completions", chatBody).body)
		assert.Equal(t, got.text, words(5)+words(12))
	})
}

func TestWholeAnswerMayTakeLong(t *testing.T) {
	slow := newEngine(t, 3)
	slow.before = func(_ http.ResponseWriter, _ *http.Request, _ int) { time.Sleep(100 * time.Millisecond) }
	b := newBench(t, func(o *Options) { o.Limits.Stall = 20 * time.Millisecond }, slow.endpoint("e1"))
	assert.Equal(t, b.send(t, "POST", "/v1/chat/completions", `{"model":"small","n":1}`).StatusCode, 200)
	until(t, "slot is released", func() bool { return len(b.dispatcher.slot(0).outcomes()) == 1 })
	assert.DeepEqual(t, b.dispatcher.slot(0).outcomes(), []winch.Outcome{winch.OutcomeDone})
}
