package caller

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/internal/ledger"
)

const wholeBody = `{"model":"small","messages":[{"role":"user","content":"hello"}]}`

func assertWholeAnswer(t *testing.T, got answered, count int) {
	t.Helper()
	decoded := struct {
		ID      string
		Object  string
		Choices []struct {
			Message      struct{ Role, Content string }
			FinishReason string `json:"finish_reason"`
		}
		Usage wholeUsage
	}{}
	assert.Equal(t, got.StatusCode, 200, got.body)
	assert.NilError(t, json.Unmarshal([]byte(got.body), &decoded))
	assert.Equal(t, decoded.ID, got.Header.Get("X-Request-Id"))
	assert.Equal(t, decoded.Object, "chat.completion")
	assert.Equal(t, decoded.Choices[0].Message.Content, words(count))
	assert.Equal(t, decoded.Choices[0].Message.Role, "assistant")
	assert.Equal(t, decoded.Choices[0].FinishReason, "stop")
	assert.Equal(t, decoded.Usage, wholeUsage{PromptTokens: 7, CompletionTokens: int64(count), TotalTokens: int64(count + 7)})
}

func TestWholeAnswer(t *testing.T) {
	const count = 12
	want := winch.UsageRecord{Organisation: "probababa", Requests: 1, InputTokens: 7, OutputTokens: count}
	t.Run("moves to another endpoint without running again from the start", func(t *testing.T) {
		bad, good := newEngine(t, count), newEngine(t, count)
		bad.before = breakAt(5)
		b := newBench(t, nil, bad.endpoint("e1"), good.endpoint("e2"))
		assertWholeAnswer(t, b.send(t, "POST", "/v1/chat/completions", wholeBody), count)
		assert.Equal(t, b.dispatcher.works[1].OutputDone, winch.Tokens(5))
		until(t, "usage is counted once", func() bool { return b.usage.sum() == want })
	})
	t.Run("that holds more than text is asked for whole", func(t *testing.T) {
		engine := newEngine(t, count)
		engine.opaque = true
		b := newBench(t, nil, engine.endpoint("e1"))
		b.dispatcher.retries = 0
		assertWholeAnswer(t, b.send(t, "POST", "/v1/chat/completions", wholeBody), count)
		until(t, "usage is counted once", func() bool { return b.usage.sum() == want })
	})
	t.Run("that cannot be finished is an error, and costs nothing", func(t *testing.T) {
		bad := newEngine(t, count)
		bad.before = breakAt(5)
		b := newBench(t, nil, bad.endpoint("e1"), bad.endpoint("e2"))
		b.dispatcher.retries = 0
		assertFault(t, b.send(t, "POST", "/v1/chat/completions", wholeBody), 503, "retry_budget", ledger.Unknown)
		until(t, "the request is over", func() bool { return b.Open() == 0 })
		assert.Equal(t, b.usage.sum(), winch.UsageRecord{})
	})
}
