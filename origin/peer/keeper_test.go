package peer

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/httpjson"
)

const (
	model  winch.ModelID = "pool"
	secret string        = "s"
)

// testHost is a host with a Keeper, and the fake dependencies of it.
type testHost struct {
	winch.Membership
	winch.Configurations
	group  *hostGroup
	self   winch.Host
	keeper *Keeper
	server *httptest.Server

	mu       sync.Mutex
	software []winch.SoftwareVersion
	readAt   time.Time
}

// hostGroup is a set of hosts that know each other.
type hostGroup struct {
	t     testing.TB
	hosts []*testHost
}

func newGroup(t testing.TB, count int, software ...winch.SoftwareVersion) *hostGroup {
	t.Helper()
	g := &hostGroup{t: t}
	for i := range count {
		h := &testHost{group: g, software: software, readAt: time.Now()}
		built, err := New(Options{Membership: h, Endpoints: h, Configurations: h, Clock: h, Logger: hclog.NewNullLogger()})
		assert.NilError(t, err)
		h.keeper = built
		h.keeper.Connect(secret)
		h.server = httptest.NewServer(httpjson.RequireSecret(secret, h.keeper.Handler()))
		t.Cleanup(h.server.Close)
		h.self = winch.Host{ID: winch.HostID(fmt.Sprintf("h%d", i)), DataCentre: "all", PeerAddress: strings.TrimPrefix(h.server.URL, "http://")}
		g.hosts = append(g.hosts, h)
		h.keeper.observe()
		go func() { _ = h.keeper.Run(t.Context()) }()
	}
	return g
}

func (h *testHost) Now() time.Time   { return time.Now() }
func (h *testHost) Self() winch.Host { return h.self }

func (h *testHost) Hosts(time.Time, winch.DataCentreID) []winch.Host {
	all := make([]winch.Host, 0, len(h.group.hosts))
	for _, host := range h.group.hosts {
		all = append(all, host.self)
	}
	return all
}

func (h *testHost) Hub(time.Time, winch.DataCentreID) (winch.Host, bool) {
	return h.group.hosts[0].self, true
}

func (h *testHost) Current() *winch.Configuration { return nil }
func (h *testHost) Changed() <-chan struct{}      { return nil }

func (h *testHost) ReadAt() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.readAt
}

func (h *testHost) Endpoints() []winch.EndpointStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	statuses := make([]winch.EndpointStatus, 0, len(h.software))
	for i, software := range h.software {
		statuses = append(statuses, winch.EndpointStatus{State: winch.EndpointReady, Endpoint: winch.Endpoint{
			ID: winch.EndpointID(fmt.Sprintf("e%d", i)), Models: []winch.ModelID{model}, Software: software,
		}})
	}
	return statuses
}

// list sets the versions of the listed endpoints and the age of the list.
func (h *testHost) list(age time.Duration, software ...winch.SoftwareVersion) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.readAt, h.software = time.Now().Add(-age), software
}

func (h *testHost) begin(stream winch.RequestID, software winch.SoftwareVersion) {
	h.keeper.Record(stream, winch.StreamOrigin{Model: model, Endpoint: "e0", Software: software, At: time.Now()})
}

// keeping returns how many hosts remember the stream.
func (g *hostGroup) keeping(stream winch.RequestID) int {
	count := 0
	for _, h := range g.hosts {
		h.keeper.mu.Lock()
		if _, found := h.keeper.book.Lookup(stream); found {
			count++
		}
		h.keeper.mu.Unlock()
	}
	return count
}

func (g *hostGroup) waitKept(stream winch.RequestID, hosts int) {
	g.t.Helper()
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		if g.keeping(stream) >= hosts {
			return poll.Success()
		}
		return poll.Continue("%d of %d hosts keep %s", g.keeping(stream), hosts, stream)
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(5*time.Second))
}

func assertFound(t *testing.T, h *testHost, stream winch.RequestID, software winch.SoftwareVersion, source winch.OriginSource) {
	t.Helper()
	found, err := h.keeper.Find(t.Context(), time.Now(), stream, model)
	assert.NilError(t, err)
	assert.Equal(t, found.Software, software)
	assert.Equal(t, found.Source, source)
}

