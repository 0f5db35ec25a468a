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
	"github.com/arbutuswinch/winch/serving/internal/ledger"
)

// breakAt makes the engine break the connection off before the word.
func breakAt(at int) func(http.ResponseWriter, *http.Request, int) {
	return func(_ http.ResponseWriter, _ *http.Request, word int) {
		if word == at {
			panic(http.ErrAbortHandler)
		}
	}
}

// holdAt makes the engine wait at the word until its caller goes away.
func holdAt(at int) func(http.ResponseWriter, *http.Request, int) {
	return func(_ http.ResponseWriter, r *http.Request, word int) {
		if word == at {
			<-r.Context().Done()
		}
	}
}

func TestStreamMoves(t *testing.T) {
	const count = 12
	moves := []struct {
		name   string
		before func(http.ResponseWriter, *http.Request, int)
		cross  int
		want   winch.Outcome
	}{
		{"the engine dies before the first token", breakAt(0), -1, winch.OutcomeFailed},
		{"the engine dies in the middle", breakAt(5), -1, winch.OutcomeFailed},
		{"the engine falls silent", holdAt(5), -1, winch.OutcomeFailed},
		{"the engine sends another request's event", nil, 5, winch.OutcomeFailed},
	}
	for _, move := range moves {
		t.Run(move.name, func(t *testing.T) {
			bad, good := newEngine(t, count), newEngine(t, count)
			bad.before, bad.crossAt = move.before, move.cross
			b := newBench(t, func(o *Options) { o.Limits.Stall = 200 * time.Millisecond }, bad.endpoint("e1"), good.endpoint("e2"))
			assertWhole(t, b.send(t, "POST", "/v1/chat/completions", chatBody).body, count)
			assert.DeepEqual(t, b.dispatcher.slot(0).outcomes(), []winch.Outcome{move.want})
			assert.DeepEqual(t, b.dispatcher.slot(1).outcomes(), []winch.Outcome{winch.OutcomeDone})
			want := winch.UsageRecord{Organisation: "probababa", Requests: 1, InputTokens: 7, OutputTokens: count}
			until(t, "usage is counted once", func() bool { return b.usage.sum() == want })
		})
	}
	t.Run("the slot is preempted, which costs no retry budget", func(t *testing.T) {
		bad, good := newEngine(t, count), newEngine(t, count)
		bad.before = holdAt(5)
		b := newBench(t, nil, bad.endpoint("e1"), good.endpoint("e2"))
		b.dispatcher.retries = 0
		go func() {
			eventually(func() bool { slot := b.dispatcher.slot(0); return slot != nil && slot.count() == 5 })
			close(b.dispatcher.slot(0).preempted)
		}()
		assertWhole(t, b.send(t, "POST", "/v1/chat/completions", chatBody).body, count)
		assert.DeepEqual(t, b.dispatcher.slot(0).outcomes(), []winch.Outcome{winch.OutcomeCancelled})
		assert.Equal(t, b.dispatcher.works[1].OutputDone, winch.Tokens(5))
		until(t, "the engine is told", func() bool { return cancelled(bad) })
	})
}

func TestStreamWithoutItsEnd(t *testing.T) {
	ends := []struct {
		name string
		end  string
	}{
		{"the engine was told to stop", `{"index":0,"delta":{},"finish_reason":"cancelled"}`},
		{"the connection breaks after the reason", `{"index":0,"delta":{},"finish_reason":"stop"}`},
		{"the reason comes with a token", `{"index":0,"delta":{"content":"x"},"finish_reason":"length"}`},
	}
	for _, c := range ends {
		t.Run(c.name, func(t *testing.T) {
			bad, good := newEngine(t, 5), newEngine(t, 12)
			bad.end = func(w http.ResponseWriter, id string) { bad.chunk(w, id, c.end) }
			b := newBench(t, nil, bad.endpoint("e1"), good.endpoint("e2"))
			got := b.send(t, "POST", "/v1/chat/completions", chatBody)
			assertWhole(t, got.body, 12)
			assert.Equal(t, strings.Count(got.body, `"finish_reason":"`), 1)
			assert.Equal(t, strings.Count(got.body, `"role"`), 1)
		})
	}
}

func (s *fakeSlot) count() winch.Tokens {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.tokens
}

// cancelled reports whether the engine was told to cancel a stream.
func cancelled(e *fakeEngine) bool {
	for _, call := range e.calls() {
		if strings.HasSuffix(call.URL.Path, "/cancel") {
			return true
		}
	}
	return false
}

func TestProgressNeedsNoBudget(t *testing.T) {
	bad, good := newEngine(t, 12), newEngine(t, 12)
	bad.before = breakAt(5)
	b := newBench(t, nil, bad.endpoint("e1"), good.endpoint("e2"))
	b.dispatcher.retries = 0
	assertWhole(t, b.send(t, "POST", "/v1/chat/completions", chatBody).body, 12)
}

