package forward

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/arbutuswinch/winch"
)

var (
	errUnsent = fmt.Errorf("connect: %w", winch.ErrUnavailable)
	errLost   = fmt.Errorf("read: %w", winch.ErrOutcomeUnknown)
)

func TestRetries(t *testing.T) {
	ok := stubResponse{status: 200, body: "answer"}
	streamResponse := stubResponse{status: 200, body: event(1)}
	cases := []struct {
		name   string
		path   string
		first  stubResponse
		second *stubResponse
		status int
	}{
		{"nothing was sent, once", "/once/x", stubResponse{err: errUnsent}, &ok, 200},
		{"connection lost, idempotent", "/safe/x", stubResponse{err: errLost}, &ok, 200},
		{"connection lost, once", "/once/x", stubResponse{err: errLost}, nil, 502},
		{"connection lost, stream", "/chat/x", stubResponse{err: errLost}, nil, 502},
		{"connection lost, resumable stream", "/plan/x", stubResponse{err: errLost}, &streamResponse, 200},
		{"refused by the endpoint, once", "/once/x", stubResponse{status: 503, notRun: true}, &ok, 200},
		{"address of another endpoint, once", "/once/x", stubResponse{status: 421, misdirected: true}, &ok, 200},
		{"error status, idempotent", "/safe/x", stubResponse{status: 500}, &ok, 200},
		{"error status, once", "/once/x", stubResponse{status: 500}, nil, 500},
		{"refusal status without the not-run mark, once", "/once/x", stubResponse{status: 503}, nil, 502},
		{"refusal status without the not-run mark, stream", "/chat/x", stubResponse{status: 429}, nil, 502},
		{"success without signature, once", "/once/x", stubResponse{status: 200, unsigned: true}, nil, 502},
		{"truncated body, once", "/once/x", stubResponse{status: 200, body: "ans", truncated: true}, nil, 502},
		{"truncated body, idempotent", "/safe/x", stubResponse{status: 200, body: "ans", truncated: true}, &ok, 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			responses := []stubResponse{c.first}
			if c.second != nil {
				responses = append(responses, *c.second)
			}
			ts := newTestServer(t, responses...)
			response := ts.post(c.path)
			assert.Equal(t, response.status, c.status, response.body)
			assert.Equal(t, len(ts.calls), len(responses))
			assert.Equal(t, len(ts.outcomes), len(responses), "each slot is released")
		})
	}
}

func TestRefusals(t *testing.T) {
	t.Run("state not run if no endpoint ran the request", func(t *testing.T) {
		ts := newTestServer(t, stubResponse{status: 503, notRun: true}, stubResponse{status: 503, notRun: true})
		response := ts.post("/once/x")
		assert.Equal(t, response.status, 503)
		assert.Assert(t, response.header.Get("X-Retry") != "")
	})
	t.Run("do not state not run if an earlier attempt may have run", func(t *testing.T) {
		ts := newTestServer(t, stubResponse{err: errLost}, stubResponse{status: 503, notRun: true})
		assert.Equal(t, ts.post("/safe/x").status, 502)
	})
	t.Run("by an endpoint that gets the request again are told from the answer to that", func(t *testing.T) {
		ts := newTestServer(t, stubResponse{status: 503, notRun: true}, stubResponse{status: 200, body: "answer"})
		ts.sameEndpoint = true
		assert.Equal(t, ts.post("/safe/x").status, 200)
		assert.Assert(t, !ts.calls[0].Again)
		assert.Assert(t, ts.calls[1].Again)
	})
	t.Run("by the dispatcher are passed to the caller", func(t *testing.T) {
		ts := newTestServer(t)
		ts.refusal = &winch.Refusal{Reason: winch.RefusedWait, RetryAfter: time.Second}
		response := ts.post("/once/x")
		assert.Equal(t, response.status, 429)
		assert.Equal(t, response.header.Get("X-Retry"), "1s")
	})
	t.Run("without a retry budget there is no second attempt", func(t *testing.T) {
		ts := newTestServer(t, stubResponse{err: errLost})
		ts.denyRetries = true
		assert.Equal(t, ts.post("/safe/x").status, 502)
	})
}

func TestTimeouts(t *testing.T) {
	never := make(chan struct{})
	t.Run("the endpoint receives the remaining time", func(t *testing.T) {
		ts := newTestServer(t, stubResponse{status: 200})
		ts.onAcquire = func() { time.Sleep(20 * time.Millisecond) }
		ts.post("/once/x", "X-Timeout", "500ms")
		assert.Assert(t, ts.calls[0].Timeout <= 480*time.Millisecond && ts.calls[0].Timeout > 300*time.Millisecond, "%s", ts.calls[0].Timeout)
	})
	t.Run("the timeout of the route applies", func(t *testing.T) {
		ts := newTestServer(t, stubResponse{status: 200, waitFor: never})
		ts.change(func(c *winch.Configuration) { c.Forwards[1].Timeout = 50 * time.Millisecond })
		started := time.Now()
		assert.Equal(t, ts.post("/once/x").status, 504)
		assert.Assert(t, time.Since(started) < 500*time.Millisecond)
	})
	t.Run("a slow idempotent attempt is cancelled and retried", func(t *testing.T) {
		ts := newTestServer(t, stubResponse{status: 200, waitFor: never}, stubResponse{status: 200, body: "answer"})
		assert.Equal(t, ts.post("/safe/x").body, "answer")
	})
}

