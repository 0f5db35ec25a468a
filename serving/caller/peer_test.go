package caller

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/internal/runstate"
	"github.com/arbutuswinch/winch/serving/peer"
)

func (server *testServer) peerEndpoint(id winch.EndpointID) winch.Endpoint {
	return winch.Endpoint{ID: id, Kind: winch.EndpointPeer, Address: strings.TrimPrefix(server.httpServer.URL, "http://")}
}

// withSoftware returns the endpoint with a software version.
func withSoftware(endpoint winch.Endpoint, software winch.SoftwareVersion) winch.Endpoint {
	endpoint.Software = software
	return endpoint
}

func TestResponseGoesOnAtTheSoftwareVersionThatBeganIt(t *testing.T) {
	t.Run("at an endpoint of this data centre", func(t *testing.T) {
		bad, good := newFakeEngine(t, 12), newFakeEngine(t, 12)
		bad.beforeWord = breakBeforeWord(5)
		server := newTestServer(t, nil, withSoftware(bad.endpoint("e1"), "v1"), withSoftware(good.endpoint("e2"), "v1"))
		server.send(t, "POST", "/v1/chat/completions", chatBody, "X-Request-Class", "stall")
		assert.Equal(t, server.dispatcher.works[0].Software, winch.SoftwareVersion(""))
		assert.Equal(t, server.dispatcher.works[1].Software, winch.SoftwareVersion("v1"))
	})
	t.Run("not by an attempt that broke before its first event", func(t *testing.T) {
		unreachable := winch.Endpoint{ID: "e1", Kind: winch.EndpointEngine, Address: "127.0.0.1:1", Software: "v1"}
		server := newTestServer(t, nil, unreachable, newFakeEngine(t, 12).endpoint("e2"))
		server.send(t, "POST", "/v1/chat/completions", chatBody, "X-Request-Class", "stall")
		assert.Equal(t, server.dispatcher.works[1].Software, winch.SoftwareVersion(""))
	})
	t.Run("in another data centre", func(t *testing.T) {
		bad, good := newFakeEngine(t, 12), newFakeEngine(t, 12)
		bad.beforeWord = breakBeforeWord(5)
		remote := newTestServer(t, nil, good.endpoint("e2"))
		local := newTestServer(t, nil, withSoftware(bad.endpoint("e1"), "v1"), remote.peerEndpoint("p"))
		local.send(t, "POST", "/v1/chat/completions", chatBody, "X-Request-Class", "stall")
		assert.Equal(t, remote.dispatcher.works[0].Software, winch.SoftwareVersion("v1"))
	})
	t.Run("after another data centre began it", func(t *testing.T) {
		bad, good := newFakeEngine(t, 12), newFakeEngine(t, 12)
		bad.beforeWord = breakBeforeWord(5)
		remote := newTestServer(t, nil, withSoftware(bad.endpoint("e1"), "v3"))
		local := newTestServer(t, nil, remote.peerEndpoint("p"), good.endpoint("e2"))
		response := local.send(t, "POST", "/v1/chat/completions", chatBody, "X-Request-Class", "stall")
		assert.Equal(t, response.Header.Get(peer.SoftwareHeader), "", "callers are not told")
		works := local.dispatcher.works
		assert.Equal(t, works[len(works)-1].Software, winch.SoftwareVersion("v3"))
	})
}

func TestServingThroughPeer(t *testing.T) {
	t.Run("stream that breaks locally is resumed in the other data centre", func(t *testing.T) {
		bad, good := newFakeEngine(t, 12), newFakeEngine(t, 12)
		bad.beforeWord = breakBeforeWord(5)
		remote := newTestServer(t, nil, good.endpoint("e2"))
		local := newTestServer(t, nil, bad.endpoint("e1"), remote.peerEndpoint("p"))
		assertCompleteStream(t, local.send(t, "POST", "/v1/chat/completions", chatBody, "X-Request-Class", "stall").body, 12)
		assert.Assert(t, remote.dispatcher.works[0].LocalOnly)
		assert.Equal(t, remote.dispatcher.works[0].Class, winch.ClassID("stall"))
		assert.Equal(t, remote.dispatcher.works[0].OutputDone, winch.Tokens(5))
		waitUntil(t, "each host records its tokens, and one of them the request", func() bool {
			localUsage, remoteUsage := local.usage.sum(), remote.usage.sum()
			return localUsage.OutputTokens == 5 && remoteUsage.OutputTokens == 7 && localUsage.Requests+remoteUsage.Requests == 1
		})
	})
	t.Run("refusal of the peer is passed on", func(t *testing.T) {
		remote := newTestServer(t, nil)
		local := newTestServer(t, nil, remote.peerEndpoint("p"))
		assertError(t, local.send(t, "POST", "/services/booking/holds", `{}`), 503, "no_endpoint", runstate.NotRun)
		assert.DeepEqual(t, local.dispatcher.slot(0).outcomes(), []winch.Outcome{winch.OutcomeRejected})
	})
	t.Run("unknown outcome at the peer is passed on", func(t *testing.T) {
		backend := newFakeService(t)
		backend.breakConnection.Store(true)
		remote := newTestServer(t, nil, backend.endpoint("s1"))
		local := newTestServer(t, nil, remote.peerEndpoint("p1"), remote.peerEndpoint("p2"))
		assertError(t, local.send(t, "POST", "/services/booking/holds", `{}`), 502, "outcome_unknown", runstate.Unknown)
		assertExecuted(t, backend, 1)
	})
	t.Run("service call is executed through the peer", func(t *testing.T) {
		backend := newFakeService(t)
		local := newTestServer(t, nil, newTestServer(t, nil, backend.endpoint("s1")).peerEndpoint("p"))
		assert.Equal(t, local.send(t, "POST", "/services/booking/holds/9?x=1", `{}`).body, backend.body)
		assert.Equal(t, *backend.path.Load(), "/holds/9?x=1")
	})
	t.Run("the peer handler rejects API keys of callers", func(t *testing.T) {
		remote := newTestServer(t, nil, newFakeEngine(t, 3).endpoint("e"))
		got := remote.send(t, "POST", "/peer/serve/v1/chat/completions", chatBody, "X-Organisation", "probababa")
		assert.Equal(t, got.StatusCode, 401)
	})
}