func TestStreamEndsWithError(t *testing.T) {
	t.Run("without retry budget, after an attempt that delivered nothing", func(t *testing.T) {
		bad := newEngine(t, 12)
		bad.before = breakAt(5)
		b := newBench(t, nil, bad.endpoint("e1"), bad.endpoint("e2"), bad.endpoint("e3"))
		b.dispatcher.retries = 0
		got := readStream(t, b.send(t, "POST", "/v1/chat/completions", chatBody).body)
		assert.Equal(t, got.text, words(5))
		assert.Equal(t, got.code, "retry_budget")
		assert.Assert(t, !got.done)
		assert.Equal(t, len(b.dispatcher.works), 2)
	})
	t.Run("after output that no engine can continue", func(t *testing.T) {
		bad := newEngine(t, 12)
		bad.before = breakAt(5)
		b := newBench(t, nil, bad.endpoint("e1"), bad.endpoint("e2"))
		body := strings.Replace(chatBody, `"stream":true`, `"stream":true,"n":2`, 1)
		got := readStream(t, b.send(t, "POST", "/v1/chat/completions", body).body)
		assert.Equal(t, got.code, "stream_broken")
	})
	t.Run("at the deadline", func(t *testing.T) {
		slow := newEngine(t, 12)
		slow.before = holdAt(5)
		b := newBench(t, nil, slow.endpoint("e1"))
		got := readStream(t, b.send(t, "POST", "/v1/chat/completions", chatBody, "X-Request-Timeout", "100ms").body)
		assert.Equal(t, got.code, "deadline")
		assert.Equal(t, got.text, words(5))
	})
}

// open begins a stream and returns it with its connection still open.
func (b *bench) open(ctx context.Context, t *testing.T) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, "POST", b.front.URL+"/v1/chat/completions", strings.NewReader(chatBody))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+testSecret)
	response, err := b.front.Client().Do(request)
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

func TestCallerLeaves(t *testing.T) {
	slow := newEngine(t, 12)
	slow.before = holdAt(5)
	b := newBench(t, nil, slow.endpoint("e1"))
	ctx, leave := context.WithCancel(t.Context())
	b.open(ctx, t)
	leave()
	until(t, "the engine's work is cancelled", func() bool { return cancelled(slow) })
	until(t, "the slot is given back", func() bool { return len(b.dispatcher.slot(0).outcomes()) == 1 })
	assert.DeepEqual(t, b.dispatcher.slot(0).outcomes(), []winch.Outcome{winch.OutcomeCancelled})
}

func TestKeyWithdrawn(t *testing.T) {
	t.Run("an open stream ends with an error, and so does the next request", func(t *testing.T) {
		slow := newEngine(t, 12)
		slow.before = holdAt(5)
		b := newBench(t, nil, slow.endpoint("e1"))
		response := b.open(t.Context(), t)
		b.configurations.withdraw()
		assert.Equal(t, readStream(t, readAll(t, response)).code, "key_withdrawn")
		assertFault(t, b.send(t, "POST", "/v1/chat/completions", chatBody), 401, "invalid_api_key", ledger.NotRun)
	})
	t.Run("a queued request is not run", func(t *testing.T) {
		engine := newEngine(t, 12)
		b := newBench(t, nil, engine.endpoint("e1"))
		b.dispatcher.hold = true
		go func() {
			eventually(func() bool { return b.dispatcher.waiting() > 0 })
			b.configurations.withdraw()
		}()
		assertFault(t, b.send(t, "POST", "/v1/chat/completions", chatBody), 401, "key_withdrawn", ledger.NotRun)
		assert.Equal(t, len(engine.calls()), 0)
	})
}

func (d *fakeDispatcher) waiting() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.works)
}

func TestDrain(t *testing.T) {
	hold := make(chan struct{})
	engine := newEngine(t, 12)
	engine.before = func(_ http.ResponseWriter, _ *http.Request, word int) {
		if word == 5 {
			<-hold
		}
	}
	b := newBench(t, nil, engine.endpoint("e1"))
	response := b.open(t.Context(), t)
	drained := make(chan error, 1)
	go func() { drained <- b.Drain(t.Context()) }()
	until(t, "new requests are refused", func() bool {
		got := b.send(t, "GET", "/v1/models", "")
		return got.StatusCode == 503 && got.Close && strings.Contains(got.body, "stopping")
	})
	close(hold)
	assertWhole(t, readAll(t, response), 12)
	assert.NilError(t, <-drained)
	assert.Equal(t, b.Open(), int64(0))
}

func TestDrainCutsAtItsEnd(t *testing.T) {
	engine := newEngine(t, 12)
	engine.before = holdAt(5)
	b := newBench(t, nil, engine.endpoint("e1"))
	response := b.open(t.Context(), t)
	ctx, stop := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer stop()
	assert.ErrorContains(t, b.Drain(ctx), "1 requests cut off")
	assert.Equal(t, readStream(t, readAll(t, response)).code, "stopping")
}

func TestExplain(t *testing.T) {
	bad, good := newEngine(t, 12), newEngine(t, 12)
	bad.before = breakAt(5)
	b := newBench(t, nil, bad.endpoint("e1"), good.endpoint("e2"))
	b.send(t, "POST", "/v1/chat/completions", chatBody, "X-Request-Id", "r-7")
	until(t, "request is explained", func() bool { _, found := b.Explain("r-7"); return found })
	got, _ := b.Explain("r-7")
	assert.Equal(t, got.Code, "done")
	assert.Equal(t, got.Tokens, winch.Tokens(12))
	assert.Assert(t, cmp.Len(got.Attempts, 2))
	assert.Equal(t, got.Attempts[0].Tokens+got.Attempts[1].Tokens, winch.Tokens(12))
}