func TestCallerLeaves(t *testing.T) {
	cases := []struct {
		path      string
		outcome   winch.Outcome
		completes bool
	}{
		{path: "/safe/x", outcome: winch.OutcomeCancelled},
		{path: "/chat/x", outcome: winch.OutcomeCancelled},
		{path: "/once/x", outcome: winch.OutcomeDone, completes: true},
	}
	for _, c := range cases {
		t.Run(c.path, func(t *testing.T) {
			finish := make(chan struct{})
			ts := newTestServer(t, stubResponse{status: 200, body: event(1), waitFor: finish})
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					ts.mu.Lock()
					defer ts.mu.Unlock()
					if len(ts.calls) == 0 {
						return poll.Continue("no call yet")
					}
					return poll.Success()
				})
				cancel()
			}()
			ts.postContext(ctx, c.path)
			if c.completes {
				close(finish)
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				ts.mu.Lock()
				defer ts.mu.Unlock()
				if len(ts.outcomes) == 0 {
					return poll.Continue("the slot is not released yet")
				}
				return poll.Success()
			})
			assert.Equal(t, ts.outcomes[0], c.outcome)
		})
	}
}

func TestDrain(t *testing.T) {
	t.Run("finishes open requests and accepts new ones during the readiness delay", func(t *testing.T) {
		finish := make(chan struct{})
		ts := newTestServer(t, stubResponse{status: 200, body: "answer", waitFor: finish}, stubResponse{status: 200})
		ts.server.options.Limits.ReadinessDelay = 100 * time.Millisecond
		response := make(chan result)
		go func() { response <- ts.post("/once/x") }()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if ts.server.Open() == 0 {
				return poll.Continue("the request is not open yet")
			}
			return poll.Success()
		})
		drained := make(chan error)
		go func() { drained <- ts.server.Drain(t.Context()) }()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if !ts.server.Draining() {
				return poll.Continue("the shutdown has not begun")
			}
			return poll.Success()
		})
		assert.Assert(t, ts.post("/safe/x").closesConnection)
		close(finish)
		assert.Equal(t, (<-response).body, "answer")
		assert.NilError(t, <-drained)
		assert.Equal(t, ts.post("/safe/x").status, 503)
	})
}

func TestErrorResponseIsNoFirstToken(t *testing.T) {
	for status, want := range map[int]int{http.StatusOK: 1, http.StatusNotFound: 0, http.StatusInternalServerError: 0} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			ts := newTestServer(t, stubResponse{status: status, body: "x"})
			assert.Equal(t, ts.post("/once/x").status, status)
			assert.Equal(t, ts.firstTokens, want)
			assert.Equal(t, len(ts.usage), 1, "the endpoint has run it in each case")
		})
	}
}

func TestEndpointSpeaksForItselfInEachResponse(t *testing.T) {
	named := winch.RateWord{Known: true, Limited: true, Rate: 1.5}
	for name, c := range map[string]struct {
		path     string
		response stubResponse
		want     winch.EndpointWord
	}{
		"success":            {"/safe/x", stubResponse{status: 200, leaving: true}, winch.EndpointWord{Endpoint: "e0", Request: "r1", Leaving: true}},
		"error":              {"/once/x", stubResponse{status: 500, leaving: true}, winch.EndpointWord{Endpoint: "e0", Request: "r1", Leaving: true}},
		"stream that breaks": {"/chat/x", stubResponse{status: 200, body: event(1), truncated: true, leaving: true}, winch.EndpointWord{Endpoint: "e0", Request: "r1", Leaving: true}},
		"refusal":            {"/safe/open/", stubResponse{status: 503, notRun: true, restsFor: time.Second}, winch.EndpointWord{Endpoint: "e0", Request: "r1", RestsFor: time.Second}},
		"rate":               {"/safe/x", stubResponse{status: 200, rate: named}, winch.EndpointWord{Endpoint: "e0", Request: "r1", Rate: named}},
	} {
		t.Run(name, func(t *testing.T) {
			ts := newTestServer(t, c.response)
			before := time.Now()
			ts.post(c.path)
			assert.Equal(t, len(ts.words), 1)
			said := ts.words[0]
			assert.Assert(t, !said.SentAt.Before(before) && !said.SentAt.After(time.Now()), "%s", said.SentAt)
			said.SentAt = time.Time{}
			assert.DeepEqual(t, said, c.want)
		})
	}
}

func TestRequestIsNotSentToAnEndpointEvacuatedAfterTheGrant(t *testing.T) {
	for _, path := range []string{"/safe/1", "/once/1", "/chat/1"} {
		t.Run(path, func(t *testing.T) {
			ts := newTestServer(t, stubResponse{status: 200, body: "ok"})
			ts.evacuate = 2
			ts.post(path)
			assert.Equal(t, len(ts.works), 3, "another slot is acquired each time")
			assert.Equal(t, len(ts.calls), 1)
			assert.DeepEqual(t, ts.outcomes[:2], []winch.Outcome{winch.OutcomeCancelled, winch.OutcomeCancelled})
		})
	}
}
