package caller

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/internal/runstate"
)

// breakBeforeWord makes the engine close the connection before the word.
func breakBeforeWord(at int) func(http.ResponseWriter, *http.Request, int) {
	return func(_ http.ResponseWriter, _ *http.Request, word int) {
		if word == at {
			panic(http.ErrAbortHandler)
		}
	}
}

// hangBeforeWord makes the engine hang before the word until the client disconnects.
func hangBeforeWord(at int) func(http.ResponseWriter, *http.Request, int) {
	return func(_ http.ResponseWriter, r *http.Request, word int) {
		if word == at {
			<-r.Context().Done()
		}
	}
}

func TestStreamFailover(t *testing.T) {
	const count = 12
	cases := []struct {
		name       string
		before     func(http.ResponseWriter, *http.Request, int)
		mismatchAt int
		want       winch.Outcome
	}{
		{"the connection breaks before the first token", breakBeforeWord(0), -1, winch.OutcomeFailed},
		{"the connection breaks in the middle", breakBeforeWord(5), -1, winch.OutcomeFailed},
		{"the engine stalls", hangBeforeWord(5), -1, winch.OutcomeFailed},
		{"the engine sends another request's event", nil, 5, winch.OutcomeFailed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bad, good := newFakeEngine(t, count), newFakeEngine(t, count)
			bad.beforeWord, bad.mismatchAt = c.before, c.mismatchAt
			server := newTestServer(t, func(o *Options) { o.Limits.DefaultStallTimeout = 200 * time.Millisecond }, bad.endpoint("e1"), good.endpoint("e2"))
			assertCompleteStream(t, server.send(t, "POST", "/v1/chat/completions", chatBody).body, count)
			assert.DeepEqual(t, server.dispatcher.slot(0).outcomes(), []winch.Outcome{c.want})
			assert.DeepEqual(t, server.dispatcher.slot(1).outcomes(), []winch.Outcome{winch.OutcomeDone})
			want := winch.UsageRecord{Organisation: "probababa", Requests: 1, InputTokens: 7, OutputTokens: count}
			waitUntil(t, "usage is recorded once", func() bool { return server.usage.sum() == want })
		})
	}
	t.Run("the slot is preempted, which uses no retry budget", func(t *testing.T) {
		bad, good := newFakeEngine(t, count), newFakeEngine(t, count)
		bad.beforeWord = hangBeforeWord(5)
		server := newTestServer(t, nil, bad.endpoint("e1"), good.endpoint("e2"))
		server.dispatcher.retryBudget = 0
		go func() {
			pollUntil(func() bool { slot := server.dispatcher.slot(0); return slot != nil && slot.deliveredTokens() == 5 })
			close(server.dispatcher.slot(0).preempted)
		}()
		assertCompleteStream(t, server.send(t, "POST", "/v1/chat/completions", chatBody).body, count)
		assert.DeepEqual(t, server.dispatcher.slot(0).outcomes(), []winch.Outcome{winch.OutcomeCancelled})
		assert.Equal(t, server.dispatcher.works[1].OutputDone, winch.Tokens(5))
		waitUntil(t, "the stream is cancelled at the engine", func() bool { return wasCancelled(bad) })
	})
}

func TestStreamCutAtItsEnd(t *testing.T) {
	cases := []struct {
		name string
		end  string
	}{
		{"the engine cancels the stream", `{"index":0,"delta":{},"finish_reason":"cancelled"}`},
		{"the connection breaks after the finish reason", `{"index":0,"delta":{},"finish_reason":"stop"}`},
		{"the finish reason comes with a token", `{"index":0,"delta":{"content":"x"},"finish_reason":"length"}`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bad, good := newFakeEngine(t, 5), newFakeEngine(t, 12)
			bad.endStream = func(w http.ResponseWriter, id string) { bad.chunk(w, id, c.end) }
			server := newTestServer(t, nil, bad.endpoint("e1"), good.endpoint("e2"))
			got := server.send(t, "POST", "/v1/chat/completions", chatBody)
			assertCompleteStream(t, got.body, 12)
			assert.Equal(t, strings.Count(got.body, `"finish_reason":"`), 1)
			assert.Equal(t, strings.Count(got.body, `"role"`), 1)
		})
	}
}

func (s *fakeSlot) deliveredTokens() winch.Tokens {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.tokens
}

// wasCancelled reports whether the engine received a call to cancel a stream.
func wasCancelled(e *fakeEngine) bool {
	for _, call := range e.calls() {
		if strings.HasSuffix(call.URL.Path, "/cancel") {
			return true
		}
	}
	return false
}

func TestFailoverAfterOutputNeedsNoRetryBudget(t *testing.T) {
	bad, good := newFakeEngine(t, 12), newFakeEngine(t, 12)
	bad.beforeWord = breakBeforeWord(5)
	server := newTestServer(t, nil, bad.endpoint("e1"), good.endpoint("e2"))
	server.dispatcher.retryBudget = 0
	assertCompleteStream(t, server.send(t, "POST", "/v1/chat/completions", chatBody).body, 12)
}

