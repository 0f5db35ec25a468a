package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch/httpjson"
)

// fakeHost answers all calls with the same HTTP status and records them. A query for a note's
// status is answered with Accepted set from the second query on.
type fakeHost struct {
	status   int
	response string
	calls    []string
	bodies   string
	polls    int
}

func (f *fakeHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	f.calls = append(f.calls, r.Method+" "+r.URL.RequestURI())
	f.bodies += string(body)
	response := f.response
	if r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, "/operator/notes/") {
		f.polls++
		response = fmt.Sprintf(`{"Revision": 7, "Committed": true, "Accepted": %t, "Centres": [{"DataCentre": "a", "InForce": true}, {"DataCentre": "b"}]}`, f.polls > 1)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(f.status)
	fmt.Fprint(w, response)
}

// result is the exit code and the output of a run of the program.
type result struct {
	code     int
	out, err string
}

// runAgainst runs the program against the host. The first address that it passes refuses
// connections, so that each test also covers the switch to the next address.
func runAgainst(t *testing.T, host *fakeHost, args ...string) result {
	t.Helper()
	server := httptest.NewServer(httpjson.RequireSecret("operators", host))
	defer server.Close()
	t.Setenv("WINCH_SECRET", "operators")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	refused := listener.Addr().String()
	assert.NilError(t, listener.Close())
	return runCommand(t, append([]string{"--address", refused, "--address", server.Listener.Addr().String()}, args...)...)
}

// runCommand runs the program with these arguments and without a host.
func runCommand(t *testing.T, args ...string) result {
	t.Helper()
	var out, err bytes.Buffer
	code := run(t.Context(), args, streams{in: strings.NewReader(""), out: &out, err: &err})
	return result{code: code, out: out.String(), err: err.String()}
}

func assertRun(t *testing.T, got result, code int, texts ...string) {
	t.Helper()
	assert.Equal(t, got.code, code, got.err)
	for _, text := range texts {
		assert.Assert(t, strings.Contains(got.out+got.err, text), "%q is not in %s%s", text, got.out, got.err)
	}
}

func noteFile(t *testing.T, body string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "note.json")
	assert.NilError(t, os.WriteFile(path, []byte(body), 0o600))
	return path
}

const keyNote = `{"ID": "n", "Added": {"Keys": [{"ID": "k", "Organisation": "o", "Secret": "very secret"}]}}`

func TestExitCodes(t *testing.T) {
	file := noteFile(t, keyNote)
	for _, test := range []struct {
		status, code int
		response     string
	}{
		{200, exitOK, `{"Revision": 7}`},
		{400, exitRejected, `{"Code": "invalid", "Message": "Added.Keys[0].Organisation: missing"}`},
		{409, exitConflict, `{"Code": "conflict", "Message": "conflict with revision 6 over Keys[k]"}`},
		{503, exitUnavailable, `{"Code": "unavailable", "Message": "platform"}`},
		{502, exitUnavailable, `{"Code": "outcome_unknown", "Message": "lost"}`},
	} {
		t.Run(fmt.Sprint(test.status), func(t *testing.T) {
			host := &fakeHost{status: test.status, response: test.response}
			assertRun(t, runAgainst(t, host, "note", "apply", file), test.code)
			assert.Equal(t, host.calls[0], "POST /operator/notes")
		})
	}
	t.Run("usage", func(t *testing.T) {
		assertRun(t, runCommand(t, "note", "apply"), exitUsage, "FILE is required")
		assertRun(t, runCommand(t), exitUsage, "a command is missing")
		assertRun(t, runCommand(t, "note"), exitUsage, "--secret or WINCH_SECRET is missing")
		assertRun(t, runCommand(t, "--help"), exitOK, "Exit codes")
	})
	t.Run("a bad note file", func(t *testing.T) {
		host := &fakeHost{status: 200}
		assertRun(t, runAgainst(t, host, "note", "check", noteFile(t, `{"ID": "n", "Aded": {}}`)), exitRejected, "Aded: is not a known field")
		assert.Equal(t, len(host.calls), 0)
	})
}

