package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
)

const (
	callTimeout     = 30 * time.Second
	maxResponseSize = 1 << 20
)

// callCommand sends one request as a caller and prints the response.
type callCommand struct {
	Address string `arg:"--address,required" help:"caller port of a host" placeholder:"ADDR"`
	Key     string `arg:"--key" help:"API key of the caller"`
	Class   string `arg:"--class" help:"request class"`
	Model   string `arg:"--model" help:"model of a chat completion"`
	Prompt  string `arg:"--prompt" help:"the user's message" default:"hello"`
	Tokens  int64  `arg:"--tokens" help:"maximum number of output tokens" default:"16"`
	Route   string `arg:"--route" help:"route of a plain service to call instead of a model"`
	Path    string `arg:"--path" help:"path under the route" default:"call"`
}

func (c *callCommand) execute(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if c.Route != "" {
		return c.callService(ctx, out)
	}
	return c.callModel(ctx, out)
}

// callModel streams a chat completion through the OpenAI client library.
func (c *callCommand) callModel(ctx context.Context, out io.Writer) error {
	client := openai.NewClient(
		option.WithBaseURL("http://"+c.Address+"/v1/"), option.WithAPIKey(c.Key),
		option.WithHeader("X-Request-Class", c.Class), option.WithMaxRetries(0),
	)
	started := time.Now()
	stream := client.Chat.Completions.NewStreaming(ctx, openai.ChatCompletionNewParams{
		Model: c.Model, MaxTokens: openai.Int(c.Tokens),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(c.Prompt)},
	})
	var first time.Duration
	requestID, text := "", strings.Builder{}
	for stream.Next() {
		chunk := stream.Current()
		if first == 0 {
			first = time.Since(started)
		}
		requestID = chunk.ID
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	if err := stream.Err(); err != nil {
		return fmt.Errorf("chat completion: %w", err)
	}
	_, err := fmt.Fprintf(out, "%s class=%s first-token=%s total=%s\n  %s\n", requestID, c.Class, round(first), round(time.Since(started)), text.String())
	return err
}

func (c *callCommand) callService(ctx context.Context, out io.Writer) error {
	address := fmt.Sprintf("http://%s/services/%s/%s", c.Address, c.Route, strings.TrimPrefix(c.Path, "/"))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, strings.NewReader("{}"))
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	request.Header.Set("Content-Type", "application/json")
	started := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("call service: %w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseSize))
	if err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("call service: status %d: %s", response.StatusCode, body)
	}
	_, err = fmt.Fprintf(out, "%s route=%s total=%s\n  %s\n", response.Header.Get("X-Request-Id"), c.Route, round(time.Since(started)), strings.TrimSpace(string(body)))
	return err
}

func round(duration time.Duration) time.Duration { return duration.Round(100 * time.Microsecond) }
