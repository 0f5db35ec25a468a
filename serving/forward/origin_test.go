package forward

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/arbutuswinch/winch"
)

// assertSoftware checks the software version that each request for a slot names; empty stands for any.
func (ts *testServer) assertSoftware(want ...winch.SoftwareVersion) {
	ts.t.Helper()
	ts.mu.Lock()
	defer ts.mu.Unlock()
	var got []winch.SoftwareVersion
	for _, work := range ts.works {
		got = append(got, work.Software)
	}
	assert.DeepEqual(ts.t, got, want)
}

func (ts *testServer) assertRecorded(stream winch.RequestID, want winch.SoftwareVersion) {
	ts.t.Helper()
	ts.origins.mu.Lock()
	defer ts.origins.mu.Unlock()
	known, found := ts.origins.known[stream]
	assert.Equal(ts.t, found, want != "")
	assert.Equal(ts.t, known.Software, want)
}

func TestStreamIsBoundByItsFirstEvent(t *testing.T) {
	t.Run("to the version that brought it", func(t *testing.T) {
		ts := newTestServer(t, stubResponse{status: 200, body: event(1), truncated: true}, stubResponse{status: 200, body: event(2)})
		assert.Assert(t, ts.post("/plan/x").complete)
		ts.assertSoftware("", "v-e0")
		ts.assertRecorded("dealer/r1", "v-e0")
	})
	t.Run("not by an attempt that broke before", func(t *testing.T) {
		ts := newTestServer(t, stubResponse{status: 200, truncated: true}, stubResponse{status: 200, body: event(1)})
		assert.Assert(t, ts.post("/plan/x").complete)
		ts.assertSoftware("", "")
		ts.assertRecorded("dealer/r1", "v-e1")
	})
	t.Run("not if it may not be resumed", func(t *testing.T) {
		ts := newTestServer(t, stubResponse{status: 200, body: event(1)})
		ts.post("/chat/x")
		ts.assertRecorded("dealer/r1", "")
	})
}

func TestStreamThatTheCallerTakesUp(t *testing.T) {
	t.Run("goes on at its version", func(t *testing.T) {
		ts := newTestServer(t, stubResponse{status: 200, body: event(3), truncated: true}, stubResponse{status: 200, body: event(4)})
		ts.origins.known["dealer/r0"] = winch.StreamOrigin{Model: testModel, Software: "v7"}
		assert.Assert(t, ts.post("/plan/x", "X-Last", "2", "X-Resumes", "r0").complete)
		ts.assertSoftware("v7", "v7")
	})
	t.Run("goes on at any endpoint while there is one version", func(t *testing.T) {
		ts := newTestServer(t, stubResponse{status: 200, body: event(3)})
		ts.starts, ts.software = []time.Time{listedStart.Add(time.Second)}, []winch.SoftwareVersion{"v1"}
		assert.Assert(t, ts.post("/plan/x", "X-Last", "2", "X-Resumes", "r0").complete)
		ts.assertSoftware("")
		ts.assertRecorded("dealer/r0", "v1")
		assert.Equal(t, len(ts.starts), 1, "no endpoint is asked for its start")
	})
	t.Run("is not sent to a second version that has appeared since", func(t *testing.T) {
		ts := newTestServer(t, stubResponse{status: 200, body: event(3)})
		ts.software = []winch.SoftwareVersion{"v2", "v1"}
		assert.Assert(t, ts.post("/plan/x", "X-Last", "2", "X-Resumes", "r0").complete)
		ts.assertSoftware("", "v1")
		assert.Equal(t, len(ts.calls), 1)
	})
	t.Run("is recorded again under the attempt that began it", func(t *testing.T) {
		ts := newTestServer(t, stubResponse{status: 200, body: event(3)})
		ts.origins.known["dealer/r0"] = winch.StreamOrigin{Model: testModel, Software: "v7"}
		ts.post("/plan/x", "X-Last", "2", "X-Resumes", "r0")
		ts.assertRecorded("dealer/r0", "v7")
		ts.assertRecorded("dealer/r1", "")
	})
	t.Run("is refused as not run if its version is unknown", func(t *testing.T) {
		ts := newTestServer(t)
		ts.origins.version = ""
		response := ts.post("/plan/x", "X-Last", "2", "X-Resumes", "r0")
		assert.Equal(t, response.status, http.StatusServiceUnavailable)
		assert.Equal(t, response.header.Get("X-Retry"), originRetryAfter.String())
		ts.assertResumePoints()
	})
	t.Run("is refused without a time to come back if it does not tell what it takes up", func(t *testing.T) {
		ts := newTestServer(t)
		ts.origins.version = ""
		response := ts.post("/plan/x", "X-Last", "2")
		assert.Equal(t, response.status, http.StatusServiceUnavailable)
		assert.Equal(t, response.header.Get("X-Retry"), "")
	})
	t.Run("of another organisation is not known", func(t *testing.T) {
		ts := newTestServer(t)
		ts.origins.version = ""
		ts.origins.known["other/r0"] = winch.StreamOrigin{Model: testModel, Software: "v7"}
		assert.Equal(t, ts.post("/plan/x", "X-Last", "2", "X-Resumes", "r0").status, http.StatusServiceUnavailable)
	})
	t.Run("without an event of it begins anew", func(t *testing.T) {
		ts := newTestServer(t, stubResponse{status: 200, body: event(1)})
		ts.origins.version = ""
		assert.Assert(t, ts.post("/plan/x", "X-Resumes", "r0").complete)
		ts.assertSoftware("")
		ts.assertRecorded("dealer/r1", "v-e0")
	})
	t.Run("goes on at the model that began it, while its route leads there", func(t *testing.T) {
		ts := newTestServer(t, stubResponse{status: 200, body: event(3)})
		ts.change(func(c *winch.Configuration) {
			for i := range c.Forwards {
				c.Forwards[i].Targets = []winch.ForwardTarget{{Model: "other", Weight: 1000}, {Model: testModel, Weight: 1}}
			}
		})
		ts.origins.known["dealer/r0"] = winch.StreamOrigin{Model: testModel, Software: "v7"}
		assert.Assert(t, ts.post("/plan/x", "X-Last", "2", "X-Resumes", "r0").complete)
		assert.Equal(t, ts.works[0].Model, testModel)
		ts.origins.known["dealer/r0"] = winch.StreamOrigin{Model: "third", Software: "v7"}
		assert.Equal(t, ts.post("/plan/x", "X-Last", "2", "X-Resumes", "r0").status, http.StatusServiceUnavailable)
	})
}

