package forward

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

func logLines(t *testing.T, log *bytes.Buffer, event winch.EventNumber) []map[string]any {
	t.Helper()
	lines := []map[string]any{}
	for _, text := range bytes.Split(bytes.TrimSpace(log.Bytes()), []byte("\n")) {
		line := map[string]any{}
		assert.NilError(t, json.Unmarshal(text, &line))
		if line["Event"] == float64(event) {
			lines = append(lines, line)
		}
	}
	return lines
}

// TestRequestLog checks that each way in which a request can end logs exactly one line with
// its status, reason and run state.
func TestRequestLog(t *testing.T) {
	cases := []struct {
		name           string
		path           string
		header         []string
		responses      []stubResponse
		refusal        *winch.Refusal
		status         float64
		reason         string
		runState       string
		failedAttempts int
	}{
		{name: "answered", path: "/safe/x", responses: []stubResponse{{status: 200}}, status: 200, runState: "ran"},
		{name: "no route", path: "/none/x", status: 404, reason: "no_route", runState: "not_run"},
		{name: "unknown key", path: "/safe/x", header: []string{"X-Key", "other"}, status: 401, reason: "unknown_key", runState: "not_run"},
		{name: "malformed", path: "/safe/x", header: []string{"X-Timeout", "x"}, status: 400, reason: "bad_header", runState: "not_run"},
		{name: "refused", path: "/safe/x", refusal: &winch.Refusal{Reason: winch.RefusedWait}, status: 429, reason: "predicted_wait", runState: "not_run"},
		{name: "lost", path: "/once/x", responses: []stubResponse{{err: errLost}}, status: 502, reason: "broken", runState: "outcome_unknown", failedAttempts: 1},
		{name: "tried twice", path: "/safe/x", responses: []stubResponse{{err: errLost}, {status: 200}}, status: 200, runState: "ran", failedAttempts: 1},
		{name: "cut", path: "/chat/x", responses: []stubResponse{{status: 200, body: event(1), truncated: true}}, status: 200, reason: "broken", runState: "outcome_unknown", failedAttempts: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			log := &bytes.Buffer{}
			ts := newTestServer(t, c.responses...)
			ts.server.options.Logger = hclog.New(&hclog.LoggerOptions{Output: log, JSONFormat: true})
			ts.refusal = c.refusal
			ts.post(c.path, c.header...)
			ts.httpServer.Close()
			lines := logLines(t, log, EventForwardDone)
			assert.Equal(t, len(lines), 1)
			assert.Equal(t, lines[0]["Request"], "r1")
			assert.Equal(t, lines[0]["Status"], c.status)
			assert.Equal(t, lines[0]["Reason"], c.reason)
			assert.Equal(t, lines[0]["RunState"], c.runState)
			assert.Equal(t, len(logLines(t, log, EventAttemptFailed)), c.failedAttempts)
		})
	}
}