func assertUnknown(t *testing.T, h *testHost, stream winch.RequestID, mayBeKnownLater bool) {
	t.Helper()
	found, err := h.keeper.Find(t.Context(), time.Now(), stream, model)
	assert.ErrorIs(t, err, winch.ErrOriginUnknown)
	assert.Equal(t, found.MayBeKnownLater, mayBeKnownLater)
}

func TestOriginIsFoundAtAnyHostAfterItsHostHasDied(t *testing.T) {
	g := newGroup(t, 8, "v1", "v2")
	for i := range 40 {
		g.hosts[0].begin(winch.RequestID(fmt.Sprint("s", i)), []winch.SoftwareVersion{"v1", "v2"}[i%2])
	}
	for i := range 40 {
		g.waitKept(winch.RequestID(fmt.Sprint("s", i)), 1+tellHosts)
	}
	g.hosts[0].server.Close()
	for i := range 40 {
		found, err := g.hosts[1+i%7].keeper.Find(t.Context(), time.Now(), winch.RequestID(fmt.Sprint("s", i)), model)
		assert.NilError(t, err)
		assert.Equal(t, found.Software, []winch.SoftwareVersion{"v1", "v2"}[i%2])
	}
	t.Run("by a host that does not know yet that it has died, with a new host among those asked", func(t *testing.T) {
		restarted := newGroup(t, 1, "v1", "v2").hosts[0]
		restarted.group, restarted.self.ID = g, "h9"
		g.hosts = append(g.hosts, restarted)
		assertFound(t, restarted, "s3", "v2", winch.OriginTold)
	})
}

func TestOriginThatNoHostKnows(t *testing.T) {
	t.Run("of several versions is unknown", func(t *testing.T) {
		assertUnknown(t, newGroup(t, 4, "v1", "v2").hosts[0], "s", false)
	})
	t.Run("of one version is that", func(t *testing.T) {
		assertFound(t, newGroup(t, 4, "v1", "v1").hosts[0], "s", "v1", winch.OriginOnlyVersion)
	})
	t.Run("is unknown if another host has seen a second version", func(t *testing.T) {
		g := newGroup(t, 3, "v1")
		for _, h := range g.hosts[1:] {
			h.list(0, "v1", "v2")
			h.keeper.observe()
		}
		assertUnknown(t, g.hosts[0], "s", false)
	})
	t.Run("may be known later if too few hosts answer", func(t *testing.T) {
		g := newGroup(t, 4, "v1", "v2")
		for _, h := range g.hosts[1:] {
			h.server.Close()
		}
		assertUnknown(t, g.hosts[0], "s", true)
	})
	t.Run("if the caller does not name the stream", func(t *testing.T) {
		assertUnknown(t, newGroup(t, 2, "v1", "v2").hosts[0], "", false)
		assertFound(t, newGroup(t, 2, "v1").hosts[0], "", "v1", winch.OriginOnlyVersion)
	})
}

func TestHostThatReachesNoOther(t *testing.T) {
	isolated := func(hosts int, age time.Duration) *testHost {
		g := newGroup(t, hosts, "v1")
		for _, h := range g.hosts[1:] {
			h.server.Close()
		}
		g.hosts[0].list(age, "v1")
		return g.hosts[0]
	}
	t.Run("because there is none", func(t *testing.T) {
		assertFound(t, isolated(1, time.Second), "s", "v1", winch.OriginOnlyVersion)
		assertUnknown(t, isolated(1, 3*time.Second), "s", false)
	})
	t.Run("although there are some", func(t *testing.T) {
		assertUnknown(t, isolated(3, 0), "s", true)
		assertUnknown(t, isolated(3, 3*time.Second), "s", true)
	})
}

func TestStreamsAreNotBoundWhileThereIsOneVersion(t *testing.T) {
	h := newGroup(t, 1, "v1").hosts[0]
	h.begin("s", "v1")
	single := func() bool {
		found, err := h.keeper.Find(t.Context(), time.Now(), "s", model)
		assert.NilError(t, err)
		assert.Equal(t, found.Software, winch.SoftwareVersion("v1"))
		return found.SingleVersion
	}
	assert.Assert(t, single())
	h.list(0, "v1", "v2")
	assert.Assert(t, !single())
}

