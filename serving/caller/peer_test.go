package caller

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/internal/ledger"
)

func (b *bench) peerEndpoint(id winch.EndpointID) winch.Endpoint {
	return winch.Endpoint{ID: id, Kind: winch.EndpointPeer, Address: strings.TrimPrefix(b.front.URL, "http://")}
}

func TestHandOver(t *testing.T) {
	t.Run("stream that breaks at home goes on in the other data centre", func(t *testing.T) {
		bad, good := newEngine(t, 12), newEngine(t, 12)
		bad.before = breakAt(5)
		away := newBench(t, nil, good.endpoint("e2"))
		home := newBench(t, nil, bad.endpoint("e1"), away.peerEndpoint("p"))
		assertWhole(t, home.send(t, "POST", "/v1/chat/completions", chatBody, "X-Request-Class", "stall").body, 12)
		assert.Assert(t, away.dispatcher.works[0].Local)
		assert.Equal(t, away.dispatcher.works[0].Class, winch.ClassID("stall"))
		assert.Equal(t, away.dispatcher.works[0].OutputDone, winch.Tokens(5))
		until(t, "each side counts its tokens, and one the request", func() bool {
			here, there := home.usage.sum(), away.usage.sum()
			return here.OutputTokens == 5 && there.OutputTokens == 7 && here.Requests+there.Requests == 1
		})
	})
	t.Run("refusal there is a refusal here", func(t *testing.T) {
		away := newBench(t, nil)
		home := newBench(t, nil, away.peerEndpoint("p"))
		assertFault(t, home.send(t, "POST", "/services/booking/holds", `{}`), 503, "no_endpoint", ledger.NotRun)
		assert.DeepEqual(t, home.dispatcher.slot(0).outcomes(), []winch.Outcome{winch.OutcomeRejected})
	})
	t.Run("unknown outcome there is one here", func(t *testing.T) {
		desk := newService(t)
		desk.cut.Store(true)
		away := newBench(t, nil, desk.endpoint("s1"))
		home := newBench(t, nil, away.peerEndpoint("p1"), away.peerEndpoint("p2"))
		assertFault(t, home.send(t, "POST", "/services/booking/holds", `{}`), 502, "outcome_unknown", ledger.Unknown)
		assertExecuted(t, desk, 1)
	})
	t.Run("service call is executed there", func(t *testing.T) {
		desk := newService(t)
		home := newBench(t, nil, newBench(t, nil, desk.endpoint("s1")).peerEndpoint("p"))
		assert.Equal(t, home.send(t, "POST", "/services/booking/holds/9?x=1", `{}`).body, desk.body)
		assert.Equal(t, *desk.path.Load(), "/holds/9?x=1")
	})
	t.Run("callers' keys open nothing there", func(t *testing.T) {
		away := newBench(t, nil, newEngine(t, 3).endpoint("e"))
		got := away.send(t, "POST", "/peer/serve/v1/chat/completions", chatBody, "X-Organisation", "probababa")
		assert.Equal(t, got.StatusCode, 401)
	})
}
