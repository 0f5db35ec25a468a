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
	"github.com/arbutuswinch/winch/serving/internal/ledger"
)

// fakeService counts the calls that it executes.
type fakeService struct {
	server   *httptest.Server
	executed atomic.Int64
	headers  atomic.Pointer[http.Header]
	path     atomic.Pointer[string]
	// cut breaks the connection off after the call was executed.
	cut atomic.Bool
	// hold delays the answer until it is closed.
	hold atomic.Pointer[chan struct{}]
	// status and body are the answer.
	status int
	body   string
}

func newService(t *testing.T) *fakeService {
	t.Helper()
	f := &fakeService{status: 200, body: `{"confirmed":true}`}
	f.server = httptest.NewServer(f)
	t.Cleanup(f.server.Close)
	return f
}

func (f *fakeService) endpoint(id winch.EndpointID) winch.Endpoint {
	return winch.Endpoint{ID: id, Kind: winch.EndpointService, Address: strings.TrimPrefix(f.server.URL, "http://")}
}

func (f *fakeService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header, path := r.Header.Clone(), r.URL.RequestURI()
	f.headers.Store(&header)
	f.path.Store(&path)
	if f.status != http.StatusServiceUnavailable {
		f.executed.Add(1)
	}
	if hold := f.hold.Load(); hold != nil {
		<-*hold
	}
	if f.cut.Load() {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			conn.Close()
		}
		return
	}
	w.Header().Set("Set-Cookie", "session=1")
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(f.status)
	_, _ = w.Write([]byte(f.body))
}

// fakeClaims keeps claims in memory.
type fakeClaims struct {
	mutex sync.Mutex
	known map[winch.IdempotencyKey]winch.Claim
	hash  map[winch.IdempotencyKey][32]byte
	err   error
}

func newClaims() *fakeClaims {
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

func (c *fakeClaims) Finish(_ context.Context, _ time.Time, request winch.ClaimRequest, answer winch.Claim) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.known[request.Key] = answer
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

func assertExecuted(t *testing.T, f *fakeService, want int64) {
	t.Helper()
	assert.Equal(t, f.executed.Load(), want)
}

func TestServiceCall(t *testing.T) {
	desk := newService(t)
	b := newBench(t, nil, desk.endpoint("s1"))
	got := b.send(t, "POST", "/services/booking/holds/7%2F8?day=2", `{"hire":1}`,
		"Cookie", "c=1", "X-Forwarded-For", "10.0.0.1", "Idempotency-Key", "", "Traceparent", "00-1-2-01")
	t.Run("answer is passed on", func(t *testing.T) {
		assert.Equal(t, got.StatusCode, 200)
		assert.Equal(t, got.body, desk.body)
		assert.Equal(t, got.Header.Get("X-Run-State"), "ran")
		assert.Equal(t, got.Header.Get("Set-Cookie"), "")
	})
	t.Run("path and query are passed on", func(t *testing.T) {
		assert.Equal(t, *desk.path.Load(), "/holds/7%2F8?day=2")
	})
	t.Run("the caller's secrets are not", func(t *testing.T) {
		header := *desk.headers.Load()
		assert.Equal(t, header.Get("Authorization"), "Bearer ours")
		for _, name := range []string{"Cookie", "X-Forwarded-For"} {
			assert.Equal(t, header.Get(name), "")
		}
		assert.Equal(t, header.Get("Traceparent"), "00-1-2-01")
		assert.Equal(t, header.Get("X-Request-Id"), got.Header.Get("X-Request-Id"))
	})
}

func TestAtMostOnce(t *testing.T) {
	t.Run("a call that breaks off is not sent again", func(t *testing.T) {
		desk := newService(t)
		desk.cut.Store(true)
		b := newBench(t, nil, desk.endpoint("s1"), desk.endpoint("s2"))
		got := b.send(t, "POST", "/services/booking/holds", `{}`)
		assertFault(t, got, 502, "outcome_unknown", ledger.Unknown)
		assertExecuted(t, desk, 1)
	})
	t.Run("an idempotent one is, at another endpoint", func(t *testing.T) {
		broken, sound := newService(t), newService(t)
		broken.cut.Store(true)
		b := newBench(t, nil, broken.endpoint("s1"), sound.endpoint("s2"))
		assert.Equal(t, b.send(t, "GET", "/services/stock/7", "").StatusCode, 200)
		assertExecuted(t, sound, 1)
	})
	t.Run("an idempotent one is not, without retry budget", func(t *testing.T) {
		broken := newService(t)
		broken.cut.Store(true)
		b := newBench(t, nil, broken.endpoint("s1"), broken.endpoint("s2"))
		b.dispatcher.retries = 0
		got := b.send(t, "GET", "/services/stock/7", "")
		assertFault(t, got, 503, "retry_budget", ledger.Unknown)
		assertExecuted(t, broken, 1)
	})
	t.Run("an endpoint that is not there never saw the call", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		absent := winch.Endpoint{ID: "s0", Kind: winch.EndpointService, Address: listener.Addr().String()}
		assert.NilError(t, listener.Close())
		desk := newService(t)
		b := newBench(t, nil, absent, desk.endpoint("s2"))
		assert.Equal(t, b.send(t, "POST", "/services/booking/holds", `{}`).StatusCode, 200)
		assertExecuted(t, desk, 1)
		assert.DeepEqual(t, b.dispatcher.slot(0).outcomes(), []winch.Outcome{winch.OutcomeUnsent})
	})
	t.Run("an overloaded endpoint did not run the call", func(t *testing.T) {
		full, desk := newService(t), newService(t)
		full.status, full.body = 503, `{"Code":"overloaded","Message":"full"}`
		b := newBench(t, nil, full.endpoint("s1"), desk.endpoint("s2"))
		assert.Equal(t, b.send(t, "POST", "/services/booking/holds", `{}`).StatusCode, 200)
		assertExecuted(t, desk, 1)
		assert.DeepEqual(t, b.dispatcher.slot(0).outcomes(), []winch.Outcome{winch.OutcomeRejected})
	})
	t.Run("a refusal everywhere is not run, with the time to come back", func(t *testing.T) {
		full := newService(t)
		full.status, full.body = 503, `{"Code":"overloaded","Message":"full"}`
		b := newBench(t, nil, full.endpoint("s1"))
		got := b.send(t, "POST", "/services/booking/holds", `{}`)
		assertFault(t, got, 503, "no_endpoint", ledger.NotRun)
		assert.Equal(t, got.Header.Get("Retry-After"), "2")
	})
}

