package forward

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

func TestQuarantinedRequestsAreNotSent(t *testing.T) {
	ts := newTestServer(t)
	ts.quarantined = true
	response := ts.post("/plan/x")
	assert.Equal(t, response.status, http.StatusServiceUnavailable)
	assert.Equal(t, response.header.Get("X-Retry"), "", "the caller is not asked to come back")
	ts.assertResumePoints()
}

func TestRequestsThatAreSuspectedAreNotRetried(t *testing.T) {
	ts := newTestServer(t, stubResponse{err: errLost})
	ts.noRetries = true
	assert.Equal(t, ts.post("/plan/x").status, http.StatusBadGateway)
	ts.assertResumePoints(0)
}

func TestQuarantineIsToldOfAttempts(t *testing.T) {
	for name, c := range map[string]struct {
		path             string
		responses        []stubResponse
		answered, broken int
	}{
		"answered":                {"/chat/x", []stubResponse{{status: 200, body: event(1) + event(2)}}, 1, 0},
		"answered, not streamed":  {"/once/x", []stubResponse{{status: 200, body: "a"}}, 1, 0},
		"lost before the head":    {"/chat/x", []stubResponse{{err: errLost}}, 0, 1},
		"lost before the output":  {"/chat/x", []stubResponse{{status: 200, truncated: true}}, 0, 1},
		"lost in the first event": {"/chat/x", []stubResponse{{status: 200, body: "id: 1\nda", truncated: true}}, 0, 1},
		"lost after the output":   {"/chat/x", []stubResponse{{status: 200, body: event(1), truncated: true}}, 1, 0},
		"failed with a status":    {"/chat/x", []stubResponse{{status: 500, body: "failed"}}, 0, 0},
		"refused by the endpoint": {"/chat/x", []stubResponse{{status: 503, notRun: true}, {status: 503, notRun: true}}, 0, 0},
		"not sent":                {"/chat/x", []stubResponse{{err: winch.ErrUnavailable}, {status: 200, body: event(1)}}, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			ts := newTestServer(t, c.responses...)
			ts.post(c.path)
			ts.httpServer.Close()
			assert.Equal(t, ts.answered, c.answered)
			assert.Equal(t, ts.broken, c.broken)
		})
	}
}
