package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

func startEngine(t *testing.T, options Options) (*Engine, *httptest.Server) {
	t.Helper()
	options.ID = "e"
	options.Models = []Weights{{Model: "small"}}
	options.StepBase = time.Millisecond
	options.StepPerSequence = time.Microsecond
	options.ReportLag = time.Millisecond
	options.EventLag = time.Millisecond
	e := New(options)
	ctx, cancel := context.WithCancel(context.Background())
	go e.Run(ctx)
	running := httptest.NewServer(e)
	t.Cleanup(func() {
		running.Close()
		cancel()
	})
	return e, running
}

func post(t *testing.T, running *httptest.Server, path, body string) *http.Response {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, running.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("X-Request-Id", "r1")
	request.Header.Set("Authorization", "Bearer own")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

type chunk struct {
	ID      string
	Choices []struct {
		Text         string
		Delta        struct{ Content string }
		FinishReason string `json:"finish_reason"`
	}
	Usage *usage
}

// assertStream reads a stream of chunks up to [DONE] and returns its text and the usage of the last chunk.
func assertStream(t *testing.T, response *http.Response) (string, *usage) {
	t.Helper()
	text, done := strings.Builder{}, false
	var used *usage
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		decoded := chunk{}
		assert.NilError(t, json.Unmarshal([]byte(data), &decoded), data)
		assert.Equal(t, decoded.ID, "r1")
		used = decoded.Usage
		for _, choice := range decoded.Choices {
			text.WriteString(choice.Delta.Content + choice.Text)
		}
	}
	assert.Assert(t, done)
	return text.String(), used
}

// expectedText returns the output tokens from up to, but not including, to.
func expectedText(prompt string, from, to int) string {
	text := strings.Builder{}
	for i := from; i < to; i++ {
		text.WriteString(Token(Hash(prompt), i))
	}
	return text.String()
}

func TestCompletion(t *testing.T) {
	e, running := startEngine(t, Options{})
	chat := `{"model":"small","stream":true,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":"tea [[tokens=40]]"}]%s}`
	prompt := "user\ntea [[tokens=40]]\n"
	t.Run("streams each token once", func(t *testing.T) {
		text, used := assertStream(t, post(t, running, "/v1/chat/completions", fmt.Sprintf(chat, "")))
		assert.Equal(t, text, expectedText(prompt, 0, 40))
		assert.Equal(t, used.CompletionTokens, 40)
	})
	t.Run("resumes after the given number of tokens", func(t *testing.T) {
		text, _ := assertStream(t, post(t, running, "/v1/chat/completions", fmt.Sprintf(chat, `,"resume":{"tokens":15,"text":"x"}`)))
		assert.Equal(t, text, expectedText(prompt, 15, 40))
	})
	t.Run("responds with a single JSON body", func(t *testing.T) {
		response := post(t, running, "/v1/completions", `{"model":"small","prompt":"lot","max_tokens":3}`)
		decoded := completionResponse{}
		assert.NilError(t, json.NewDecoder(response.Body).Decode(&decoded))
		assert.Equal(t, decoded.Choices[0].Text, expectedText("lot", 0, 3))
		assert.Equal(t, decoded.Choices[0].FinishReason, "length")
	})
	t.Run("refuses an unknown model", func(t *testing.T) {
		assert.Equal(t, post(t, running, "/v1/completions", `{"model":"large","prompt":"lot"}`).StatusCode, http.StatusNotFound)
	})
	t.Run("records credentials", func(t *testing.T) {
		assert.DeepEqual(t, e.Secrets(), []string{"Authorization: Bearer own"})
	})
}

