package forward

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

const (
	testModel winch.ModelID        = "pool"
	dealer    winch.OrganisationID = "dealer"
	secret                         = "dealer-secret"
)

// configuration returns a configuration with a route of each kind. By prefix:
//
//	/safe/       idempotent requests
//	/once/       requests that may run only once
//	/chat/       streams that may not be resumed
//	/plan/       streams that may be resumed
//	/safe/open/  idempotent requests that need no key
func configuration() *winch.Configuration {
	class := func(id winch.ClassID) map[winch.Grade]winch.ClassID {
		return map[winch.Grade]winch.ClassID{winch.NoGrade: id}
	}
	targets := []winch.ForwardTarget{{Model: testModel, Weight: 1}}
	hash := winch.HashKey(secret)
	return &winch.Configuration{
		Revision:      7,
		Organisations: map[winch.OrganisationID]winch.Organisation{dealer: {ID: dealer}},
		Keys:          map[winch.KeyID]winch.Key{"k": {ID: "k", Organisation: dealer, Hash: hash}},
		Classes: map[winch.ClassID]winch.Class{
			"quick": {ID: "quick", Tier: 1, FirstTokenTarget: 100 * time.Millisecond, Models: []winch.ModelID{testModel}},
		},
		Forwards: []winch.Forward{
			{ID: "safe", Host: "a.example", Prefix: "/safe/", Kind: winch.ForwardIdempotent, MaxAttempts: 2, Timeout: 2 * time.Second, Targets: targets, Classes: class("quick")},
			{ID: "once", Host: "a.example", Prefix: "/once/", Kind: winch.ForwardOnce, MaxAttempts: 2, Timeout: 2 * time.Second, Targets: targets, Classes: class("quick")},
			{ID: "chat", Host: "a.example", Prefix: "/chat/", Kind: winch.ForwardStream, MaxAttempts: 2, Timeout: 2 * time.Second, Targets: targets, Classes: class("quick")},
			{ID: "plan", Host: "a.example", Prefix: "/plan/", Kind: winch.ForwardStream, Resumable: true, MaxAttempts: 2, Timeout: 2 * time.Second, Targets: targets, Classes: class("quick")},
			{ID: "open", Host: "a.example", Prefix: "/safe/open/", Kind: winch.ForwardIdempotent, Open: true, MaxAttempts: 1, Timeout: time.Second, Targets: targets, Classes: class("quick")},
		},
	}
}

// testServer runs a Server and implements all of its dependencies as fakes.
type testServer struct {
	t          *testing.T
	server     *Server
	httpServer *httptest.Server

	mu            sync.Mutex
	configuration *winch.Configuration
	confirmed     time.Time
	superseded    bool
	// responses are returned by the endpoints in this order.
	responses []stubResponse
	calls     []winch.ForwardCall
	// onAcquire is called before each slot is granted.
	onAcquire   func()
	refusal     *winch.Refusal
	denyRetries bool
	// sameEndpoint grants all slots at one endpoint.
	sameEndpoint bool
	usage        []winch.UsageRecord
	// quarantined refuses all requests, noRetries only their retries. answered and broken count the reports to the quarantine.
	quarantined bool
	noRetries   bool
	answered    int
	broken      int
	outcomes    []winch.Outcome
	firstTokens int
	words       []winch.EndpointWord
	origins     *fakeOrigins
	// starts are the start times that the endpoints tell, in this order; further ones tell none.
	starts []time.Time
	// onStart is called before each of these, with the lock held.
	onStart func()
	// software are the versions of the endpoints of the next slots.
	software []winch.SoftwareVersion
	// works are the requests for a slot.
	works []winch.Work
}

// stubResponse is the reaction of an endpoint to a call.
type stubResponse struct {
	status      int
	body        string
	reader      io.Reader // the body, if it is set
	err         error
	truncated   bool // the read fails after the body
	notRun      bool
	unsigned    bool
	misdirected bool
	leaving     bool
	restsFor    time.Duration
	rate        winch.RateWord
	// waitFor delays the response until the channel is closed.
	waitFor <-chan struct{}
}

func newTestServer(t *testing.T, responses ...stubResponse) *testServer {
	t.Helper()
	ts := &testServer{t: t, configuration: configuration(), confirmed: time.Now(), responses: responses,
		origins: &fakeOrigins{known: map[winch.RequestID]winch.StreamOrigin{}, version: "v1"},
	}
	server, err := New(Options{
		Configurations: ts, Dispatcher: ts, Protocol: headerProtocol{}, Sender: ts, Usage: ts, Loads: ts, Listener: ts, Quarantine: ts, Origins: ts.origins, Clock: ts,
		Logger: hclog.NewNullLogger(), Limits: Limits{ReadinessDelay: 10 * time.Millisecond},
	})
	assert.NilError(t, err)
	ts.server, ts.httpServer = server, httptest.NewServer(server.Handler())
	t.Cleanup(ts.httpServer.Close)
	return ts
}

