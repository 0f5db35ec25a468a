package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/metric/noop"
	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/engine"
	"github.com/arbutuswinch/winch/serving/peer"
	"github.com/arbutuswinch/winch/serving/service"
)

const (
	testSecret  = "secret-of-the-caller"
	testTimeout = 10 * time.Second
)

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

// fakeConfigurations holds one configuration and the API keys that are valid.
type fakeConfigurations struct {
	mutex   sync.Mutex
	keys    map[winch.KeyHash]winch.Key
	changed chan struct{}
	config  *winch.Configuration
}

// newFakeConfigurations returns one organisation and three classes. The class names are only
// data: "stall" is not about stalled endpoints.
func newFakeConfigurations() *fakeConfigurations {
	return &fakeConfigurations{
		keys:    map[winch.KeyHash]winch.Key{winch.HashKey(testSecret): {ID: "k1", Organisation: "probababa"}},
		changed: make(chan struct{}),
		config: &winch.Configuration{
			Organisations: map[winch.OrganisationID]winch.Organisation{"probababa": {ID: "probababa"}},
			Classes: map[winch.ClassID]winch.Class{
				"stall":  {ID: "stall", Tier: 1, Models: []winch.ModelID{"small"}},
				"ledger": {ID: "ledger", Tier: 3, Models: []winch.ModelID{"small", "large"}},
				"public": {ID: "public", Tier: 2, Models: []winch.ModelID{"small"}, Open: true},
			},
			Routes: map[winch.RouteID]winch.Route{
				"booking": {ID: "booking", Class: "stall"},
				"stock":   {ID: "stock", Class: "stall", Idempotent: true},
				"hours":   {ID: "hours", Class: "public", Open: true, Idempotent: true},
			},
		},
	}
}

func (c *fakeConfigurations) Current() *winch.Configuration       { return c.config }
func (c *fakeConfigurations) Authority(time.Time) winch.Authority { return winch.AuthorityFull }
func (c *fakeConfigurations) Authorize(_ time.Time, hash winch.KeyHash) (winch.Key, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if key, found := c.keys[hash]; found {
		return key, nil
	}
	return winch.Key{}, winch.ErrUnauthorized
}

func (c *fakeConfigurations) Changed() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.changed
}

func (c *fakeConfigurations) withdrawKeys() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.keys = map[winch.KeyHash]winch.Key{}
	close(c.changed)
	c.changed = make(chan struct{})
}

// fakeDispatcher grants slots of its endpoints in turn, except excluded ones.
type fakeDispatcher struct {
	mutex     sync.Mutex
	endpoints []winch.Endpoint
	next      int
	works     []winch.Work
	slots     []*fakeSlot
	// retryBudget is the number of calls of Retry that still return true.
	retryBudget int
	// block makes Acquire wait until its context ends.
	block bool
	// onGrant is called before a slot is returned.
	onGrant func()
}

type fakeSlot struct {
	endpoint  winch.Endpoint
	preempted chan struct{}
	mutex     sync.Mutex
	tokens    winch.Tokens
	released  []winch.Outcome
}

func (d *fakeDispatcher) Acquire(ctx context.Context, _ time.Time, work winch.Work) (winch.Slot, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.works = append(d.works, work)
	if d.block {
		d.mutex.Unlock()
		<-ctx.Done()
		d.mutex.Lock()
		return nil, ctx.Err()
	}
	for range d.endpoints {
		endpoint := d.endpoints[d.next%len(d.endpoints)]
		d.next++
		if !excluded(work, endpoint.ID) {
			slot := &fakeSlot{endpoint: endpoint, preempted: make(chan struct{})}
			d.slots = append(d.slots, slot)
			if d.onGrant != nil {
				d.onGrant()
			}
			return slot, nil
		}
	}
	// The header Retry-After rounds this up to 2 seconds.
	return nil, &winch.Refusal{Reason: winch.RefusedNoEndpoint, RetryAfter: 1500 * time.Millisecond}
}