func TestCancel(t *testing.T) {
	e, running := startEngine(t, Options{})
	long := `{"model":"small","prompt":"x [[tokens=30000]]","stream":true}`
	waitIdle := func() {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if load := e.loadAt(time.Now()); load.Running > 0 {
				return poll.Continue("%d running", load.Running)
			}
			return poll.Success()
		}, poll.WithDelay(time.Millisecond))
	}
	t.Run("by request", func(t *testing.T) {
		response := post(t, running, "/v1/completions", long)
		post(t, running, "/v1/streams/"+response.Header.Get("X-Stream-Id")+"/cancel", "")
		scanner := bufio.NewScanner(response.Body)
		for scanner.Scan() {
			assert.Assert(t, !strings.Contains(scanner.Text(), "[DONE]"))
		}
		waitIdle()
	})
	t.Run("by closing the connection", func(t *testing.T) {
		response := post(t, running, "/v1/completions", long)
		assert.NilError(t, response.Body.Close())
		waitIdle()
	})
	t.Run("imports an export only for the same prompt", func(t *testing.T) {
		response := post(t, running, "/v1/completions", long)
		exported := exportResponse{}
		assert.NilError(t, json.NewDecoder(post(t, running, "/v1/streams/"+response.Header.Get("X-Stream-Id")+"/export", "").Body).Decode(&exported))
		with := `{"model":"small","prompt":%q,"max_tokens":2,"import_handle":%q}`
		assert.Equal(t, post(t, running, "/v1/completions", fmt.Sprintf(with, "x [[tokens=30000]]", exported.Handle)).StatusCode, http.StatusOK)
		assert.Equal(t, post(t, running, "/v1/completions", fmt.Sprintf(with, "y", exported.Handle)).StatusCode, http.StatusBadRequest)
	})
}

func TestCacheEvents(t *testing.T) {
	e, running := startEngine(t, Options{CacheTokens: 4 * blockTokens})
	prefixes := []uint64{}
	for _, letter := range []string{"a", "b"} {
		text := strings.Repeat(letter, 4*blockBytes)
		post(t, running, "/v1/completions", fmt.Sprintf(`{"model":"small","prompt":%q,"max_tokens":1}`, text))
		prefixes = append(prefixes, Hash(fmt.Sprintf("small%q", text)))
	}
	events := e.cache.since(0, time.Now())
	assert.Equal(t, len(events), 3)
	assert.Equal(t, events[0].prefix, prefixes[0])
	assert.Equal(t, events[1].prefix, prefixes[1])
	assert.Equal(t, events[2].prefix, prefixes[0])
	assert.Assert(t, events[2].evicted)
	assert.Equal(t, e.cache.used(), 4*blockTokens)
}

func testSequence(priority, prefill int, arrival int64) *sequence {
	return &sequence{priority: priority, arrival: arrival, prefill: prefill, prompt: prompt{outputTokens: 10}, wake: make(chan struct{}, 1)}
}

func TestBatch(t *testing.T) {
	assertRunning := func(t *testing.T, b *batch, want ...*sequence) {
		t.Helper()
		assert.Equal(t, len(b.running), len(want))
		for i := range want {
			assert.Assert(t, b.running[i] == want[i], "running[%d]", i)
		}
	}
	t.Run("admits the most urgent first", func(t *testing.T) {
		b := &batch{limit: 1}
		lessUrgent, moreUrgent := testSequence(2, 1, 1), testSequence(0, 1, 2)
		b.enqueue(lessUrgent)
		b.enqueue(moreUrgent)
		b.admit()
		assertRunning(t, b, moreUrgent)
	})
	t.Run("preempts a less urgent sequence", func(t *testing.T) {
		b := &batch{limit: 1, preempts: true}
		lessUrgent, moreUrgent := testSequence(2, 1, 1), testSequence(0, 1, 2)
		b.enqueue(lessUrgent)
		b.admit()
		b.enqueue(moreUrgent)
		_, preempted := b.admit()
		assert.Equal(t, len(preempted), 1)
		assertRunning(t, b, moreUrgent)
		assert.Assert(t, b.waiting[0] == lessUrgent)
	})
	t.Run("computes a long prefill in several steps", func(t *testing.T) {
		b := &batch{limit: 2, stepCosts: stepCosts{stepBase: time.Millisecond, prefillPerToken: time.Microsecond, chunkTokens: 100}}
		b.enqueue(testSequence(0, 150, 1))
		b.admit()
		first, _ := b.plan()
		_, tokens, _ := b.finish(first)
		assert.Equal(t, tokens, 0)
		assert.Equal(t, first.duration, time.Millisecond+100*time.Microsecond)
		second, _ := b.plan()
		_, tokens, _ = b.finish(second)
		assert.Equal(t, tokens, 1)
	})
}
