package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

const usageEvent = `{"id":"r","choices":[],"usage":{"prompt_tokens":5,"completion_tokens":2}}`

func textEvent(id, text string) string {
	return fmt.Sprintf(`{"id":%q,"choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]}`, id, text)
}

func sse(events ...string) string {
	out := strings.Builder{}
	for _, event := range events {
		out.WriteString("data: " + event + "\n\n")
	}
	return out.String()
}

func newReader(reader io.Reader) winch.ChunkReader {
	return New(Options{}).Chunks(&winch.Reply{Body: io.NopCloser(reader)}, "r")
}

func assertStream(t *testing.T, body string, text string, want error) {
	t.Helper()
	chunks := newReader(iotest.OneByteReader(strings.NewReader(body)))
	defer chunks.Close()
	got := ""
	for {
		chunk, err := chunks.Next()
		if chunk.Done || err != nil {
			assert.Assert(t, errors.Is(err, want), "%v", err)
			break
		}
		got += string(chunk.Text)
	}
	assert.Equal(t, got, text)
}

func TestStream(t *testing.T) {
	t.Run("complete", func(t *testing.T) {
		assertStream(t, ": hello\n\n"+sse(textEvent("r", "a"), textEvent("r", "b"), usageEvent, "[DONE]"), "ab", nil)
	})
	t.Run("lines that end in CR LF", func(t *testing.T) {
		assertStream(t, strings.ReplaceAll(sse(textEvent("r", "a"), "[DONE]"), "\n", "\r\n"), "a", nil)
	})
	t.Run("truncated", func(t *testing.T) {
		assertStream(t, sse(textEvent("r", "a"))+"data: {", "a", io.ErrUnexpectedEOF)
	})
	t.Run("event of another request", func(t *testing.T) {
		assertStream(t, sse(textEvent("r", "a"), textEvent("other", "b")), "a", winch.ErrResponseMismatch)
	})
	t.Run("event of another request with the expected id inside its text", func(t *testing.T) {
		assertStream(t, sse(textEvent("other", `"id":"r"`)), "", winch.ErrResponseMismatch)
	})
	t.Run("malformed", func(t *testing.T) {
		assertStream(t, sse(`{"id":"r","choices":[`), "", winch.ErrInvalid)
	})
	t.Run("event over the size limit", func(t *testing.T) {
		assertStream(t, "data: "+strings.Repeat("x", 2<<20), "", winch.ErrInvalid)
	})
}

func TestParse(t *testing.T) {
	parsed := func(t *testing.T, payload string) winch.Chunk {
		t.Helper()
		chunk, err := parseEvent([]byte(payload), "r")
		assert.NilError(t, err)
		return chunk
	}
	t.Run("text keeps its escapes", func(t *testing.T) {
		chunk := parsed(t, `{ "choices" : [ {"delta":{"role":"assistant","content":"a\\\"\u00e9"} } ], "id":"r" }`)
		assert.Equal(t, string(chunk.Text), `a\\\"\u00e9`)
		assert.Equal(t, chunk.Tokens, winch.Tokens(1))
	})
	t.Run("usage", func(t *testing.T) {
		chunk := parsed(t, usageEvent)
		assert.Assert(t, chunk.HasUsage && chunk.UsageOnly)
		// 5 input tokens and 2 output tokens.
		assert.Equal(t, chunk.InputTokens+10*chunk.OutputTokens, winch.Tokens(25))
	})
	t.Run("finish", func(t *testing.T) {
		chunk := parsed(t, `{"id":"r","choices":[{"delta":{},"finish_reason":"stop"}],"usage":null}`)
		assert.Assert(t, chunk.Finished && chunk.Tokens == 0 && !chunk.HasUsage)
	})
	t.Run("tool calls are not text", func(t *testing.T) {
		chunk := parsed(t, `{"id":"r","choices":[{"delta":{"tool_calls":[{"id":"x","function":{"arguments":"}{"}}]}}]}`)
		assert.Assert(t, chunk.NonText && chunk.Tokens == 1)
	})
	t.Run("error", func(t *testing.T) {
		assert.Assert(t, parsed(t, `{"error":{"code":"x"}}`).Failed)
	})
}

// FuzzParse checks that Text is the inside of a valid JSON string for each valid payload that
// parseEvent accepts.
func FuzzParse(f *testing.F) {
	f.Add([]byte(textEvent("r", "a\"b")))
	f.Add([]byte(usageEvent))
	f.Add([]byte(`{"id":"r","choices":[{"text":"x","index":1}],"error":null}`))
	f.Fuzz(func(t *testing.T, payload []byte) {
		chunk, err := parseEvent(payload, "r")
		if err != nil || !json.Valid(payload) {
			return
		}
		text := ""
		quoted := append(append([]byte{'"'}, chunk.Text...), '"')
		assert.NilError(t, json.Unmarshal(quoted, &text))
	})
}

func BenchmarkNext(b *testing.B) {
	const batch = 1024
	body := strings.Repeat(sse(textEvent("r", "word ")), batch)
	client := New(Options{})
	b.ReportAllocs()
	for count := 0; count < b.N; {
		chunks := client.Chunks(&winch.Reply{Body: io.NopCloser(strings.NewReader(body))}, "r")
		for range min(batch, b.N-count) {
			if _, err := chunks.Next(); err != nil {
				b.Fatal(err)
			}
			count++
		}
		chunks.Close()
	}
}