func (ts *testServer) Now() time.Time { return time.Now() }

func (ts *testServer) Current() *winch.Configuration {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.configuration
}

func (ts *testServer) ConfirmedAt() time.Time {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.confirmed
}

func (ts *testServer) Superseded(time.Time) bool {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.superseded
}

func (ts *testServer) Authority(time.Time) winch.Authority { return winch.AuthorityFull }
func (ts *testServer) Changed() <-chan struct{}            { return nil }

func (ts *testServer) Authorize(_ time.Time, hash winch.KeyHash) (winch.Key, error) {
	for _, key := range ts.Current().Keys {
		if key.Hash == hash {
			return key, nil
		}
	}
	return winch.Key{}, winch.ErrUnauthorized
}

func (ts *testServer) change(mutate func(c *winch.Configuration)) {
	changed := configuration()
	mutate(changed)
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.configuration = changed
}

func (ts *testServer) Acquire(_ context.Context, _ time.Time, work winch.Work) (winch.Slot, error) {
	if ts.onAcquire != nil {
		ts.onAcquire()
	}
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if ts.refusal != nil {
		return nil, ts.refusal
	}
	ts.works = append(ts.works, work)
	if len(ts.software) > 0 {
		slot := &fakeSlot{server: ts, id: winch.EndpointID(fmt.Sprintf("e%d", len(work.Excluded))), software: ts.software[0]}
		ts.software = ts.software[1:]
		return slot, nil
	}
	if ts.sameEndpoint {
		return &fakeSlot{server: ts, id: "e0", software: "v1"}, nil
	}
	// A stream goes on at an endpoint of the version that it needs, other requests go to one whose version names it.
	id := winch.EndpointID(fmt.Sprintf("e%d", len(work.Excluded)))
	return &fakeSlot{server: ts, id: id, software: cmp.Or(work.Software, winch.SoftwareVersion("v-"+id))}, nil
}

func (ts *testServer) Retry(time.Time, winch.Work) bool { return !ts.denyRetries }

func (ts *testServer) Record(_ time.Time, record winch.UsageRecord) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.usage = append(ts.usage, record)
}

func (ts *testServer) Admit(time.Time, *winch.ForwardRequest) bool { return !ts.quarantined }

func (ts *testServer) MayRetry(*winch.ForwardRequest) bool { return !ts.noRetries }

func (ts *testServer) ObserveOutput(time.Time, *winch.ForwardRequest) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.answered++
}

func (ts *testServer) ObserveBreak(_, _ time.Time, _ winch.Endpoint, _ *winch.ForwardRequest) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.broken++
}

// fakeOrigins remembers the origins of streams. Those that it does not know began at version, unless that is empty.
type fakeOrigins struct {
	mu      sync.Mutex
	known   map[winch.RequestID]winch.StreamOrigin
	version winch.SoftwareVersion
	// confirm is set if endpoints should be asked whether they are still the runs that were listed.
	confirm bool
}

func (f *fakeOrigins) Record(stream winch.RequestID, origin winch.StreamOrigin) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known[stream] = origin
	return f.confirm && origin.Software != ""
}

func (f *fakeOrigins) Find(_ context.Context, _ time.Time, stream winch.RequestID, model winch.ModelID) (winch.FoundOrigin, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if origin, found := f.known[stream]; found {
		return winch.FoundOrigin{StreamOrigin: origin, Source: winch.OriginRecorded}, nil
	}
	if f.version == "" {
		return winch.FoundOrigin{Source: winch.OriginUnknown, MayBeKnownLater: stream != ""}, winch.ErrOriginUnknown
	}
	return winch.FoundOrigin{StreamOrigin: winch.StreamOrigin{Model: model, Software: f.version}, Source: winch.OriginOnlyVersion, SingleVersion: true}, nil
}

func (ts *testServer) ObserveWord(_, _ time.Time, word winch.EndpointWord) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if word.Leaving || word.RestsFor > 0 || word.Rate.Limited {
		ts.words = append(ts.words, word)
	}
}

func (ts *testServer) ObserveLoad(time.Time, winch.LoadReport)  {}
func (ts *testServer) ObserveCache(time.Time, winch.CacheEvent) {}

type fakeSlot struct {
	server   *testServer
	id       winch.EndpointID
	software winch.SoftwareVersion
}

func (s *fakeSlot) Endpoint() winch.Endpoint {
	return winch.Endpoint{ID: s.id, Kind: winch.EndpointEngine, Software: s.software}
}
func (s *fakeSlot) StartedAt() time.Time           { return listedStart }
func (s *fakeSlot) Preempted() <-chan struct{}     { return nil }
func (s *fakeSlot) Restarted(time.Time)            {}
func (s *fakeSlot) Tokens(time.Time, winch.Tokens) {}