func TestSecretsAreNotSent(t *testing.T) {
	t.Run("in a note file", func(t *testing.T) {
		host := &fakeHost{status: 200, response: `{}`}
		assertRun(t, runAgainst(t, host, "note", "apply", noteFile(t, keyNote)), exitOK)
		assert.Assert(t, strings.Contains(host.bodies, `"Hash"`) && !strings.Contains(host.bodies, "very secret"))
	})
	t.Run("of a new key", func(t *testing.T) {
		host := &fakeHost{status: 200, response: `{"Revision": 3}`}
		got := runAgainst(t, host, "key", "add", "k", "o")
		assertRun(t, got, exitOK, "Revision: 3")
		secret := strings.TrimSpace(got.err[strings.LastIndex(got.err, ":")+1:])
		assert.Assert(t, len(secret) >= 26 && !strings.Contains(host.bodies, secret))
	})
}

func TestEvacuate(t *testing.T) {
	for name, test := range map[string]struct {
		args []string
		body string
	}{
		"requested": {[]string{"yard-1", "--note", "n"}, `{"ID":"n","Added":{"Evacuations":[{"DataCentre":"yard-1"}]}}`},
		"ended":     {[]string{"--end", "yard-1", "--note", "n"}, `{"ID":"n","Withdrawn":{"Evacuations":["yard-1"]}}`},
	} {
		t.Run(name, func(t *testing.T) {
			host := &fakeHost{status: 200, response: `{"Revision": 7}`}
			assertRun(t, runAgainst(t, host, append([]string{"evacuate"}, test.args...)...), exitOK, "Revision: 7")
			assert.Equal(t, host.calls[0], "POST /operator/notes")
			assert.Equal(t, strings.TrimSpace(host.bodies), test.body)
		})
	}
	t.Run("without a data centre", func(t *testing.T) {
		assertRun(t, runCommand(t, "evacuate"), exitUsage, "DATA-CENTRE is required")
	})
	t.Run("with a name that no data centre can have", func(t *testing.T) {
		host := &fakeHost{status: 200}
		assertRun(t, runAgainst(t, host, "evacuate", "yard 1"), exitRejected, "Evacuations[0].DataCentre")
		assert.Equal(t, len(host.calls), 0)
	})
}

func TestWait(t *testing.T) {
	host := &fakeHost{status: 200, response: `{"Revision": 7}`}
	got := runAgainst(t, host, "key", "withdraw", "k", "--note", "n1", "--wait")
	assertRun(t, got, exitOK, "in force in 1 of 2 data centres, waiting for b", "revision 7: accepted")
	assert.Equal(t, host.calls[0], "DELETE /operator/keys/k?note=n1")
}

func TestShow(t *testing.T) {
	response := `{"AsOf": "now", "Hosts": [{"ID": "h1", "Live": true}, {"ID": "h2", "Duties": ["x", "y"]}]}`
	t.Run("table", func(t *testing.T) {
		got := runAgainst(t, &fakeHost{status: 200, response: response}, "hosts")
		assertRun(t, got, exitOK, "AsOf: now", "ID  LIVE  DUTIES", "h2        x,y")
	})
	t.Run("JSON", func(t *testing.T) {
		assertRun(t, runAgainst(t, &fakeHost{status: 200, response: response}, "--json", "queues"), exitOK, `  "AsOf": "now",`)
	})
	t.Run("explain", func(t *testing.T) {
		host := &fakeHost{status: 404, response: `{"Code": "not_found", "Message": "no such request"}`}
		assertRun(t, runAgainst(t, host, "explain", "r1"), exitRejected, "no such request")
		assert.Equal(t, host.calls[0], "GET /operator/requests/r1")
	})
}