func TestStreamError(t *testing.T) {
	t.Run("after an attempt without output and without retry budget", func(t *testing.T) {
		bad := newFakeEngine(t, 12)
		bad.beforeWord = breakBeforeWord(5)
		// The second attempt resumes at the word before which the engine breaks, so it has no
		// output.
		server := newTestServer(t, nil, bad.endpoint("e1"), bad.endpoint("e2"), bad.endpoint("e3"))
		server.dispatcher.retryBudget = 0
		got := readStream(t, server.send(t, "POST", "/v1/chat/completions", chatBody).body)
		assert.Equal(t, got.text, outputWords(5))
		assert.Equal(t, got.code, "retry_budget")
		assert.Assert(t, !got.done)
		assert.Equal(t, len(server.dispatcher.works), 2)
	})
	t.Run("after output that no engine can resume", func(t *testing.T) {
		bad := newFakeEngine(t, 12)
		bad.beforeWord = breakBeforeWord(5)
		server := newTestServer(t, nil, bad.endpoint("e1"), bad.endpoint("e2"))
		body := strings.Replace(chatBody, `"stream":true`, `"stream":true,"n":2`, 1)
		got := readStream(t, server.send(t, "POST", "/v1/chat/completions", body).body)
		assert.Equal(t, got.code, "stream_broken")
	})
	t.Run("at the deadline", func(t *testing.T) {
		backend := newFakeEngine(t, 12)
		backend.beforeWord = hangBeforeWord(5)
		server := newTestServer(t, nil, backend.endpoint("e1"))
		got := readStream(t, server.send(t, "POST", "/v1/chat/completions", chatBody, "X-Request-Timeout", "100ms").body)
		assert.Equal(t, got.code, "deadline")
		assert.Equal(t, got.text, outputWords(5))
	})
}

// openStream starts a stream and returns the response without reading its body.
func (server *testServer) openStream(ctx context.Context, t *testing.T) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, "POST", server.httpServer.URL+"/v1/chat/completions", strings.NewReader(chatBody))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+testSecret)
	response, err := server.httpServer.Client().Do(request)
	assert.NilError(t, err)
	t.Cleanup(func() { response.Body.Close() })
	return response
}

func readAll(t *testing.T, response *http.Response) string {
	t.Helper()
	out := strings.Builder{}
	_, err := bufio.NewReader(response.Body).WriteTo(&out)
	assert.NilError(t, err)
	return out.String()
}

func TestCallerDisconnects(t *testing.T) {
	backend := newFakeEngine(t, 12)
	backend.beforeWord = hangBeforeWord(5)
	server := newTestServer(t, nil, backend.endpoint("e1"))
	ctx, cancel := context.WithCancel(t.Context())
	server.openStream(ctx, t)
	cancel()
	waitUntil(t, "the stream is cancelled at the engine", func() bool { return wasCancelled(backend) })
	waitUntil(t, "the slot is released", func() bool { return len(server.dispatcher.slot(0).outcomes()) == 1 })
	assert.DeepEqual(t, server.dispatcher.slot(0).outcomes(), []winch.Outcome{winch.OutcomeCancelled})
}

func TestKeyWithdrawn(t *testing.T) {
	t.Run("a running stream ends with an error, and the next request is rejected", func(t *testing.T) {
		backend := newFakeEngine(t, 12)
		backend.beforeWord = hangBeforeWord(5)
		server := newTestServer(t, nil, backend.endpoint("e1"))
		response := server.openStream(t.Context(), t)
		server.configurations.withdrawKeys()
		assert.Equal(t, readStream(t, readAll(t, response)).code, "key_withdrawn")
		assertError(t, server.send(t, "POST", "/v1/chat/completions", chatBody), 401, "invalid_api_key", runstate.NotRun)
	})
	t.Run("a queued request is not run", func(t *testing.T) {
		backend := newFakeEngine(t, 12)
		server := newTestServer(t, nil, backend.endpoint("e1"))
		server.dispatcher.block = true
		go func() {
			pollUntil(func() bool { return server.dispatcher.acquisitions() > 0 })
			server.configurations.withdrawKeys()
		}()
		assertError(t, server.send(t, "POST", "/v1/chat/completions", chatBody), 401, "key_withdrawn", runstate.NotRun)
		assert.Equal(t, len(backend.calls()), 0)
	})
}

func (d *fakeDispatcher) acquisitions() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.works)
}

func TestDrain(t *testing.T) {
	hold := make(chan struct{})
	backend := newFakeEngine(t, 12)
	backend.beforeWord = func(_ http.ResponseWriter, _ *http.Request, word int) {
		if word == 5 {
			<-hold
		}
	}
	server := newTestServer(t, nil, backend.endpoint("e1"))
	response := server.openStream(t.Context(), t)
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(t.Context()) }()
	waitUntil(t, "new requests are refused", func() bool {
		got := server.send(t, "GET", "/v1/models", "")
		return got.StatusCode == 503 && got.Close && strings.Contains(got.body, "stopping")
	})
	close(hold)
	assertCompleteStream(t, readAll(t, response), 12)
	assert.NilError(t, <-drained)
	assert.Equal(t, server.Open(), int64(0))
}

func TestDrainDeadline(t *testing.T) {
	backend := newFakeEngine(t, 12)
	backend.beforeWord = hangBeforeWord(5)
	server := newTestServer(t, nil, backend.endpoint("e1"))
	response := server.openStream(t.Context(), t)
	ctx, stop := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer stop()
	assert.ErrorContains(t, server.Drain(ctx), "1 requests cancelled")
	assert.Equal(t, readStream(t, readAll(t, response)).code, "stopping")
}

func TestExplain(t *testing.T) {
	bad, good := newFakeEngine(t, 12), newFakeEngine(t, 12)
	bad.beforeWord = breakBeforeWord(5)
	server := newTestServer(t, nil, bad.endpoint("e1"), good.endpoint("e2"))
	server.send(t, "POST", "/v1/chat/completions", chatBody, "X-Request-Id", "r-7")
	waitUntil(t, "request is explained", func() bool { _, found := server.Explain("r-7"); return found })
	got, _ := server.Explain("r-7")
	assert.Equal(t, got.Code, "done")
	assert.Equal(t, got.Tokens, winch.Tokens(12))
	assert.Assert(t, cmp.Len(got.Attempts, 2))
	assert.Equal(t, got.Attempts[0].Tokens+got.Attempts[1].Tokens, winch.Tokens(12))
}
