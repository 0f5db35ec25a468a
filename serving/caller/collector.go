package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/internal/runstate"
)

// errNotCollectable says that the response contains output other than text, which cannot be
// collected from a stream.
var errNotCollectable = errors.New("output other than text cannot be collected from a stream")

// collector assembles a non-streaming response from a stream. Engines are asked for a
// stream even if the caller wants a non-streaming response, so that a stalled endpoint is
// detected and the request can continue on another endpoint without loss.
type collector struct {
	firstChunk  []byte
	finishChunk []byte
	usageChunk  []byte
}

func (c *collector) add(chunk winch.Chunk) {
	if c.firstChunk == nil {
		c.firstChunk = bytes.Clone(chunk.Data)
	}
	if chunk.Finished {
		c.finishChunk = bytes.Clone(chunk.Data)
	}
	if chunk.HasUsage {
		c.usageChunk = bytes.Clone(chunk.Data)
	}
}

// chunkFields holds the fields of stream events that go into a collected response.
type chunkFields struct {
	ID          string          `json:"id"`
	Created     int64           `json:"created"`
	Model       string          `json:"model"`
	Fingerprint string          `json:"system_fingerprint,omitempty"`
	Usage       json.RawMessage `json:"usage"`
	Choices     []struct {
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// completionResponse is the body of a collected response.
type completionResponse struct {
	ID          string             `json:"id"`
	Object      string             `json:"object"`
	Created     int64              `json:"created"`
	Model       string             `json:"model"`
	Fingerprint string             `json:"system_fingerprint,omitempty"`
	Choices     []completionChoice `json:"choices"`
	Usage       any                `json:"usage"`
}

type completionChoice struct {
	Index        int                `json:"index"`
	Message      *completionMessage `json:"message,omitempty"`
	Text         *json.RawMessage   `json:"text,omitempty"`
	Logprobs     any                `json:"logprobs"`
	FinishReason *string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type completionUsage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// encode returns the response body. The text must be escaped as inside a JSON string;
// resumed says that there was more than one attempt, so that earlier ones may have
// contributed to the text.
func (c *collector) encode(chat bool, text []byte, usage completionUsage, resumed bool) ([]byte, error) {
	first, last, usageFields := chunkFields{}, chunkFields{}, chunkFields{}
	for _, part := range []struct {
		data []byte
		into *chunkFields
	}{{c.firstChunk, &first}, {c.finishChunk, &last}, {c.usageChunk, &usageFields}} {
		if part.data == nil {
			continue
		}
		if err := json.Unmarshal(part.data, part.into); err != nil {
			return nil, fmt.Errorf("collect response: %w: %w", winch.ErrInvalid, err)
		}
	}
	quoted := json.RawMessage(append(append([]byte{'"'}, text...), '"'))
	choice := completionChoice{Text: &quoted}
	response := completionResponse{
		ID: first.ID, Object: "text_completion", Created: first.Created, Model: first.Model, Fingerprint: first.Fingerprint,
		Usage: usage,
	}
	if chat {
		choice = completionChoice{Message: &completionMessage{Role: "assistant", Content: quoted}}
		response.Object = "chat.completion"
	}
	if len(last.Choices) > 0 {
		choice.FinishReason = last.Choices[0].FinishReason
	}
	// On a resumed stream the engine's count may lack the output of earlier attempts.
	if usageFields.Usage != nil && !resumed {
		response.Usage = usageFields.Usage
	}
	response.Choices = []completionChoice{choice}
	encoded, err := json.Marshal(response)
	if err != nil {
		return nil, fmt.Errorf("encode collected response: %w: %w", winch.ErrInvalid, err)
	}
	return encoded, nil
}

// writeCollected writes the collected response to the caller.
func (s *Server) writeCollected(req *request, a *attempt, out *output) error {
	usage := completionUsage{PromptTokens: int64(req.inputTokens), CompletionTokens: int64(a.usage.previouslyDelivered + a.usage.outputTokens())}
	if a.usage.hasEngineCount {
		usage.PromptTokens = int64(a.usage.engineInput)
	}
	usage.TotalTokens = usage.PromptTokens + usage.CompletionTokens
	body, err := out.collector.encode(req.chat(), req.deliveredText, usage, len(req.attempts) > 1)
	if err != nil {
		return err
	}
	req.responseStarted = true
	header := out.w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("X-Run-State", string(runstate.Ran))
	header.Set("Content-Length", strconv.Itoa(len(body)))
	out.w.WriteHeader(http.StatusOK)
	if _, err := out.w.Write(body); err != nil {
		return fmt.Errorf("write to caller: %w: %w", errCallerDisconnected, err)
	}
	return nil
}

// collectable reports whether the response to a request with these fields can be assembled
// from the text of a stream. The field n is not accepted even if it is 1. A request with the
// field resume comes from a peer, which collects the response itself if necessary.
func collectable(fields map[string]json.RawMessage) bool {
	for _, name := range []string{
		"tools", "functions", "logprobs", "top_logprobs", "best_of", "echo", "suffix", "audio", "modalities", "n", "resume",
	} {
		if _, found := fields[name]; found {
			return false
		}
	}
	return true
}

// disableCollection makes the next attempt ask the engine for a non-streaming response and
// discards what was collected.
func (req *request) disableCollection() {
	fields := map[string]json.RawMessage{}
	if json.Unmarshal(req.body, &fields) == nil {
		delete(fields, "stream")
		delete(fields, "stream_options")
		req.body = encodeFields(fields)
	}
	req.collectStream, req.stream = false, false
	req.deliveredTokens, req.outputTokens, req.collectedTokens, req.deliveredText = 0, 0, 0, nil
}