func excluded(work winch.Work, id winch.EndpointID) bool {
	for _, excludedID := range work.Excluded {
		if excludedID == id {
			return true
		}
	}
	return false
}

func (d *fakeDispatcher) Retry(time.Time, winch.Work) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.retryBudget--
	return d.retryBudget >= 0
}

func (d *fakeDispatcher) slot(index int) *fakeSlot {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if index >= len(d.slots) {
		return nil
	}
	return d.slots[index]
}

func (s *fakeSlot) Endpoint() winch.Endpoint   { return s.endpoint }
func (s *fakeSlot) Restarted(time.Time)        {}
func (s *fakeSlot) StartedAt() time.Time       { return time.Time{} }
func (s *fakeSlot) Evacuated(time.Time) bool   { return false }
func (s *fakeSlot) Preempted() <-chan struct{} { return s.preempted }
func (s *fakeSlot) FirstToken(time.Time)       {}

func (s *fakeSlot) Tokens(_ time.Time, count winch.Tokens) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.tokens += count
}

func (s *fakeSlot) Release(_ time.Time, outcome winch.Outcome) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.released = append(s.released, outcome)
}

func (s *fakeSlot) outcomes() []winch.Outcome {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]winch.Outcome(nil), s.released...)
}

// fakeUsage adds up the usage records.
type fakeUsage struct {
	mutex sync.Mutex
	total winch.UsageRecord
}

func (u *fakeUsage) Record(_ time.Time, record winch.UsageRecord) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.total.Organisation = record.Organisation
	u.total.Requests += record.Requests
	u.total.InputTokens += record.InputTokens
	u.total.OutputTokens += record.OutputTokens
}

func (u *fakeUsage) sum() winch.UsageRecord {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.total
}

// fakeEngine answers completions with the words w0, w1 and so on, and can simulate failures.
type fakeEngine struct {
	server   *httptest.Server
	mutex    sync.Mutex
	requests []*http.Request
	// wordCount is the length of the complete output.
	wordCount int
	// beforeWord is called before each word is sent, with its number. While a handler may still run it is
	// changed by setBeforeWord.
	beforeWord func(w http.ResponseWriter, r *http.Request, word int)
	// status and code are those of the refusal, if status is not 0.
	status int
	code   string
	// mismatchAt is the number of the word from which on events carry the ID of another
	// request; -1 for none.
	mismatchAt int
	// endStream, if set, replaces the end of a stream.
	endStream func(w http.ResponseWriter, id string)
	// nonText adds output other than text to streams.
	nonText bool
}

type fakeCompletion struct {
	Stream bool `json:"stream"`
	Resume struct {
		Tokens int    `json:"tokens"`
		Text   string `json:"text"`
	} `json:"resume"`
}

func newFakeEngine(t *testing.T, words int) *fakeEngine {
	t.Helper()
	e := &fakeEngine{wordCount: words, mismatchAt: -1}
	e.server = httptest.NewServer(e)
	t.Cleanup(e.server.Close)
	return e
}

func (e *fakeEngine) endpoint(id winch.EndpointID) winch.Endpoint {
	return winch.Endpoint{ID: id, Kind: winch.EndpointEngine, Address: strings.TrimPrefix(e.server.URL, "http://")}
}

func (e *fakeEngine) calls() []*http.Request {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]*http.Request(nil), e.requests...)
}

func (e *fakeEngine) setBeforeWord(before func(http.ResponseWriter, *http.Request, int)) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.beforeWord = before
}

