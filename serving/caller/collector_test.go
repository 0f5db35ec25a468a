package caller

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/internal/runstate"
)

const nonStreamingBody = `{"model":"small","messages":[{"role":"user","content":"hello"}]}`

func assertCompletion(t *testing.T, got testResponse, count int) {
	t.Helper()
	decoded := struct {
		ID      string
		Object  string
		Choices []struct {
			Message      struct{ Role, Content string }
			FinishReason string `json:"finish_reason"`
		}
		Usage completionUsage
	}{}
	assert.Equal(t, got.StatusCode, 200, got.body)
	assert.NilError(t, json.Unmarshal([]byte(got.body), &decoded))
	assert.Equal(t, decoded.ID, got.Header.Get("X-Request-Id"))
	assert.Equal(t, decoded.Object, "chat.completion")
	assert.Equal(t, decoded.Choices[0].Message.Content, outputWords(count))
	assert.Equal(t, decoded.Choices[0].Message.Role, "assistant")
	assert.Equal(t, decoded.Choices[0].FinishReason, "stop")
	assert.Equal(t, decoded.Usage, completionUsage{PromptTokens: 7, CompletionTokens: int64(count), TotalTokens: int64(count + 7)})
}

func TestCollectedResponse(t *testing.T) {
	const count = 12
	want := winch.UsageRecord{Organisation: "probababa", Requests: 1, InputTokens: 7, OutputTokens: count}
	t.Run("resumes on another endpoint without restarting", func(t *testing.T) {
		bad, good := newFakeEngine(t, count), newFakeEngine(t, count)
		bad.beforeWord = breakBeforeWord(5)
		server := newTestServer(t, nil, bad.endpoint("e1"), good.endpoint("e2"))
		assertCompletion(t, server.send(t, "POST", "/v1/chat/completions", nonStreamingBody), count)
		assert.Equal(t, server.dispatcher.works[1].OutputDone, winch.Tokens(5))
		waitUntil(t, "usage is counted once", func() bool { return server.usage.sum() == want })
	})
	t.Run("output other than text is requested again without streaming", func(t *testing.T) {
		backend := newFakeEngine(t, count)
		backend.nonText = true
		server := newTestServer(t, nil, backend.endpoint("e1"))
		// The request without streaming must not need the retry budget.
		server.dispatcher.retryBudget = 0
		assertCompletion(t, server.send(t, "POST", "/v1/chat/completions", nonStreamingBody), count)
		waitUntil(t, "usage is counted once", func() bool { return server.usage.sum() == want })
	})
	t.Run("incomplete response is an error and is not charged", func(t *testing.T) {
		bad := newFakeEngine(t, count)
		bad.beforeWord = breakBeforeWord(5)
		server := newTestServer(t, nil, bad.endpoint("e1"), bad.endpoint("e2"))
		server.dispatcher.retryBudget = 0
		assertError(t, server.send(t, "POST", "/v1/chat/completions", nonStreamingBody), 503, "retry_budget", runstate.Unknown)
		waitUntil(t, "the request is over", func() bool { return server.Open() == 0 })
		assert.Equal(t, server.usage.sum(), winch.UsageRecord{})
	})
}