func TestStreamThatBeganBeforeTheSecondVersionIsTold(t *testing.T) {
	g := newGroup(t, 4, "v1")
	g.hosts[0].begin("s", "v1")
	<-time.After(3 * tellPause)
	assert.Equal(t, g.keeping("s"), 1, "one version is no reason to tell")
	g.hosts[0].list(0, "v1", "v2")
	g.hosts[0].keeper.observe()
	g.waitKept("s", 1+tellHosts)
}

func TestStreamThatBeganBeforeTheSecretWasKnownIsTold(t *testing.T) {
	g := newGroup(t, 4, "v1", "v2")
	late := g.hosts[0].keeper
	late.clients.Store(nil)
	g.hosts[0].begin("s", "v1")
	<-time.After(3 * tellPause)
	assert.Equal(t, g.keeping("s"), 1)
	late.Connect(secret)
	g.waitKept("s", 1+tellHosts)
}

func TestVersionThatWasUnknownWhenTheStreamBegan(t *testing.T) {
	g := newGroup(t, 4, "v1", "v2")
	g.hosts[0].begin("s", "")
	g.waitKept("s", 1+tellHosts)
	for _, h := range g.hosts {
		assertUnknown(t, h, "s", false)
	}
}

func TestHungHostDelaysTheAnswerNoLongerThanAllowed(t *testing.T) {
	g := newGroup(t, 3, "v1", "v2")
	ended := make(chan struct{})
	for _, h := range g.hosts[1:] {
		hung := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-ended }))
		t.Cleanup(hung.Close)
		h.self.PeerAddress = strings.TrimPrefix(hung.URL, "http://")
	}
	t.Cleanup(func() { close(ended) })
	started := time.Now()
	assertUnknown(t, g.hosts[0], "s", true)
	assert.Assert(t, time.Since(started) < 5*askTimeout)
}

func TestCallsOfOtherHosts(t *testing.T) {
	h := newGroup(t, 1, "v1").hosts[0]
	call := func(path, body, token string) int {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, h.server.URL+path, strings.NewReader(body))
		assert.NilError(t, err)
		request.Header.Set("Authorization", "Bearer "+token)
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		return response.StatusCode
	}
	assert.Equal(t, call(tellPath, `{"Streams":[{"Stream":"s","Model":"pool","Software":"v1","AgeMS":4}]}`, secret), http.StatusOK)
	assertFound(t, h, "s", "v1", winch.OriginRecorded)
	for _, body := range []string{
		`{"Streams":[{"Stream":"","Model":"pool","AgeMS":1}]}`, `{"Streams":[{"Stream":"s","Model":"","AgeMS":1}]}`, `{"Streams":[{"Strea`,
		`{"Streams":[{"Stream":"` + strings.Repeat("s", maxNameLength+1) + `","Model":"pool","AgeMS":1}]}`, `{"Other":1}`,
	} {
		assert.Equal(t, call(tellPath, body, secret), http.StatusBadRequest, body)
	}
	assert.Equal(t, call(findPath, `{"Stream":"s","Model":"pool"}`, "other"), http.StatusUnauthorized)
}

func FuzzDecodeStream(f *testing.F) {
	f.Add("s", "pool", "v1", int64(5))
	f.Fuzz(func(t *testing.T, stream, model, software string, age int64) {
		now := time.Unix(1000, 0)
		id, known, err := decodeStream(now, streamWire{Stream: stream, Model: model, Software: software, AgeMS: age})
		if err != nil {
			assert.ErrorIs(t, err, winch.ErrInvalid)
			return
		}
		assert.Assert(t, id != "" && known.Model != "")
		if age >= 0 && age < int64(time.Hour/time.Millisecond) {
			assert.Assert(t, !known.At.After(now))
		}
	})
}

func TestHostThatIsOutOfStepDoesNotTrustItsList(t *testing.T) {
	outOfStep := func() *hostGroup {
		g := newGroup(t, 3, "v1")
		g.hosts[0].list(time.Second, "v1")
		for _, h := range g.hosts[1:] {
			h.list(0, "v1", "v2")
			h.keeper.observe()
		}
		return g
	}
	t.Run("while it reaches no other host", func(t *testing.T) {
		g := outOfStep()
		for _, h := range g.hosts[1:] {
			h.server.Close()
		}
		assertUnknown(t, g.hosts[0], "s", true)
	})
	t.Run("if the caller does not name the stream", func(t *testing.T) {
		assertUnknown(t, outOfStep().hosts[0], "", false)
	})
}