// callBeforeWord calls beforeWord without the mutex, since it may wait.
func (e *fakeEngine) callBeforeWord(w http.ResponseWriter, r *http.Request, word int) {
	e.mutex.Lock()
	before := e.beforeWord
	e.mutex.Unlock()
	if before != nil {
		before(w, r, word)
	}
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body := fakeCompletion{}
	_ = json.NewDecoder(r.Body).Decode(&body)
	e.mutex.Lock()
	e.requests = append(e.requests, r.Clone(context.Background()))
	e.mutex.Unlock()
	if strings.HasSuffix(r.URL.Path, "/cancel") {
		return
	}
	if e.status != 0 {
		w.WriteHeader(e.status)
		fmt.Fprintf(w, `{"Code":%q,"Message":"no"}`, e.code)
		return
	}
	id := r.Header.Get("X-Request-Id")
	if !body.Stream {
		e.respondWhole(w, r, id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Stream-Id", "s-"+id)
	e.chunk(w, id, `{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}`)
	for word := body.Resume.Tokens; word < e.wordCount; word++ {
		e.callBeforeWord(w, r, word)
		if word == e.mismatchAt {
			id = "another"
		}
		e.chunk(w, id, fmt.Sprintf(`{"index":0,"delta":{"content":"w%d \"é\" "},"finish_reason":null}`, word))
	}
	if e.nonText {
		e.chunk(w, id, `{"index":0,"delta":{"reasoning":"hm"},"finish_reason":null}`)
	}
	if e.endStream != nil {
		e.endStream(w, id)
		return
	}
	e.chunk(w, id, `{"index":0,"delta":{},"finish_reason":"stop"}`)
	fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[],\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":%d,\"total_tokens\":%d}}\n\ndata: [DONE]\n\n", id, e.wordCount, e.wordCount+7)
}

func (e *fakeEngine) respondWhole(w http.ResponseWriter, r *http.Request, id string) {
	e.callBeforeWord(w, r, 0)
	if e.mismatchAt == 0 {
		id = "another"
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"id":%q,"object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}],"usage":{"prompt_tokens":7,"completion_tokens":%d,"total_tokens":%d}}`,
		id, outputWords(e.wordCount), e.wordCount, e.wordCount+7)
}

func (e *fakeEngine) chunk(w http.ResponseWriter, id, choice string) {
	fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"choices\":[%s]}\n\n", id, choice)
	_ = http.NewResponseController(w).Flush()
}

// outputWords returns the output of a fakeEngine with this number of words.
func outputWords(count int) string {
	out := strings.Builder{}
	for word := range count {
		fmt.Fprintf(&out, "w%d \"é\" ", word)
	}
	return out.String()
}

// testServer is a server with fake dependencies, listening on loopback.
type testServer struct {
	*Server
	configurations *fakeConfigurations
	dispatcher     *fakeDispatcher
	usage          *fakeUsage
	httpServer     *httptest.Server
}

func newTestServer(t *testing.T, change func(*Options), endpoints ...winch.Endpoint) *testServer {
	t.Helper()
	s := &testServer{
		configurations: newFakeConfigurations(), usage: &fakeUsage{},
		dispatcher: &fakeDispatcher{endpoints: endpoints, retryBudget: 2},
	}
	// "ours" is this host's credential for endpoints, and "hosts" the secret between hosts.
	options := Options{
		Configurations: s.configurations, Dispatcher: s.dispatcher, Usage: s.usage,
		Engines: engine.New(engine.Options{Secret: "ours"}), Services: service.New(service.Options{Secret: "ours"}),
		Peers: peer.New(peer.Options{Secret: "hosts"}), PeerSecret: "hosts",
		Clock: wallClock{}, Logger: hclog.NewNullLogger(), Meter: noop.Meter{},
		Limits: Limits{ReadinessDelay: time.Millisecond, MinStallTimeout: 200 * time.Millisecond},
	}
	if change != nil {
		change(&options)
	}
	built, err := New(options)
	assert.NilError(t, err)
	s.Server = built
	mux := http.NewServeMux()
	mux.Handle("/peer/", built.PeerHandler())
	mux.Handle("/", built.Handler())
	s.httpServer = httptest.NewServer(mux)
	t.Cleanup(func() {
		s.httpServer.CloseClientConnections()
		ctx, stop := context.WithTimeout(context.Background(), time.Second)
		defer stop()
		_ = built.Drain(ctx)
		s.httpServer.Close()
	})
	return s
}
