package caller

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/internal/runstate"
)

const chatBody = `{"model":"small","stream":true,"messages":[{"role":"user","content":"hello"}]}`

// waitUntil polls until reached returns true, and fails the test after testTimeout.
func waitUntil(t *testing.T, what string, reached func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if reached() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(testTimeout), poll.WithDelay(time.Millisecond))
}

// pollUntil polls until reached returns true or testTimeout is over. Unlike waitUntil it may
// be called outside the test's goroutine.
func pollUntil(reached func() bool) {
	for deadline := time.Now().Add(testTimeout); !reached() && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
}

type testResponse struct {
	*http.Response
	body string
}

// send sends a request with the caller's API key and reads the whole response. Headers are
// pairs of name and value; an empty value removes the header.
func (server *testServer) send(t *testing.T, method, path, body string, headers ...string) testResponse {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, server.httpServer.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+testSecret)
	for i := 0; i < len(headers); i += 2 {
		if headers[i+1] == "" {
			request.Header.Del(headers[i])
			continue
		}
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := server.httpServer.Client().Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return testResponse{Response: response, body: string(read)}
}

type streamResult struct {
	text string
	code string
	done bool
}

// readStream decodes the events of a stream.
func readStream(t *testing.T, body string) streamResult {
	t.Helper()
	out := streamResult{}
	for _, line := range strings.Split(body, "\n") {
		payload, found := strings.CutPrefix(line, "data: ")
		if !found {
			continue
		}
		if payload == "[DONE]" {
			out.done = true
			continue
		}
		event := struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
			Error *errorBody `json:"error"`
		}{}
		assert.NilError(t, json.Unmarshal([]byte(payload), &event))
		if event.Error != nil {
			out.code = event.Error.Code
		}
		for _, choice := range event.Choices {
			out.text += choice.Delta.Content
		}
	}
	return out
}

func assertCompleteStream(t *testing.T, body string, count int) {
	t.Helper()
	got := readStream(t, body)
	assert.Equal(t, got.text, outputWords(count))
	assert.Equal(t, got.code, "")
	assert.Assert(t, got.done, "no [DONE]")
}

func assertError(t *testing.T, got testResponse, status int, code string, state runstate.RunState) {
	t.Helper()
	decoded := errorResponse{}
	assert.NilError(t, json.Unmarshal([]byte(got.body), &decoded), got.body)
	assert.Equal(t, got.StatusCode, status, got.body)
	assert.Equal(t, decoded.Error.Code, code)
	assert.Equal(t, got.Header.Get("X-Run-State"), string(state))
	assert.Assert(t, got.Header.Get("X-Request-Id") != "")
}

func TestCompletion(t *testing.T) {
	backend := newFakeEngine(t, 20)
	server := newTestServer(t, nil, backend.endpoint("e1"))
	t.Run("stream", func(t *testing.T) {
		got := server.send(t, "POST", "/v1/chat/completions", chatBody, "X-Request-Id", "r-1")
		assert.Equal(t, got.StatusCode, 200)
		assert.Equal(t, got.Header.Get("X-Request-Id"), "r-1")
		assertCompleteStream(t, got.body, 20)
		assert.Assert(t, !strings.Contains(got.body, "usage"), "the caller did not ask for token counts")
	})
	t.Run("stream with include_usage", func(t *testing.T) {
		body := strings.Replace(chatBody, `"stream":true`, `"stream":true,"stream_options":{"include_usage":true}`, 1)
		got := server.send(t, "POST", "/v1/chat/completions", body)
		assert.Assert(t, cmp.Contains(got.body, `"completion_tokens":20`))
	})
	t.Run("non-streaming", func(t *testing.T) {
		got := server.send(t, "POST", "/v1/chat/completions", `{"model":"small","messages":[]}`)
		assert.Equal(t, got.StatusCode, 200, got.body)
		assert.Assert(t, cmp.Contains(got.body, "w19"))
		assert.Equal(t, got.Header.Get("X-Run-State"), "ran")
	})
	want := winch.UsageRecord{Organisation: "probababa", Requests: 3, InputTokens: 21, OutputTokens: 60}
	waitUntil(t, "usage is recorded", func() bool { return server.usage.sum() == want })
}
