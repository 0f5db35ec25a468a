package engine

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// prefixBytes is the size of the prompt prefix that cache events identify.
const prefixBytes = 2 << 10

// completionRequest is the request body of chat and plain completions. Fields that the
// stand-in does not use are ignored.
type completionRequest struct {
	Model               string            `json:"model"`
	Prompt              json.RawMessage   `json:"prompt"`
	Messages            []json.RawMessage `json:"messages"`
	MaxTokens           int               `json:"max_tokens"`
	MaxCompletionTokens int               `json:"max_completion_tokens"`
	Stream              bool              `json:"stream"`
	StreamOptions       *streamOptions    `json:"stream_options"`
	Resume              *resume           `json:"resume"`
	ImportHandle        string            `json:"import_handle"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type resume struct {
	Tokens int    `json:"tokens"`
	Text   string `json:"text"`
}

type contentPart struct {
	Text string `json:"text"`
}

// text returns the prompt, or the role and the content of each message on a line each.
func (c completionRequest) text() (string, error) {
	if len(c.Messages) == 0 {
		prompt := ""
		if err := json.Unmarshal(c.Prompt, &prompt); err != nil {
			return "", fmt.Errorf("prompt: %w", err)
		}
		return prompt, nil
	}
	text := strings.Builder{}
	for i, raw := range c.Messages {
		m := message{}
		if err := json.Unmarshal(raw, &m); err != nil {
			return "", fmt.Errorf("messages[%d]: %w", i, err)
		}
		content, err := m.text()
		if err != nil {
			return "", fmt.Errorf("messages[%d]: %w", i, err)
		}
		text.WriteString(m.Role)
		text.WriteByte('\n')
		text.WriteString(content)
		text.WriteByte('\n')
	}
	return text.String(), nil
}

// prefixHash returns the hash that identifies the prompt in cache events. It covers the
// model and the first bytes of the JSON of the first message or, without messages, of the
// prompt. winchd computes the same hash from the request body.
func (c completionRequest) prefixHash() uint64 {
	raw := c.Prompt
	if len(c.Messages) > 0 {
		raw = c.Messages[0]
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(c.Model)
	_, _ = digest.Write(raw[:min(len(raw), prefixBytes)])
	return digest.Sum64()
}

func (m message) text() (string, error) {
	plain := ""
	if err := json.Unmarshal(m.Content, &plain); err == nil {
		return plain, nil
	}
	parts := []contentPart{}
	if err := json.Unmarshal(m.Content, &parts); err != nil {
		return "", fmt.Errorf("read content: %w", err)
	}
	text := strings.Builder{}
	for _, part := range parts {
		text.WriteString(part.Text)
	}
	return text.String(), nil
}

func (c completionRequest) limit() int { return max(c.MaxTokens, c.MaxCompletionTokens) }

func (c completionRequest) wantsUsage() bool {
	return !c.Stream || (c.StreamOptions != nil && c.StreamOptions.IncludeUsage)
}

type usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	Details          usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type errorResponse struct {
	Error errorDetail `json:"error"`
	Code  string
	// Message repeats Error.Message for clients that read the platform's error format.
	Message string
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

type exportResponse struct{ Handle string }

type loadResponse struct {
	AsOf            time.Time
	Running         int
	Waiting         int
	TokensPerSecond float64
	CacheUsed       int
	CacheLimit      int
	Models          []Weights
	Role            string
	State           State
}

type eventsResponse struct {
	Events []eventResponse
	Next   int64
}

type eventResponse struct {
	Sequence int64
	Prefix   uint64
	Evicted  bool
}

type orderRequest struct {
	OrderID       string
	FencingNumber int64
	Load          []Weights
	Role          string
}

type orderResponse struct{ OrderID string }

type fencedResponse struct {
	Code    string
	Message string
	Highest int64
}