func TestIdempotencyKey(t *testing.T) {
	start := func(t *testing.T) (*bench, *fakeService, *fakeClaims) {
		t.Helper()
		desk, claims := newService(t), newClaims()
		return newBench(t, func(o *Options) { o.Claims = claims }, desk.endpoint("s1")), desk, claims
	}
	post := func(t *testing.T, b *bench, body string) answered {
		t.Helper()
		return b.send(t, "POST", "/services/booking/holds", body, "Idempotency-Key", "k")
	}
	t.Run("a repeat gets the first answer", func(t *testing.T) {
		b, desk, _ := start(t)
		first := post(t, b, `{}`)
		second := post(t, b, `{}`)
		assert.Equal(t, second.body, first.body)
		assert.Equal(t, second.Header.Get("X-Idempotent-Replay"), "true")
		assertExecuted(t, desk, 1)
	})
	t.Run("a different call is a mismatch", func(t *testing.T) {
		b, desk, _ := start(t)
		post(t, b, `{}`)
		assertFault(t, post(t, b, `{"other":1}`), 422, "idempotency_mismatch", ledger.NotRun)
		assertExecuted(t, desk, 1)
	})
	t.Run("after a lost answer the outcome stays unknown", func(t *testing.T) {
		b, desk, _ := start(t)
		desk.cut.Store(true)
		assertFault(t, post(t, b, `{}`), 502, "outcome_unknown", ledger.Unknown)
		desk.cut.Store(false)
		assertFault(t, post(t, b, `{}`), 502, "outcome_unknown", ledger.Unknown)
		assertExecuted(t, desk, 1)
	})
	t.Run("without the platform the call is refused and not run", func(t *testing.T) {
		b, desk, claims := start(t)
		claims.err = winch.ErrUnavailable
		got := post(t, b, `{}`)
		assertFault(t, got, 503, "claims_unavailable", ledger.NotRun)
		assert.Equal(t, got.Header.Get("Retry-After"), "1")
		assertExecuted(t, desk, 0)
	})
	t.Run("a call whose caller leaves is finished, and the repeat gets its answer", func(t *testing.T) {
		b, desk, claims := start(t)
		hold := make(chan struct{})
		desk.hold.Store(&hold)
		ctx, leave := context.WithCancel(t.Context())
		request, err := http.NewRequestWithContext(ctx, "POST", b.front.URL+"/services/booking/holds", strings.NewReader(`{}`))
		assert.NilError(t, err)
		request.Header.Set("Authorization", "Bearer "+testSecret)
		request.Header.Set("Idempotency-Key", "k")
		go func() {
			eventually(func() bool { return desk.executed.Load() == 1 })
			leave()
		}()
		_, err = b.front.Client().Do(request)
		assert.ErrorIs(t, err, context.Canceled)
		close(hold)
		until(t, "claim is finished", func() bool { state, _ := claims.state("k"); return state == winch.ClaimFinished })
		assert.Equal(t, post(t, b, `{}`).Header.Get("X-Idempotent-Replay"), "true")
		assertExecuted(t, desk, 1)
	})
	t.Run("a refused call gives its claim back", func(t *testing.T) {
		b, desk, claims := start(t)
		desk.status, desk.body = 503, `{"Code":"overloaded","Message":"full"}`
		assertFault(t, post(t, b, `{}`), 503, "no_endpoint", ledger.NotRun)
		_, found := claims.state("k")
		assert.Assert(t, !found)
	})
}
