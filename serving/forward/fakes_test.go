package forward

import (
	"bytes"
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
	service winch.ModelID        = "pool"
	dealer  winch.OrganisationID = "dealer"
	secret                       = "dealer-secret"
)

// configuration has a route of each kind.
func configuration() *winch.Configuration {
	class := func(id winch.ClassID) map[winch.Grade]winch.ClassID {
		return map[winch.Grade]winch.ClassID{winch.NoGrade: id}
	}
	targets := []winch.ForwardTarget{{Model: service, Weight: 1}}
	hash := winch.HashKey(secret)
	return &winch.Configuration{
		Revision:      7,
		Organisations: map[winch.OrganisationID]winch.Organisation{dealer: {ID: dealer}},
		Keys:          map[winch.KeyID]winch.Key{"k": {ID: "k", Organisation: dealer, Hash: hash}},
		Classes: map[winch.ClassID]winch.Class{
			"quick": {ID: "quick", Tier: 1, FirstTokenTarget: 100 * time.Millisecond, Models: []winch.ModelID{service}},
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

// world is a server with fakes around it.
type world struct {
	t      *testing.T
	server *Server
	front  *httptest.Server

	mu            sync.Mutex
	configuration *winch.Configuration
	confirmed     time.Time
	// answers are given one after the other.
	answers []answer
	calls   []winch.ForwardCall
	// granted is called before each slot.
	granted   func()
	refusal   *winch.Refusal
	noRetries bool
	usage     []winch.UsageRecord
	outcomes  []winch.Outcome
}

// answer is what an endpoint does with a call.
type answer struct {
	status     int
	body       string
	err        error
	breaks     bool // after the body
	notRun     bool
	unsigned   bool
	misdirects bool
	// until is waited for before the answer.
	until <-chan struct{}
}

func newWorld(t *testing.T, answers ...answer) *world {
	t.Helper()
	w := &world{t: t, configuration: configuration(), confirmed: time.Now(), answers: answers}
	server, err := New(Options{
		Configurations: w, Dispatcher: w, Protocol: plainProtocol{}, Sender: w, Usage: w, Loads: w, Clock: w,
		Logger: hclog.NewNullLogger(), Limits: Limits{ReadinessDelay: 10 * time.Millisecond},
	})
	assert.NilError(t, err)
	w.server, w.front = server, httptest.NewServer(server.Handler())
	t.Cleanup(w.front.Close)
	return w
}

func (w *world) Now() time.Time { return time.Now() }

func (w *world) Current() *winch.Configuration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.configuration
}

func (w *world) ConfirmedAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.confirmed
}

func (w *world) Authority(time.Time) winch.Authority { return winch.AuthorityFull }
func (w *world) Changed() <-chan struct{}            { return nil }

func (w *world) Authorize(_ time.Time, hash winch.KeyHash) (winch.Key, error) {
	for _, key := range w.Current().Keys {
		if key.Hash == hash {
			return key, nil
		}
	}
	return winch.Key{}, winch.ErrUnauthorized
}

func (w *world) change(do func(c *winch.Configuration)) {
	changed := configuration()
	do(changed)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.configuration = changed
}

func (w *world) Acquire(_ context.Context, _ time.Time, work winch.Work) (winch.Slot, error) {
	if w.granted != nil {
		w.granted()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.refusal != nil {
		return nil, w.refusal
	}
	return &fakeSlot{world: w, id: winch.EndpointID(fmt.Sprintf("e%d", len(work.Excluded)))}, nil
}

func (w *world) Retry(time.Time, winch.Work) bool { return !w.noRetries }

func (w *world) Record(_ time.Time, record winch.UsageRecord) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.usage = append(w.usage, record)
}

func (w *world) ObserveLoad(time.Time, winch.LoadReport)  {}
func (w *world) ObserveCache(time.Time, winch.CacheEvent) {}

type fakeSlot struct {
	world *world
	id    winch.EndpointID
}

func (s *fakeSlot) Endpoint() winch.Endpoint {
	return winch.Endpoint{ID: s.id, Kind: winch.EndpointEngine}
}
func (s *fakeSlot) Preempted() <-chan struct{}     { return nil }
func (s *fakeSlot) FirstToken(time.Time)           {}
func (s *fakeSlot) Tokens(time.Time, winch.Tokens) {}
func (s *fakeSlot) Release(_ time.Time, outcome winch.Outcome) {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	s.world.outcomes = append(s.world.outcomes, outcome)
}

var errBroken = errors.New("connection reset")

func (w *world) Forward(ctx context.Context, _ winch.Endpoint, call winch.ForwardCall) (*winch.ForwardReply, error) {
	w.mu.Lock()
	w.calls = append(w.calls, call)
	assert.Assert(w.t, len(w.calls) <= len(w.answers), "a call too many")
	next := w.answers[len(w.calls)-1]
	w.mu.Unlock()
	if next.until != nil {
		select {
		case <-next.until:
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", winch.ErrOutcomeUnknown, ctx.Err())
		}
	}
	if next.err != nil {
		return nil, next.err
	}
	body := io.Reader(strings.NewReader(next.body))
	if next.breaks {
		body = io.MultiReader(body, broken{})
	}
	return &winch.ForwardReply{
		Status: next.status, Header: http.Header{"X-Signature": {"s"}}, Body: io.NopCloser(body), Authentic: !next.unsigned,
		NotExecuted: next.notRun || next.misdirects, Misdirected: next.misdirects,
	}, nil
}

type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, errBroken }

// plainProtocol is a small wire for tests.
type plainProtocol struct{}

func (plainProtocol) Decode(r *http.Request) (*winch.ForwardRequest, error) {
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
	if text := r.Header.Get("X-Timeout"); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil {
			return request, fmt.Errorf("X-Timeout: %w", winch.ErrInvalid)
		}
		request.Timeout = timeout
	}
	return request, nil
}

func (plainProtocol) Refuse(header http.Header, _ *winch.ForwardRequest, retryAfter time.Duration) {
	if retryAfter > 0 {
		header.Set("X-Retry", retryAfter.String())
	}
}

// got is what a caller got.
type got struct {
	status int
	body   string
	// whole says that the answer was complete.
	whole  bool
	header http.Header
	// closes says that the connection ends with the answer.
	closes bool
}

// ask sends a request and reads its answer.
func (w *world) ask(path string, header ...string) got {
	w.t.Helper()
	return w.askIn(w.t.Context(), path, header...)
}

func (w *world) askIn(ctx context.Context, path string, header ...string) got {
	w.t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, w.front.URL+path, bytes.NewReader([]byte("body")))
	assert.NilError(w.t, err)
	request.Host = "a.example"
	request.Header.Set("X-Id", "r1")
	request.Header.Set("X-Key", secret)
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := w.front.Client().Do(request)
	if err != nil {
		return got{}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return got{status: response.StatusCode, body: string(body), whole: err == nil, header: response.Header, closes: response.Close}
}

// assertCalls checks how many calls were sent, and after which event each was to go on.
func (w *world) assertCalls(events ...int64) {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	var sent []int64
	for _, call := range w.calls {
		sent = append(sent, call.LastEvent)
	}
	assert.DeepEqual(w.t, sent, events)
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: t%d\n\n", id, id) }