func (s *fakeSlot) FirstToken(time.Time) {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	s.server.firstTokens++
}

func (s *fakeSlot) Release(_ time.Time, outcome winch.Outcome) {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	s.server.outcomes = append(s.server.outcomes, outcome)
}

// listedStart is when the endpoints of testServer started, as listed.
var listedStart = time.UnixMilli(5000)

func (ts *testServer) StartedAt(context.Context, winch.Endpoint) (time.Time, error) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if len(ts.starts) == 0 {
		return time.Time{}, nil
	}
	started := ts.starts[0]
	ts.starts = ts.starts[1:]
	if ts.onStart != nil {
		ts.onStart()
	}
	return started, nil
}

var errBroken = errors.New("connection reset")

func (ts *testServer) Forward(ctx context.Context, _ winch.Endpoint, call winch.ForwardCall) (*winch.ForwardReply, error) {
	ts.mu.Lock()
	ts.calls = append(ts.calls, call)
	assert.Assert(ts.t, len(ts.calls) <= len(ts.responses), "unexpected call")
	next := ts.responses[len(ts.calls)-1]
	ts.mu.Unlock()
	if next.waitFor != nil {
		select {
		case <-next.waitFor:
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", winch.ErrOutcomeUnknown, ctx.Err())
		}
	}
	if next.err != nil {
		return nil, next.err
	}
	body := io.Reader(strings.NewReader(next.body))
	if next.reader != nil {
		body = next.reader
	}
	if next.truncated {
		body = io.MultiReader(body, failingReader{})
	}
	return &winch.ForwardReply{
		Status: next.status, Header: http.Header{"X-Signature": {"s"}}, Body: io.NopCloser(body), Authentic: !next.unsigned,
		NotExecuted: next.notRun || next.misdirected, Misdirected: next.misdirected,
		Leaving: next.leaving, RestsFor: next.restsFor, Rate: next.rate,
	}, nil
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errBroken }

// headerProtocol is a minimal caller protocol that consists of a few headers.
type headerProtocol struct{}

func (headerProtocol) Decode(r *http.Request) (*winch.ForwardRequest, error) {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	request := &winch.ForwardRequest{
		ID: winch.RequestID(r.Header.Get("X-Id")), Host: r.Host, Target: r.RequestURI, Path: path, Method: r.Method,
		Secret: r.Header.Get("X-Key"), Header: http.Header{},
	}
	if text := r.Header.Get("X-Last"); text != "" {
		last, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return request, fmt.Errorf("X-Last: %w", winch.ErrInvalid)
		}
		request.LastEvent = last
	}
	request.Resumes = winch.RequestID(r.Header.Get("X-Resumes"))
	if text := r.Header.Get("X-Timeout"); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil {
			return request, fmt.Errorf("X-Timeout: %w", winch.ErrInvalid)
		}
		request.Timeout = timeout
	}
	return request, nil
}

func (headerProtocol) Refuse(header http.Header, _ *winch.ForwardRequest, retryAfter time.Duration) {
	if retryAfter > 0 {
		header.Set("X-Retry", retryAfter.String())
	}
}

// result is a response as the caller received it.
type result struct {
	status int
	body   string
	// complete reports whether the body was read without an error.
	complete bool
	header   http.Header
	// closesConnection reports whether the server closes the connection after the response.
	closesConnection bool
}

// post sends a request and reads its response.
func (ts *testServer) post(path string, header ...string) result {
	ts.t.Helper()
	return ts.postContext(ts.t.Context(), path, header...)
}

func (ts *testServer) postContext(ctx context.Context, path string, header ...string) result {
	ts.t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, ts.httpServer.URL+path, bytes.NewReader([]byte("body")))
	assert.NilError(ts.t, err)
	request.Host = "a.example"
	request.Header.Set("X-Id", "r1")
	request.Header.Set("X-Key", secret)
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	httpResponse, err := ts.httpServer.Client().Do(request)
	if err != nil {
		return result{}
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(httpResponse.Body)
	return result{status: httpResponse.StatusCode, body: string(body), complete: err == nil, header: httpResponse.Header, closesConnection: httpResponse.Close}
}

// assertResumePoints checks the LastEvent of each call that was sent: the event after which the
// stream was to resume, 0 for its start. Without arguments it checks that no call was sent.
func (ts *testServer) assertResumePoints(afterEvents ...int64) {
	ts.t.Helper()
	ts.mu.Lock()
	defer ts.mu.Unlock()
	var sent []int64
	for _, call := range ts.calls {
		sent = append(sent, call.LastEvent)
	}
	assert.DeepEqual(ts.t, sent, afterEvents)
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: t%d\n\n", id, id) }
