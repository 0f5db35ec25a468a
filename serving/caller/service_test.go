package caller

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/internal/runstate"
)

// fakeService is a plain service that counts the calls that it executes.
type fakeService struct {
	server   *httptest.Server
	executed atomic.Int64
	headers  atomic.Pointer[http.Header]
	path     atomic.Pointer[string]
	// breakConnection closes the connection after the call was executed, without a response.
	breakConnection atomic.Bool
	// holdResponse delays the response until the channel is closed.
	holdResponse atomic.Pointer[chan struct{}]
	// status and body make up the response.
	status int
	body   string
}

func newFakeService(t *testing.T) *fakeService {
	t.Helper()
	s := &fakeService{status: 200, body: `{"confirmed":true}`}
	s.server = httptest.NewServer(s)
	t.Cleanup(s.server.Close)
	return s
}

func (s *fakeService) endpoint(id winch.EndpointID) winch.Endpoint {
	return winch.Endpoint{ID: id, Kind: winch.EndpointService, Address: strings.TrimPrefix(s.server.URL, "http://")}
}

func (s *fakeService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header, path := r.Header.Clone(), r.URL.RequestURI()
	s.headers.Store(&header)
	s.path.Store(&path)
	if s.status != http.StatusServiceUnavailable {
		s.executed.Add(1)
	}
	if hold := s.holdResponse.Load(); hold != nil {
		<-*hold
	}
	if s.breakConnection.Load() {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			conn.Close()
		}
		return
	}
	w.Header().Set("Set-Cookie", "session=1")
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(s.status)
	_, _ = w.Write([]byte(s.body))
}

// fakeClaims keeps claims in memory.
type fakeClaims struct {
	mutex sync.Mutex
	known map[winch.IdempotencyKey]winch.Claim
	hash  map[winch.IdempotencyKey][32]byte
	err   error
}

func newFakeClaims() *fakeClaims {
	return &fakeClaims{known: map[winch.IdempotencyKey]winch.Claim{}, hash: map[winch.IdempotencyKey][32]byte{}}
}

func (c *fakeClaims) Acquire(_ context.Context, _ time.Time, request winch.ClaimRequest) (winch.Claim, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.err != nil {
		return winch.Claim{}, c.err
	}
	claim, found := c.known[request.Key]
	switch {
	case !found:
		c.known[request.Key], c.hash[request.Key] = winch.Claim{State: winch.ClaimPending}, request.BodyHash
		return winch.Claim{State: winch.ClaimGranted}, nil
	case c.hash[request.Key] != request.BodyHash:
		return winch.Claim{State: winch.ClaimMismatch}, nil
	}
	return claim, nil
}

func (c *fakeClaims) Finish(_ context.Context, _ time.Time, request winch.ClaimRequest, result winch.Claim) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.known[request.Key] = result
	return nil
}

func (c *fakeClaims) Abandon(_ context.Context, _ time.Time, request winch.ClaimRequest) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.known, request.Key)
	return nil
}

func (c *fakeClaims) state(key winch.IdempotencyKey) (winch.ClaimState, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	claim, found := c.known[key]
	return claim.State, found
}

func assertExecuted(t *testing.T, s *fakeService, want int64) {
	t.Helper()
	assert.Equal(t, s.executed.Load(), want)
}

func TestServiceCall(t *testing.T) {
	backend := newFakeService(t)
	server := newTestServer(t, nil, backend.endpoint("s1"))
	// The empty Idempotency-Key sends none.
	got := server.send(t, "POST", "/services/booking/holds/7%2F8?day=2", `{"hire":1}`,
		"Cookie", "c=1", "X-Forwarded-For", "10.0.0.1", "Idempotency-Key", "", "Traceparent", "00-1-2-01")
	t.Run("response is passed on", func(t *testing.T) {
		assert.Equal(t, got.StatusCode, 200)
		assert.Equal(t, got.body, backend.body)
		assert.Equal(t, got.Header.Get("X-Run-State"), "ran")
		assert.Equal(t, got.Header.Get("Set-Cookie"), "")
	})
	t.Run("path and query are passed on", func(t *testing.T) {
		assert.Equal(t, *backend.path.Load(), "/holds/7%2F8?day=2")
	})
	t.Run("the caller's secrets are not passed on", func(t *testing.T) {
		header := *backend.headers.Load()
		assert.Equal(t, header.Get("Authorization"), "Bearer ours")
		for _, name := range []string{"Cookie", "X-Forwarded-For"} {
			assert.Equal(t, header.Get(name), "")
		}
		assert.Equal(t, header.Get("Traceparent"), "00-1-2-01")
		assert.Equal(t, header.Get("X-Request-Id"), got.Header.Get("X-Request-Id"))
	})
}

