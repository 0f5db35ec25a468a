package caller

import (
	"errors"
	"testing"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// TestClientLibrary speaks the caller protocol with a customary client.
func TestClientLibrary(t *testing.T) {
	bad, good := newEngine(t, 12), newEngine(t, 12)
	bad.before = breakAt(5)
	b := newBench(t, nil, bad.endpoint("e1"), good.endpoint("e2"))
	client := openai.NewClient(
		option.WithBaseURL(b.front.URL+"/v1/"), option.WithAPIKey(testSecret), option.WithMaxRetries(0))
	question := openai.ChatCompletionNewParams{
		Model: "small", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
	}
	t.Run("stream that moves to another endpoint", func(t *testing.T) {
		question := question
		question.StreamOptions.IncludeUsage = openai.Bool(true)
		stream := client.Chat.Completions.NewStreaming(t.Context(), question)
		whole := openai.ChatCompletionAccumulator{}
		for stream.Next() {
			assert.Assert(t, whole.AddChunk(stream.Current()))
		}
		assert.NilError(t, stream.Err())
		assert.Equal(t, whole.Choices[0].Message.Content, words(12))
		assert.Equal(t, whole.Usage.CompletionTokens, int64(12))
	})
	t.Run("whole answer", func(t *testing.T) {
		bad.before = nil
		answer, err := client.Chat.Completions.New(t.Context(), question)
		assert.NilError(t, err)
		assert.Equal(t, answer.Choices[0].Message.Content, words(12))
	})
	t.Run("list of models", func(t *testing.T) {
		page, err := client.Models.List(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, cmp.Len(page.Data, 2))
	})
	t.Run("errors are typed", func(t *testing.T) {
		_, err := client.Chat.Completions.New(t.Context(), openai.ChatCompletionNewParams{Model: "none"})
		var typed *openai.Error
		assert.Assert(t, errors.As(err, &typed))
		assert.Equal(t, typed.StatusCode, 404)
		assert.Equal(t, typed.Code, "model_not_found")
		assert.Equal(t, typed.Param, "model")
	})
	t.Run("an error event ends a stream with an error", func(t *testing.T) {
		bad.before, good.before = breakAt(5), breakAt(5)
		b.dispatcher.retries = 0
		stream := client.Chat.Completions.NewStreaming(t.Context(), question)
		for stream.Next() {
		}
		assert.ErrorContains(t, stream.Err(), "retry_budget")
	})
}