func TestVersionIsNotKnownIfTheEndpointHasStartedAgain(t *testing.T) {
	for name, c := range map[string]struct {
		started time.Time
		want    winch.SoftwareVersion
	}{
		"the run that was listed": {listedStart, "v-e0"}, "no answer": {time.Time{}, "v-e0"}, "another run": {listedStart.Add(time.Second), ""},
	} {
		t.Run(name, func(t *testing.T) {
			ts := newTestServer(t, stubResponse{status: 200, body: event(1)})
			ts.origins.confirm, ts.starts = true, []time.Time{c.started}
			ts.post("/plan/x")
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				ts.mu.Lock()
				asked := len(ts.starts) == 0
				ts.mu.Unlock()
				ts.origins.mu.Lock()
				defer ts.origins.mu.Unlock()
				if asked && ts.origins.known["dealer/r1"].Software == c.want {
					return poll.Success()
				}
				return poll.Continue("%+v", ts.origins.known)
			}, poll.WithTimeout(5*time.Second))
		})
	}
}

func TestStreamDoesNotGoOnAtAnEndpointThatHasStartedAgain(t *testing.T) {
	ts := newTestServer(t, stubResponse{status: 200, body: event(3)})
	ts.origins.known["dealer/r0"] = winch.StreamOrigin{Model: testModel, Software: "v7"}
	ts.starts = []time.Time{listedStart.Add(time.Second), listedStart}
	assert.Assert(t, ts.post("/plan/x", "X-Last", "2", "X-Resumes", "r0").complete)
	ts.assertResumePoints(2)
	assert.DeepEqual(t, ts.outcomes, []winch.Outcome{winch.OutcomeRestarted, winch.OutcomeDone})
	assert.DeepEqual(t, ts.works[1].Excluded, []winch.EndpointID{"e0"})
}

func TestKeyThatIsWithdrawnWhileAnEndpointIsAskedIsNotUsed(t *testing.T) {
	ts := newTestServer(t)
	ts.origins.known["dealer/r0"] = winch.StreamOrigin{Model: testModel, Software: "v7"}
	ts.starts, ts.onStart = []time.Time{listedStart}, func() { ts.configuration.Keys = map[winch.KeyID]winch.Key{} }
	assert.Equal(t, ts.post("/plan/x", "X-Last", "2", "X-Resumes", "r0").status, http.StatusUnauthorized)
	ts.assertResumePoints()
}
