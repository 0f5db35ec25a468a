// Package caller sends requests as callers do and checks the answers: each token must
// arrive once and in order, each chunk must carry the request's id, and the stream
// must end with an explicit end marker or error.
//
// # Usage
//
//	client := caller.New(caller.Options{Picker: picker})
//	outcome := client.Do(ctx, planned, request)
//
// Latencies are measured from the planned arrival time, not from the actual send, so
// that delays in the load tool are included.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/arbutuswinch/winch/winchload/experiment"
)

const (
	dialTimeout = 2 * time.Second
	maxLineSize = 1 << 20
	// timeoutMargin is how long the caller waits beyond the request's own timeout.
	timeoutMargin  = 5 * time.Second
	maxRepeatDelay = 2 * time.Second
)

// Target is where a request is sent.
type Target struct {
	Address string
	// Path is the path prefix of calls to plain services.
	Path string
	// Done is called when the request has ended; it may be nil.
	Done func()
}

// Picker chooses the target of a request. When a target refuses the connection, Pick is called
// again. Tries is the number of earlier transmissions of the request plus the number of
// connections that failed for this one. Pick returns false if there is no target.
type Picker interface {
	Pick(request experiment.Request, tries int) (Target, bool)
}

// Options are the settings of a client.
type Options struct {
	Picker Picker
	// Direct is set if the targets are engines and services instead of hosts.
	Direct bool
	// ConnectAttempts is the number of targets to try when connections are refused.
	ConnectAttempts int
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
}

// New returns a client.
func New(options Options) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4096, DisableCompression: true, IdleConnTimeout: time.Minute,
	}
	return &Client{options: options, http: &http.Client{Transport: transport}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends the request, which was planned for the given time. If the request has an
// idempotency key, Do repeats it until an answer is complete, up to the class's limit.
func (c *Client) Do(ctx context.Context, planned time.Time, request experiment.Request) Outcome {
	attempts, refused := 0, []string(nil)
	for {
		sent := transmission{request: request, id: transmissionID(request, attempts), number: attempts}
		outcome := c.transmit(ctx, planned, sent)
		attempts++
		if outcome.Kind == Refused {
			refused = append(refused, sent.id)
		}
		outcome.Attempts, outcome.NotRun = attempts, refused
		outcome.Took = time.Since(planned)
		if outcome.Kind == Whole || request.Key == "" || attempts > request.Class.Repeats {
			return outcome
		}
		if !sleep(ctx, min(max(outcome.RetryAfter, 50*time.Millisecond), maxRepeatDelay)) {
			return outcome
		}
	}
}

// transmission is one sending of a request, with its own request id.
type transmission struct {
	request experiment.Request
	id      string
	number  int
}

func transmissionID(request experiment.Request, number int) string {
	if number == 0 {
		return request.ID
	}
	return request.ID + "-r" + strconv.Itoa(number)
}

func sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// transmit makes the transmission to one target after another until one accepts the connection.
func (c *Client) transmit(ctx context.Context, planned time.Time, sent transmission) Outcome {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(sent.request.Class.Timeout)+timeoutMargin)
	defer cancel()
	for try := range max(c.options.ConnectAttempts, 1) {
		target, found := c.options.Picker.Pick(sent.request, sent.number+try)
		if !found {
			return Outcome{Kind: Unreached, Code: "no_target"}
		}
		outcome, connected := c.send(ctx, planned, sent, target)
		if target.Done != nil {
			target.Done()
		}
		if connected {
			return outcome
		}
	}
	return Outcome{Kind: Unreached, Code: "connection_refused"}
}

// send makes the transmission to the target. It returns false if no connection could be
// established and nothing was sent.
func (c *Client) send(ctx context.Context, planned time.Time, sent transmission, target Target) (Outcome, bool) {
	var checker *streamChecker
	request := sent.request
	// Services accept any body. Path and body stay the same for repeats; only X-Request-Id differs.
	path, body := target.Path+"/"+request.ID, []byte(request.ID)
	if request.Class.Model != "" {
		prompt := request.Prompt()
		path, body = "/v1/chat/completions", chatBody(request, prompt)
		checker = newStreamChecker(sent.id, newTokenChecker(prompt, request.OutputTokens))
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.Address+path, bytes.NewReader(body))
	if err != nil {
		return Outcome{Kind: Failed, Code: err.Error()}, true
	}
	// Without GetBody the transport cannot rewind the body and retry the request by itself.
	call.GetBody = nil
	c.setHeaders(call.Header, sent)
	response, err := c.http.Do(call)
	if err != nil {
		operation := &net.OpError{}
		if errors.As(err, &operation) && operation.Op == "dial" {
			return Outcome{}, false
		}
		return Outcome{Kind: Cut, Code: cutCode(ctx, err)}, true
	}
	defer response.Body.Close()
	return readAnswer(ctx, planned, sent, response, checker), true
}

func (c *Client) setHeaders(header http.Header, sent transmission) {
	request := sent.request
	header.Set("Content-Type", "application/json")
	header.Set("X-Request-Id", sent.id)
	if request.Key != "" {
		header.Set("Idempotency-Key", request.Key)
	}
	if c.options.Direct {
		// The router sends the same priority to engines: tier 1 becomes 0, the most urgent.
		header.Set("X-Priority", strconv.Itoa(request.Class.Tier-1))
		return
	}
	header.Set("Authorization", "Bearer "+request.Organisation.Secret())
	header.Set("X-Request-Class", request.Class.ID)
	if request.Class.Timeout > 0 {
		header.Set("X-Request-Timeout", time.Duration(request.Class.Timeout).String())
	}
}