func TestAtMostOnce(t *testing.T) {
	t.Run("a non-repeatable call whose connection breaks is not sent again", func(t *testing.T) {
		backend := newFakeService(t)
		backend.breakConnection.Store(true)
		server := newTestServer(t, nil, backend.endpoint("s1"), backend.endpoint("s2"))
		got := server.send(t, "POST", "/services/booking/holds", `{}`)
		assertError(t, got, 502, "outcome_unknown", runstate.Unknown)
		assertExecuted(t, backend, 1)
	})
	t.Run("an idempotent call whose connection breaks is sent to another endpoint", func(t *testing.T) {
		broken, healthy := newFakeService(t), newFakeService(t)
		broken.breakConnection.Store(true)
		server := newTestServer(t, nil, broken.endpoint("s1"), healthy.endpoint("s2"))
		assert.Equal(t, server.send(t, "GET", "/services/stock/7", "").StatusCode, 200)
		assertExecuted(t, healthy, 1)
	})
	t.Run("an idempotent call is not sent again without retry budget", func(t *testing.T) {
		broken := newFakeService(t)
		broken.breakConnection.Store(true)
		server := newTestServer(t, nil, broken.endpoint("s1"), broken.endpoint("s2"))
		server.dispatcher.retryBudget = 0
		got := server.send(t, "GET", "/services/stock/7", "")
		assertError(t, got, 503, "retry_budget", runstate.Unknown)
		assertExecuted(t, broken, 1)
	})
	t.Run("a call to an unreachable endpoint is sent to another", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		absent := winch.Endpoint{ID: "s0", Kind: winch.EndpointService, Address: listener.Addr().String()}
		assert.NilError(t, listener.Close())
		backend := newFakeService(t)
		server := newTestServer(t, nil, absent, backend.endpoint("s2"))
		assert.Equal(t, server.send(t, "POST", "/services/booking/holds", `{}`).StatusCode, 200)
		assertExecuted(t, backend, 1)
		assert.DeepEqual(t, server.dispatcher.slot(0).outcomes(), []winch.Outcome{winch.OutcomeUnsent})
	})
	t.Run("a call refused by an overloaded endpoint is sent to another", func(t *testing.T) {
		overloaded, backend := newFakeService(t), newFakeService(t)
		overloaded.status, overloaded.body = 503, `{"Code":"overloaded","Message":"full"}`
		server := newTestServer(t, nil, overloaded.endpoint("s1"), backend.endpoint("s2"))
		assert.Equal(t, server.send(t, "POST", "/services/booking/holds", `{}`).StatusCode, 200)
		assertExecuted(t, backend, 1)
		assert.DeepEqual(t, server.dispatcher.slot(0).outcomes(), []winch.Outcome{winch.OutcomeRejected})
	})
	t.Run("a call refused by all endpoints is not run and gets Retry-After", func(t *testing.T) {
		overloaded := newFakeService(t)
		overloaded.status, overloaded.body = 503, `{"Code":"overloaded","Message":"full"}`
		server := newTestServer(t, nil, overloaded.endpoint("s1"))
		got := server.send(t, "POST", "/services/booking/holds", `{}`)
		assertError(t, got, 503, "no_endpoint", runstate.NotRun)
		assert.Equal(t, got.Header.Get("Retry-After"), "2")
	})
}

func TestIdempotencyKey(t *testing.T) {
	start := func(t *testing.T) (*testServer, *fakeService, *fakeClaims) {
		t.Helper()
		backend, claims := newFakeService(t), newFakeClaims()
		return newTestServer(t, func(o *Options) { o.Claims = claims }, backend.endpoint("s1")), backend, claims
	}
	post := func(t *testing.T, server *testServer, body string) testResponse {
		t.Helper()
		return server.send(t, "POST", "/services/booking/holds", body, "Idempotency-Key", "k")
	}
	t.Run("a repeated call gets the first response", func(t *testing.T) {
		server, backend, _ := start(t)
		first := post(t, server, `{}`)
		second := post(t, server, `{}`)
		assert.Equal(t, second.body, first.body)
		assert.Equal(t, second.Header.Get("X-Idempotent-Replay"), "true")
		assertExecuted(t, backend, 1)
	})
	t.Run("a different call with the same key is a mismatch", func(t *testing.T) {
		server, backend, _ := start(t)
		post(t, server, `{}`)
		assertError(t, post(t, server, `{"other":1}`), 422, "idempotency_mismatch", runstate.NotRun)
		assertExecuted(t, backend, 1)
	})
	t.Run("after a lost response the outcome stays unknown", func(t *testing.T) {
		server, backend, _ := start(t)
		backend.breakConnection.Store(true)
		assertError(t, post(t, server, `{}`), 502, "outcome_unknown", runstate.Unknown)
		backend.breakConnection.Store(false)
		assertError(t, post(t, server, `{}`), 502, "outcome_unknown", runstate.Unknown)
		assertExecuted(t, backend, 1)
	})
	t.Run("a call is refused and not run while claims are unavailable", func(t *testing.T) {
		server, backend, claims := start(t)
		claims.err = winch.ErrUnavailable
		got := post(t, server, `{}`)
		assertError(t, got, 503, "claims_unavailable", runstate.NotRun)
		assert.Equal(t, got.Header.Get("Retry-After"), "1")
		assertExecuted(t, backend, 0)
	})
	t.Run("a call is finished after its caller disconnects, and a repeated call gets the response", func(t *testing.T) {
		server, backend, claims := start(t)
		hold := make(chan struct{})
		backend.holdResponse.Store(&hold)
		ctx, cancel := context.WithCancel(t.Context())
		request, err := http.NewRequestWithContext(ctx, "POST", server.httpServer.URL+"/services/booking/holds", strings.NewReader(`{}`))
		assert.NilError(t, err)
		request.Header.Set("Authorization", "Bearer "+testSecret)
		request.Header.Set("Idempotency-Key", "k")
		go func() {
			pollUntil(func() bool { return backend.executed.Load() == 1 })
			cancel()
		}()
		_, err = server.httpServer.Client().Do(request)
		assert.ErrorIs(t, err, context.Canceled)
		close(hold)
		waitUntil(t, "claim is finished", func() bool { state, _ := claims.state("k"); return state == winch.ClaimFinished })
		assert.Equal(t, post(t, server, `{}`).Header.Get("X-Idempotent-Replay"), "true")
		assertExecuted(t, backend, 1)
	})
	t.Run("a refused call releases its claim", func(t *testing.T) {
		server, backend, claims := start(t)
		backend.status, backend.body = 503, `{"Code":"overloaded","Message":"full"}`
		assertError(t, post(t, server, `{}`), 503, "no_endpoint", runstate.NotRun)
		_, found := claims.state("k")
		assert.Assert(t, !found)
	})
}