type chatCall struct {
	Model    string        `json:"model"`
	Messages []chatMessage `json:"messages"`
	Stream   bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func chatBody(request experiment.Request, prompt experiment.Prompt) []byte {
	body, _ := json.Marshal(chatCall{
		Model: request.Class.Model, Stream: true,
		Messages: []chatMessage{{Role: "system", Content: prompt.System}, {Role: "user", Content: prompt.User}},
	})
	return body
}

func readAnswer(ctx context.Context, planned time.Time, sent transmission, response *http.Response, checker *streamChecker) Outcome {
	if response.StatusCode != http.StatusOK {
		return readError(response)
	}
	if id := response.Header.Get("X-Request-Id"); id != "" && id != sent.id {
		return Outcome{Kind: Wrong, Code: "answer_of_another_request"}
	}
	if checker == nil {
		return readService(ctx, planned, sent, response)
	}
	return readStream(ctx, planned, response, checker)
}

// errorAnswer is the body of an error answer, with the code in Error or at the top level.
type errorAnswer struct {
	Error errorDetail `json:"error"`
	Code  string
}

func readError(response *http.Response) Outcome {
	outcome := Outcome{Kind: Failed, Status: response.StatusCode, RunState: RunState(response.Header.Get("X-Run-State"))}
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxLineSize))
	decoded := errorAnswer{}
	_ = json.Unmarshal(body, &decoded)
	outcome.Code = decoded.Error.Code
	if outcome.Code == "" {
		outcome.Code = decoded.Code
	}
	if outcome.Code == "" {
		outcome.Code = fmt.Sprintf("status_%d", response.StatusCode)
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		outcome.RetryAfter = time.Duration(seconds) * time.Second
	}
	// Engines that are called directly do not send X-Run-State. Their code "overloaded" means
	// that the request was not run.
	if outcome.RunState == NotRun || (outcome.RunState == "" && outcome.Code == "overloaded") {
		outcome.Kind = Refused
	}
	return outcome
}

type serviceAnswer struct {
	Request        string
	IdempotencyKey string
	Execution      int
}

// readService reads a plain service's answer. For a request with an idempotency key it
// compares the key instead of the request id, because a repeat may receive the answer
// to an earlier transmission.
func readService(ctx context.Context, planned time.Time, sent transmission, response *http.Response) Outcome {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxLineSize))
	if err != nil {
		return Outcome{Kind: Cut, Code: cutCode(ctx, err)}
	}
	took := time.Since(planned)
	decoded := serviceAnswer{}
	if err := json.Unmarshal(body, &decoded); err != nil {
		return Outcome{Kind: Wrong, Code: "answer_not_json"}
	}
	if decoded.IdempotencyKey != sent.request.Key || (sent.request.Key == "" && decoded.Request != sent.id) {
		return Outcome{Kind: Wrong, Code: "answer_of_another_request"}
	}
	return Outcome{Kind: Whole, Status: response.StatusCode, FirstToken: took, Took: took, Execution: decoded.Execution}
}

func readStream(ctx context.Context, planned time.Time, response *http.Response, checker *streamChecker) Outcome {
	outcome := Outcome{Kind: Cut, Code: "no_end", Status: response.StatusCode}
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, 4096), maxLineSize)
	previous := time.Time{}
	for scanner.Scan() {
		data, found := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !found {
			continue
		}
		if string(data) == "[DONE]" {
			return finish(outcome, checker)
		}
		checked := checker.checkLine(data)
		switch {
		case checked.code != "":
			outcome.Kind, outcome.Code = Failed, checked.code
			return outcome
		case checked.wrong != "":
			outcome.Kind, outcome.Code = Wrong, checked.wrong
			return outcome
		case checked.tokens > 0:
			previous = outcome.recordTokens(planned, previous, time.Now(), checked.tokens)
		}
	}
	if err := scanner.Err(); err != nil {
		outcome.Code = cutCode(ctx, err)
	}
	return outcome
}

// recordTokens records tokens that arrived at the time now, after the previous delivery of tokens.
// It returns now, the previous delivery for the next call.
func (o *Outcome) recordTokens(planned, previous, now time.Time, tokens int) time.Time {
	if o.Tokens == 0 {
		o.FirstToken = now.Sub(planned)
	} else {
		o.LongestGap = max(o.LongestGap, now.Sub(previous))
	}
	o.Tokens += tokens
	return now
}

func finish(outcome Outcome, checker *streamChecker) Outcome {
	outcome.Kind, outcome.Code = Whole, ""
	if !checker.tokens.complete() {
		outcome.Kind, outcome.Code = Wrong, "tokens_missing"
	}
	return outcome
}

// cutCode returns the code of a connection that ended early. The context ends when the timeout of
// transmit passes or when the run is interrupted.
func cutCode(ctx context.Context, err error) string {
	if ctx.Err() != nil {
		return "caller_timeout"
	}
	if strings.Contains(err.Error(), "reset") {
		return "connection_reset"
	}
	return "connection_closed"
}
